"""The callers' HTTP server."""

import socket
import threading
from typing import Any

from cheroot import wsgi

from fuchsiafork.router.application import SOCKET_KEY, Application

ACCEPT_QUEUE = 128
# A caller that sends nothing for this long frees its worker thread.
READ_TIMEOUT_S = 10


class _Gateway(wsgi.WSGIGateway_10):
    """Gives the application the socket of its caller."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environment with the socket in it."""
        return {**super().get_environ(), SOCKET_KEY: self.req.conn.socket}


def _ignore(*args: Any, **options: Any) -> None:
    """Print nothing."""


class CallerServer:
    """Listens for callers and serves each in a worker thread."""

    def __init__(
        self,
        address: tuple[str, int],
        application: Application,
        threads: int,
        header_limit: int,
        body_limit: int,
    ) -> None:
        """Listen on an address; port 0 takes a free one."""
        self._server = wsgi.Server(
            address,
            application,
            numthreads=threads,
            request_queue_size=ACCEPT_QUEUE,
            timeout=READ_TIMEOUT_S,
        )
        self._server.gateway = _Gateway
        # Breaking a connection on purpose is an event, not a fault to print.
        self._server.error_log = _ignore  # type: ignore[method-assign]
        self._server.max_request_header_size = header_limit
        self._server.max_request_body_size = body_limit

    @property
    def port(self) -> int:
        """The port listened on, once started."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Listen and serve in the background."""
        self._server.prepare()
        listener = self._server.socket
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self) -> None:
        """Close the socket and all connections."""
        self._server.stop()
