"""Writes to a caller's socket and sees whether the caller reads."""

import fcntl
import select
import socket
import struct
import termios
from collections.abc import Callable

from fuchsiafork.kernel import Clock

# Bounds what the kernel holds for a caller that reads slowly.
SEND_BUFFER_BYTES = 65_536
# Short enough that a stall is noticed within a tenth of its time.
_POLL_MS = 500


class SlowWriteError(TimeoutError):
    """The caller made no progress for the write deadline."""


class CallerWriter:
    """
    The write side of a connection, in place of the server's own.

    Progress is that the kernel takes a byte, or that the peer acknowledges
    one: a caller that reads slowly frees the kernel's buffer only in large
    steps, but acknowledges in between.
    """

    def __init__(
        self,
        sock: socket.socket,
        clock: Clock,
        stall_s: float,
        deadline_s: float,
    ) -> None:
        """Call ``on_stall`` past ``stall_s``, give up past ``deadline_s``."""
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
        Return the bytes written once the kernel has taken all of them.

        :raises OSError: if the caller is gone.
        :raises SlowWriteError: if it makes no progress in time.
        """
        rest = memoryview(data)
        wait = _Wait(self)
        try:
            while rest:
                sent = self._send(rest)
                if sent:
                    rest = rest[sent:]
                    wait.note_progress()
                else:
                    self._poll.poll(_POLL_MS)
                    wait.check()
        finally:
            wait.note_progress()
        return len(data)

    def flush(self) -> None:
        """Do nothing; a write ends when the kernel has taken it."""

    def close(self) -> None:
        """Do nothing; the server closes the socket."""

    def unread(self) -> int:
        """Return the bytes that the peer has not acknowledged."""
        answer = fcntl.ioctl(self._sock, termios.TIOCOUTQ, b'\0' * 4)
        return int(struct.unpack('i', answer)[0])

    def now(self) -> float:
        """Return the clock's time."""
        return self._clock.now()

    def is_stalled(self, idle_s: float) -> bool:
        """
        Return whether a write without progress for so long is a stall.

        :raises SlowWriteError: if it is over the deadline.
        """
        if idle_s >= self._deadline_s:
            raise SlowWriteError(f'no progress for {self._deadline_s:g} s')
        return idle_s >= self._stall_s

    def _send(self, rest: memoryview) -> int:
        """Return how many bytes the kernel took."""
        # A socket with a time-out would wait inside of ``send``.
        if not self._poll.poll(0):
            return 0
        try:
            return self._sock.send(rest, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return 0


class _Wait:
    """The progress of one write."""

    def __init__(self, writer: CallerWriter) -> None:
        """Start without a stall."""
        self._writer = writer
        self._since = writer.now()
        self._unread = -1
        self._stalled = False

    def note_progress(self) -> None:
        """Start to count anew."""
        self._since = self._writer.now()
        if self._stalled:
            self._stalled = False
            self._writer.on_progress()

    def check(self) -> None:
        """Report a stall once, or progress since the last look."""
        unread = self._writer.unread()
        if 0 <= unread < self._unread:
            self.note_progress()
        self._unread = unread
        idle = self._writer.now() - self._since
        if self._writer.is_stalled(idle) and not self._stalled:
            self._stalled = True
            self._writer.on_stall()


def _ignore() -> None:
    """Take no notice."""
