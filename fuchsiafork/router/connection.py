"""Connections to callers whose reads and writes have deadlines."""

import io
import socket
import time
from typing import Any

from cheroot.server import HTTPConnection

from fuchsiafork.router.writer import CallerWriter

# Limits a chunk header that never ends.
MAX_LINE_BYTES = 65_536


class RequestSocket(socket.SocketIO):
    """
    Limits the time to receive one complete request.

    The server's own timeout restarts with each byte, so a caller that sends
    single bytes slowly would occupy a worker thread forever. After the
    deadline the first read fails and later reads return the end of the data,
    so that the refusal can still be sent.

    :ivar non_blocking: whether reads return None instead of waiting.
    """

    def __init__(
        self,
        sock: socket.socket,
        idle_s: float,
        deadline_s: float,
    ) -> None:
        """Read from a socket; the first request starts now."""
        super().__init__(sock, 'rb')
        self.non_blocking = False
        self._socket = sock
        self._idle_s = idle_s
        self._deadline_s = deadline_s
        self._expires_at = 0.0
        self._expired = False
        self.start_request()

    def start_request(self) -> None:
        """Start the deadline of the next request."""
        self._expires_at = time.monotonic() + self._deadline_s

    def readinto(self, buffer: Any) -> int | None:
        """
        Read into a buffer and return the number of bytes.

        :raises TimeoutError: if the request is not received in time.
        """
        if self.non_blocking:
            return None
        if self._expired:
            return 0
        remaining = self._expires_at - time.monotonic()
        self._socket.settimeout(max(0.001, min(self._idle_s, remaining)))
        try:
            return self._socket.recv_into(buffer)
        except TimeoutError:
            self._expired = True
            raise


class RequestReader(io.BufferedReader):
    """Buffered reader of a caller's requests."""

    def __init__(self, raw: RequestSocket, size: int) -> None:
        """Read from a socket with a deadline."""
        super().__init__(raw, size)
        self._request_socket = raw

    def readline(self, size: int | None = -1) -> bytes:
        """Return a line, or its start if it is over the limit."""
        if size is None or size < 0:
            size = MAX_LINE_BYTES
        return super().readline(size)

    def has_data(self) -> bool:
        """Return whether bytes of the next request are buffered."""
        self._request_socket.non_blocking = True
        try:
            return bool(self.peek(1))
        finally:
            self._request_socket.non_blocking = False


class CallerConnection(HTTPConnection):
    """Connection of a `CallerServer`."""

    def __init__(self, server: Any, sock: socket.socket, makefile: Any) -> None:
        """Replace the reader and the writer of the connection."""
        super().__init__(server, sock, makefile)
        section = server.section
        self._raw = RequestSocket(
            sock,
            server.timeout,
            section.read_deadline_s,
        )
        self.rfile = RequestReader(self._raw, self.rbufsize)
        self.wfile = CallerWriter(
            sock,
            server.clock,
            section.stall_s,
            section.write_deadline_s,
        )

    def communicate(self) -> bool:
        """Serve a request and return whether to keep the connection."""
        self._raw.start_request()
        return bool(super().communicate())
