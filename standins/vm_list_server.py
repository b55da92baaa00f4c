"""Stand-in of the platform's VM list, with a configurable lag."""

import argparse
import json
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any, Self

from cheroot import wsgi

_THREADS = 8


class VmListApplication:
    """
    The VM list as a WSGI application.

    ``GET /v1/vms`` returns the list as it was ``lag_s`` ago; ``PUT /v1/vms``
    replaces it.

    :ivar down: whether calls fail with status 503.
    :ivar calls: number of reads, also failed ones.
    """

    def __init__(
        self,
        lag_s: float = 0,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start with an empty list."""
        self.lag_s = lag_s
        self.down = False
        self.calls = 0
        self._now = now
        self._versions: list[tuple[float, Any]] = [(float('-inf'), [])]

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Answer one call."""
        if environ['REQUEST_METHOD'] == 'PUT':
            length = int(environ.get('CONTENT_LENGTH') or 0)
            self.put(json.loads(environ['wsgi.input'].read(length)))
            listed: Any = {}
        else:
            self.calls += 1
            listed = self.listed()
        status = '503 Service Unavailable' if self.down else '200 OK'
        body = json.dumps(listed).encode()
        headers = [('Content-Length', str(len(body)))]
        start_response(status, headers)
        return [body]

    def put(self, listed: list[dict[str, str]]) -> None:
        """Replace the list; each row has name, address and state."""
        self._versions.append((self._now(), listed))

    def listed(self) -> Any:
        """Return the list that readers get at present, ``lag_s`` old."""
        as_of = self._now() - self.lag_s
        seen = [rows for since, rows in self._versions if since <= as_of]
        return seen[-1]


class VmListServer:
    """Runs the application in a thread of this process."""

    def __init__(
        self,
        application: VmListApplication | None = None,
        port: int = 0,
    ) -> None:
        """Bind to loopback; port 0 selects a free port."""
        self.application = application or VmListApplication()
        self._server = wsgi.Server(
            ('127.0.0.1', port),
            self.application,
            numthreads=_THREADS,
            shutdown_timeout=3,
        )
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve,
            name='vm-list-stand-in',
            daemon=True,
        )

    def __enter__(self) -> Self:
        """Start serving."""
        self._thread.start()
        return self

    def __exit__(self, *caught: object) -> None:
        """Stop serving."""
        self._server.stop()
        self._thread.join()

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f'http://127.0.0.1:{self._server.bind_addr[1]}'

    def wait(self) -> None:
        """Wait until the server has stopped."""
        self._thread.join()


def main() -> None:
    """Serve until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--lag-s', type=float, default=0)
    options = parser.parse_args()
    application = VmListApplication(options.lag_s)
    with VmListServer(application, options.port) as server:
        print(f'url={server.url}', flush=True)  # noqa: WPS421
        server.wait()


if __name__ == '__main__':
    main()
