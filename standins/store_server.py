"""Runs the key-value stand-in as an HTTP server, in a thread or a process."""

import argparse
import threading
from typing import Any, Self

from cheroot import wsgi

from standins.store_application import SERVER_REQUEST_KEY, StoreApplication

# Each waiting watch occupies a thread.
_THREADS = 64


class RequestGateway(wsgi.WSGIGateway_10):
    """Gives the application access to the request, to close its connection."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environment extended by the server's request."""
        return {**super().get_environ(), SERVER_REQUEST_KEY: self.req}


class StoreServer:
    """Runs the application in a thread of this process."""

    def __init__(
        self,
        application: StoreApplication | None = None,
        port: int = 0,
    ) -> None:
        """Bind to loopback; port 0 selects a free port."""
        self.application = application or StoreApplication()
        self._server = wsgi.Server(
            ('127.0.0.1', port),
            self.application,
            numthreads=_THREADS,
            shutdown_timeout=3,
        )
        self._server.gateway = RequestGateway
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
        """Base URL of the service."""
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
        """Wait until the server has stopped."""
        self._thread.join()


def main() -> None:
    """Serve until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--reads-per-s', type=float, default=2000)
    parser.add_argument('--writes-per-s', type=float, default=500)
    options = parser.parse_args()
    application = StoreApplication(
        reads_per_s=options.reads_per_s,
        writes_per_s=options.writes_per_s,
    )
    with StoreServer(application, options.port) as server:
        print(f'url={server.url}', flush=True)  # noqa: WPS421
        server.wait()


if __name__ == '__main__':
    main()
