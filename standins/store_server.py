"""The platform's key-value service over HTTP, in a thread or a process."""

import argparse
import threading
from typing import Any, Self

from cheroot import wsgi

from standins.store_application import REQUEST, StoreApplication

# A waiting watch holds one.
_THREADS = 64


class Gateway(wsgi.WSGIGateway_10):
    """Lets the application close a connection without an answer."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the environment with the server's request in it."""
        return {**super().get_environ(), REQUEST: self.req}


class StoreServer:
    """Runs the application in a thread of this process."""

    def __init__(
        self,
        application: StoreApplication | None = None,
        port: int = 0,
    ) -> None:
        """Bind to the loopback; port 0 takes a free one."""
        self.application = application or StoreApplication()
        self._server = wsgi.Server(
            ('127.0.0.1', port),
            self.application,
            numthreads=_THREADS,
            shutdown_timeout=3,
        )
        self._server.gateway = Gateway
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve,
            name='store-stand-in',
            daemon=True,
        )

    def __enter__(self) -> Self:
        """Start serving."""
        self.start()
        return self

    def __exit__(self, *caught: object) -> None:
        """Stop serving."""
        self.stop()

    @property
    def url(self) -> str:
        """Address of the service."""
        port = self._server.bind_addr[1]
        return f'http://127.0.0.1:{port}'

    def start(self) -> None:
        """Serve in the background."""
        self._thread.start()

    def stop(self) -> None:
        """End the watches and the server."""
        self.application.stopping = True
        with self.application.changed:
            self.application.changed.notify_all()
        self._server.stop()
        self._thread.join()

    def wait(self) -> None:
        """Return when the server has stopped."""
        self._thread.join()


def main() -> None:
    """Serve until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--reads-per-s', type=float, default=2000)
    parser.add_argument('--writes-per-s', type=float, default=500)
    given = parser.parse_args()
    application = StoreApplication(
        reads_per_s=given.reads_per_s,
        writes_per_s=given.writes_per_s,
    )
    with StoreServer(application, given.port) as server:
        print(f'url={server.url}', flush=True)  # noqa: WPS421
        server.wait()


if __name__ == '__main__':
    main()
