"""Client side of an HTTP connection to a target or any other server."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import h11

# A connection is closed when sent bytes or keep-alive probes stay
# unacknowledged for this time.
ACK_TIMEOUT_MS = 1000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Reading pauses while more bytes of an answer than this are not yet consumed.
MAX_UNREAD_BYTES = 65_536
# Bytes that are read from a socket at a time.
READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536


# The event loop reads and hands over the bytes in one step.
_read_buffer = memoryview(bytearray(READ_BYTES))


class ConnectError(Exception):
    """
    The connection failed before any byte of the request was sent.

    :ivar silent: whether the attempt to connect timed out.
    """

    def __init__(self, reason: str, *, silent: bool = False) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.silent = silent


class BrokenAnswerError(Exception):
    """
    The answer is incomplete, malformed or missing.

    :ivar silent: whether the server stopped acknowledging data, so that the
        connection timed out.
    """

    def __init__(self, reason: str, *, silent: bool = False) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.silent = silent


def set_tcp_options(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm and make the kernel detect a dead peer."""
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACK_TIMEOUT_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for level, name, value in options:
        sock.setsockopt(level, name, value)


class ClientConnection(asyncio.BufferedProtocol):
    """
    Client side of one connection, which makes one call at a time.

    :ivar used: whether a call has been made on it.
    :ivar request_ids: ids of the requests that were sent on it.
    :ivar idle_since: time of the end of the last call, seconds.
    :ivar idle_limit_s: time for which the server keeps it open while idle.
    :ivar on_lost: called when the server ends it while it is idle.
    """

    def __init__(self) -> None:
        """Create a connection that has no transport yet."""
        self.used = False
        self.request_ids: set[str] = set()
        self.idle_since = 0.0
        self.idle_limit_s = 0.0
        self.on_lost: Callable[[], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._waiter: asyncio.Future[None] | None = None
        self._ended = False
        self._error: Exception | None = None
        self._unread_bytes = 0

    @property
    def open(self) -> bool:
        """Whether another call may be made."""
        transport = self._transport
        usable = transport is not None and not transport.is_closing()
        return usable and not self._ended and not self._unread_bytes

    @property
    def reusable(self) -> bool:
        """Whether the call is complete and another one can be made."""
        parser = self._parser
        ended = (parser.our_state, parser.their_state) == (h11.DONE, h11.DONE)
        sent = self._transport and not self._transport.get_write_buffer_size()
        clean = not parser.trailing_data[0]
        return bool(ended and sent and clean) and self.open

    def connection_made(self, transport: Any) -> None:
        """Store the transport and set its TCP options."""
        self._transport = transport
        set_tcp_options(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections read into, one by one."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read into the buffer."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse bytes; bytes on an idle connection make it unusable."""
        self._unread_bytes += len(data)
        if self._parser.our_state is not h11.IDLE:
            self._parser.receive_data(data)
        if self._unread_bytes > MAX_UNREAD_BYTES and self._transport:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Record the end of the stream; asyncio closes the transport."""
        self._report_loss()
        self._ended = True
        if self._parser.our_state is not h11.IDLE:
            self._parser.receive_data(b'')
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the error that ended the connection."""
        self._report_loss()
        if not self._ended:
            self._error = exc or ConnectionResetError('closed')
        self._ended = True
        self._wake()

    def send(self, request: h11.Request, body: bytes) -> None:
        """
        Send a request.

        :raises BrokenAnswerError: if the connection has been closed.
        """
        if self._transport is None or not self.open:
            raise BrokenAnswerError('the connection was closed')
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        self.used = True
        events: list[Any] = [request, h11.Data(body)] if body else [request]
        parts = [self._parser.send(event) or b'' for event in events]
        self._parser.send(h11.EndOfMessage())
        self._transport.write(b''.join(parts))

    async def next_event(self) -> Any:
        """
        Return the next parser event of the answer.

        :raises BrokenAnswerError: if the answer has ended or is malformed.
        """
        while True:
            event = self._parse()
            if event is not h11.NEED_DATA:
                return event
            await self._wait()

    def restart_answer(self) -> None:
        """Parse a further answer to the request, after a misdirected one."""
        rest = self._parser.trailing_data[0]
        self._parser = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._parser.send(
            h11.Request(
                method='GET',
                target='/',
                headers=[('host', 'x')],
            )
        )
        self._parser.send(h11.EndOfMessage())
        if rest:
            self._parser.receive_data(rest)

    def close(self) -> None:
        """Abort the connection; the server sees that its client is gone."""
        self._ended = True
        if self._transport is not None:
            self._transport.abort()

    def _parse(self) -> Any:
        """Return the next parser event, ``NEED_DATA`` if there is none yet."""
        try:
            event = self._parser.next_event()
        except h11.RemoteProtocolError as error:
            reason = 'the answer ended' if self._ended else str(error)
            raise self._broken(reason) from None
        if event is h11.NEED_DATA and self._ended:
            raise self._broken('the answer ended')
        if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise BrokenAnswerError('no answer')
        if isinstance(event, h11.EndOfMessage):
            self._unread_bytes = len(self._parser.trailing_data[0])
        return event

    def _broken(self, reason: str) -> BrokenAnswerError:
        """Return the error for an incomplete answer."""
        silent = isinstance(self._error, TimeoutError)
        return BrokenAnswerError(f'{self._error or reason!r}', silent=silent)

    async def _wait(self) -> None:
        """Wait for more bytes or the end of the connection."""
        self._unread_bytes = 0
        if self._transport is not None and not self._transport.is_reading():
            self._transport.resume_reading()
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _report_loss(self) -> None:
        """Report that the server has ended an idle connection."""
        on_lost, self.on_lost = self.on_lost, None
        if on_lost is not None and not self._ended:
            on_lost()

    def _wake(self) -> None:
        """Wake up the task that waits for bytes of the answer."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def connect(address: str, timeout_s: float) -> ClientConnection:
    """
    Open a connection to an address, ``ip:port``.

    :raises ConnectError: if it fails or takes too long.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                ClientConnection,
                host,
                int(port),
            )
    except (OSError, ValueError, OverflowError) as error:
        raise ConnectError(
            f'{address}: {error!r}',
            silent=isinstance(error, TimeoutError),
        ) from None
    return connection
