"""A crowd of callers that misbehave, on plain sockets in one thread."""

import asyncio
import dataclasses
import errno
import selectors
import socket
import time
from collections.abc import Sequence

# Size of the receive buffer of callers that read nothing, bytes.
_SMALL_BUFFER = 4096
_SELECT_TIMEOUT_S = 0.02
_IN_PROGRESS = frozenset((0, errno.EINPROGRESS))


@dataclasses.dataclass(frozen=True, slots=True)
class Misbehaviour:
    """
    What one caller of a crowd sends.

    :ivar payload: bytes that are sent once; shared by the whole crowd.
    :ivar piece_bytes: bytes that are handed to the kernel at a time.
    :ivar pause_s: seconds between two pieces.
    :ivar reads: whether it reads the responses, and discards them.
    """

    payload: bytes
    piece_bytes: int = 65_536
    pause_s: float = 0.0
    reads: bool = False


class _Caller:
    """One connection of a crowd."""

    __slots__ = ('behaviour', 'next_at', 'position', 'sock')

    def __init__(self, behaviour: Misbehaviour, port: int) -> None:
        """Start to connect."""
        self.behaviour = behaviour
        self.position = 0
        self.next_at = 0.0
        self.sock = socket.socket()
        self.sock.settimeout(0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not behaviour.reads:
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER
            )
        code = self.sock.connect_ex(('127.0.0.1', port))
        if code not in _IN_PROGRESS:
            raise OSError(code, 'the crowd can not connect')

    @property
    def done(self) -> bool:
        """Whether everything has been sent."""
        return self.position >= len(self.behaviour.payload)

    def send_piece(self, now: float) -> None:
        """
        Send as much as is due.

        :raises OSError: if the connection was closed.
        """
        behaviour = self.behaviour
        if self.done or now < self.next_at:
            return
        end = self.position + behaviour.piece_bytes
        piece = memoryview(behaviour.payload)[self.position : end]
        try:
            self.position += self.sock.send(piece)
        except BlockingIOError:
            return
        self.next_at = now + behaviour.pause_s

    def discard_received(self) -> bool:
        """
        Read and discard; return whether the connection is still open.

        :raises OSError: if the connection was reset.
        """
        try:
            return bool(self.sock.recv(65_536))
        except BlockingIOError:
            return True


class CallerCrowd:
    """
    Connections that send, and stay open until the crowd is closed.

    :ivar closed: number of connections that the server has closed.
    """

    def __init__(
        self,
        port: int,
        behaviours: Sequence[Misbehaviour],
        reopened: int = 0,
    ) -> None:
        """
        Prepare one connection for each behaviour.

        :param reopened: how many connections are opened again, in all, after
            the server has closed them.
        """
        self.closed = 0
        self._port = port
        self._behaviours = behaviours
        self._reopened = reopened
        self._callers: set[_Caller] = set()
        self._selector = selectors.EpollSelector()

    @property
    def unsent(self) -> bool:
        """Whether an open connection has something left to send."""
        return any(not caller.done for caller in self._callers)

    async def send(self, seconds: float) -> None:
        """Connect, and send for some seconds; the connections stay open."""
        await asyncio.to_thread(self._send, seconds)

    def close(self) -> None:
        """Close all connections."""
        for caller in tuple(self._callers):
            self._drop(caller)
        self._selector.close()

    def _send(self, seconds: float) -> None:
        """Send for some seconds; see send()."""
        for behaviour in self._behaviours:
            self._open(behaviour)
        ends_at = time.monotonic() + seconds
        now = time.monotonic()
        while now < ends_at:
            ready = self._selector.select(_SELECT_TIMEOUT_S)
            for key, events in ready:
                self._handle(key.data, events, now)
            if any(key.data.behaviour.pause_s for key, _ in ready):
                # Those that pause are writable all the time.
                time.sleep(_SELECT_TIMEOUT_S)
            now = time.monotonic()

    def _open(self, behaviour: Misbehaviour) -> None:
        """Open one connection."""
        caller = _Caller(behaviour, self._port)
        self._callers.add(caller)
        # The end of a connection is reported as well.
        events = selectors.EVENT_WRITE
        if behaviour.reads:
            events |= selectors.EVENT_READ
        self._selector.register(caller.sock, events, caller)

    def _handle(self, caller: _Caller, events: int, now: float) -> None:
        """Send or read on one connection."""
        try:
            still_open = self._exchange(caller, events, now)
        except OSError:
            still_open = False
        if still_open:
            return
        self.closed += 1
        self._drop(caller)
        if self._reopened:
            self._reopened -= 1
            self._open(caller.behaviour)

    def _exchange(self, caller: _Caller, events: int, now: float) -> bool:
        """Send and read; return whether the connection is still open."""
        if events & selectors.EVENT_READ and not caller.discard_received():
            return False
        if events & selectors.EVENT_WRITE:
            caller.send_piece(now)
        if caller.done:
            self._watch_end(caller)
        return True

    def _watch_end(self, caller: _Caller) -> None:
        """Wait for nothing but the end of a connection."""
        if caller.behaviour.reads:
            self._selector.modify(caller.sock, selectors.EVENT_READ, caller)
        else:
            self._selector.unregister(caller.sock)

    def _drop(self, caller: _Caller) -> None:
        """Close a connection."""
        self._callers.discard(caller)
        if caller.sock in self._selector.get_map():
            self._selector.unregister(caller.sock)
        caller.sock.close()


__all__ = ('CallerCrowd', 'Misbehaviour')
