"""A caller's connection whose reads and writes have deadlines."""

import io
import socket
import time
from typing import Any

from cheroot.server import HTTPConnection

from fuchsiafork.router.writer import CallerWriter

# A caller could send the head of a chunk without an end.
LONGEST_LINE = 65_536


class RequestSocket(socket.SocketIO):
    """
    Bounds the time in which one request must have come whole.

    The server's own time-out starts anew with each byte, so a caller that
    sends a byte now and then would hold a worker thread without end. Past
    the deadline the first read fails and later ones find the end of the
    data, so that the refusal can still be sent.

    :ivar quiet: whether reads find nothing instead of waiting.
    """

    def __init__(
        self,
        sock: socket.socket,
        idle_s: float,
        deadline_s: float,
    ) -> None:
        """Read from a socket."""
        super().__init__(sock, 'rb')
        self.quiet = False
        self._peer = sock
        self._idle_s = idle_s
        self._deadline_s = deadline_s
        self._until = 0.0
        self._expired = False
        self.begin()

    def begin(self) -> None:
        """Start the time of the next request."""
        self._until = time.monotonic() + self._deadline_s

    def readinto(self, buffer: Any) -> int | None:
        """
        Return how many bytes came.

        :raises TimeoutError: if the request takes too long.
        """
        if self.quiet:
            return None
        if self._expired:
            return 0
        remaining = self._until - time.monotonic()
        self._peer.settimeout(max(0.001, min(self._idle_s, remaining)))
        try:
            return self._peer.recv_into(buffer)
        except TimeoutError:
            self._expired = True
            raise


class RequestReader(io.BufferedReader):
    """Buffered reader of a caller's requests."""

    def __init__(self, raw: RequestSocket, size: int) -> None:
        """Read from a socket with a deadline."""
        super().__init__(raw, size)
        self._source = raw

    def readline(self, size: int | None = -1) -> bytes:
        """Return a line, or its start if it is too long for one."""
        if size is None or size < 0:
            size = LONGEST_LINE
        return super().readline(size)

    def has_data(self) -> bool:
        """Return whether bytes of a next request are in the buffer."""
        self._source.quiet = True
        try:
            return bool(self.peek(1))
        finally:
            self._source.quiet = False


class CallerConnection(HTTPConnection):
    """Connection of a `CallerServer`."""

    def __init__(self, server: Any, sock: socket.socket, makefile: Any) -> None:
        """Take a connection over from the server."""
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
        """Return whether the connection is to be kept after a request."""
        self._raw.begin()
        return bool(super().communicate())
