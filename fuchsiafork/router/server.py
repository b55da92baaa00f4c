"""The callers' HTTP server."""

import socket
import threading
from typing import Any

from cheroot import wsgi

from fuchsiafork.kernel import Clock
from fuchsiafork.router.application import WRITER_KEY, Application
from fuchsiafork.router.connection import CallerConnection
from fuchsiafork.settings.models import RouterSection

ACCEPT_QUEUE = 128
# A caller that sends nothing for this long frees its worker thread.
READ_TIMEOUT_S = 10


class _Server(wsgi.Server):
    """Server that holds the clock and the limits for its connections."""

    ConnectionClass = CallerConnection
    clock: Clock
    section: RouterSection


class _WriterGateway(wsgi.WSGIGateway_10):
    """Passes the connection's writer to the application."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environment, including the writer."""
        return {**super().get_environ(), WRITER_KEY: self.req.conn.wfile}


def _ignore(*args: Any, **options: Any) -> None:
    """Discard an error message."""


class CallerServer:
    """Listens for callers and serves each in a worker thread."""

    def __init__(
        self,
        application: Application,
        settings: RouterSection,
        clock: Clock,
    ) -> None:
        """Create the server; port 0 selects a free port."""
        host, _, port = settings.listen.rpartition(':')
        self._server = _Server(
            (host.strip('[]'), int(port)),
            application,
            numthreads=settings.threads,
            request_queue_size=ACCEPT_QUEUE,
            timeout=READ_TIMEOUT_S,
        )
        self._server.gateway = _WriterGateway
        # An intentionally closed connection is an event, not an error to print.
        self._server.error_log = _ignore  # type: ignore[method-assign]
        self._server.max_request_header_size = settings.header_limit_bytes
        self._server.max_request_body_size = settings.body_limit_bytes
        self._server.clock = clock
        self._server.section = settings

    @property
    def port(self) -> int:
        """The listening port, valid once started."""
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
