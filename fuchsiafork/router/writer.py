"""Writes to a caller's socket and detects callers that do not read."""

import fcntl
import select
import socket
import struct
import termios
from collections.abc import Callable

from fuchsiafork.kernel import Clock

# Limits the kernel memory used for a caller that reads slowly.
SEND_BUFFER_BYTES = 65_536
# Short enough to detect a stall within a tenth of the stall time.
_POLL_MS = 500


class SlowWriteError(TimeoutError):
    """The caller made no progress for the write deadline."""


class CallerWriter:
    """
    The write side of a connection, which replaces the server's own.

    A write makes progress if the kernel accepts a byte or the peer
    acknowledges one: a caller that reads slowly frees the kernel's buffer
    only in large steps, but acknowledges in between.
    """

    def __init__(
        self,
        sock: socket.socket,
        clock: Clock,
        stall_s: float,
        deadline_s: float,
    ) -> None:
        """Call ``on_stall`` after ``stall_s``, fail after ``deadline_s``."""
        self.on_stall: Callable[[], None] = _ignore
        self.on_progress: Callable[[], None] = _ignore
        self._sock = sock
        self._clock = clock
        self._stall_s = stall_s
        self._deadline_s = deadline_s
        self._poll = select.poll()
        self._poll.register(sock, select.POLLOUT)
        sock.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_SNDBUF,
            SEND_BUFFER_BYTES,
        )

    def write(self, data: bytes) -> int:
        """
        Write all bytes to the kernel and return their number.

        :raises OSError: if the caller has disconnected.
        :raises SlowWriteError: if the caller makes no progress in time.
        """
        remaining = memoryview(data)
        progress = _WriteProgress(self)
        try:
            while remaining:
                sent = self._send(remaining)
                if sent:
                    remaining = remaining[sent:]
                    progress.record_progress()
                else:
                    self._poll.poll(_POLL_MS)
                    progress.check()
        finally:
            progress.record_progress()
        return len(data)

    def flush(self) -> None:
        """Do nothing; a write returns when the kernel has accepted it."""

    def close(self) -> None:
        """Do nothing; the server closes the socket."""

    def unacknowledged(self) -> int:
        """Return the number of bytes that the peer has not acknowledged."""
        answer = fcntl.ioctl(self._sock, termios.TIOCOUTQ, b'\0' * 4)
        return int(struct.unpack('i', answer)[0])

    def now(self) -> float:
        """Return the clock's time."""
        return self._clock.now()

    def is_stalled(self, idle_s: float) -> bool:
        """
        Return whether a write without progress for ``idle_s`` is stalled.

        :raises SlowWriteError: if the write deadline has passed.
        """
        if idle_s >= self._deadline_s:
            raise SlowWriteError(f'no progress for {self._deadline_s:g} s')
        return idle_s >= self._stall_s

    def _send(self, remaining: memoryview) -> int:
        """Return the number of bytes that the kernel accepted."""
        # ``send`` on a socket with a timeout would block.
        if not self._poll.poll(0):
            return 0
        try:
            return self._sock.send(remaining, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return 0


class _WriteProgress:
    """Tracks the progress of one write."""

    def __init__(self, writer: CallerWriter) -> None:
        """Start the time without progress."""
        self._writer = writer
        self._last_progress_at = writer.now()
        self._unacknowledged = -1
        self._stalled = False

    def record_progress(self) -> None:
        """Restart the time without progress."""
        self._last_progress_at = self._writer.now()
        if self._stalled:
            self._stalled = False
            self._writer.on_progress()

    def check(self) -> None:
        """Report a stall once, or record progress since the last check."""
        unacknowledged = self._writer.unacknowledged()
        if 0 <= unacknowledged < self._unacknowledged:
            self.record_progress()
        self._unacknowledged = unacknowledged
        idle = self._writer.now() - self._last_progress_at
        if self._writer.is_stalled(idle) and not self._stalled:
            self._stalled = True
            self._writer.on_stall()


def _ignore() -> None:
    """Do nothing."""
