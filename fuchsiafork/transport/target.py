"""Connection to a target, or to any other HTTP server, one call at a time."""

import asyncio
import socket
from typing import Any

import h11

# Unacknowledged bytes and unanswered probes end a connection after this time.
SILENCE_MS = 1000
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
# Reading stops while this much of an answer has not been taken.
UNREAD_BYTES = 131_072
LONGEST_HEAD = 65_536


class ConnectError(Exception):
    """
    No byte of the request was sent.

    :ivar silent: whether there was no answer at all to the connection.
    """

    def __init__(self, reason: str, *, silent: bool = False) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.silent = silent


class BrokenAnswerError(Exception):
    """
    The answer ended before it was whole, or is no answer.

    :ivar silent: whether the server just stopped answering.
    """

    def __init__(self, reason: str, *, silent: bool = False) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.silent = silent


def watch_silence(transport: asyncio.BaseTransport) -> None:
    """Make the kernel notice a peer that no longer acknowledges anything."""
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT),
    )
    for level, name, value in options:
        sock.setsockopt(level, name, value)


class TargetConnection(asyncio.Protocol):
    """
    Client side of one connection.

    :ivar used: whether a call was made on it before.
    :ivar idle_since: time of the end of the last call, seconds.
    :ivar idle_limit_s: time for which the server keeps it open while idle.
    """

    def __init__(self) -> None:
        """Start without a transport."""
        self.used = False
        self.idle_since = 0.0
        self.idle_limit_s = 0.0
        self._transport: asyncio.Transport | None = None
        self._parser = h11.Connection(h11.CLIENT, LONGEST_HEAD)
        self._waiter: asyncio.Future[None] | None = None
        self._ended = False
        self._fault: Exception | None = None
        self._unread = 0

    @property
    def open(self) -> bool:
        """Whether another call may be made."""
        transport = self._transport
        usable = transport is not None and not transport.is_closing()
        return usable and not self._ended and not self._unread

    @property
    def reusable(self) -> bool:
        """Whether the call is over and the connection is in order."""
        parser = self._parser
        over = (parser.our_state, parser.their_state) == (h11.DONE, h11.DONE)
        sent = self._transport and not self._transport.get_write_buffer_size()
        clean = not parser.trailing_data[0]
        return bool(over and sent and clean) and self.open

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport
        watch_silence(transport)

    def data_received(self, data: bytes) -> None:
        """Take bytes; those of an idle connection make it unusable."""
        self._unread += len(data)
        if self._parser.our_state is not h11.IDLE:
            self._parser.receive_data(data)
        if self._unread > UNREAD_BYTES and self._transport:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note the end; the transport closes itself."""
        self._ended = True
        if self._parser.our_state is not h11.IDLE:
            self._parser.receive_data(b'')
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note why the connection has ended."""
        if not self._ended:
            self._fault = exc or ConnectionResetError('closed')
        self._ended = True
        self._wake()

    def send(self, request: h11.Request, body: bytes) -> None:
        """
        Send a request.

        :raises BrokenAnswerError: if the connection has ended meanwhile.
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
        Return the next part of the answer.

        :raises BrokenAnswerError: if there is none.
        """
        while True:
            event = self._parse()
            if event is not h11.NEED_DATA:
                return event
            await self._wait()

    def restart_answer(self) -> None:
        """Expect another answer to the same request, after a foreign one."""
        rest = self._parser.trailing_data[0]
        self._parser = h11.Connection(h11.CLIENT, LONGEST_HEAD)
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
        """End the connection at once; the server sees its caller gone."""
        self._ended = True
        if self._transport is not None:
            self._transport.abort()

    def _parse(self) -> Any:
        """Return the next event of the parser."""
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
            self._unread = len(self._parser.trailing_data[0])
        return event

    def _broken(self, reason: str) -> BrokenAnswerError:
        """Return why the answer is not whole."""
        silent = isinstance(self._fault, TimeoutError)
        return BrokenAnswerError(f'{self._fault or reason!r}', silent=silent)

    async def _wait(self) -> None:
        """Wait for more bytes or the end."""
        self._unread = 0
        if self._transport is not None and not self._transport.is_reading():
            self._transport.resume_reading()
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        """Wake the reader of the answer."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def connect(address: str, timeout_s: float) -> TargetConnection:
    """
    Return a new connection to IP:PORT.

    :raises ConnectError: if it isn't made in time.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                TargetConnection,
                host,
                int(port),
            )
    except (OSError, ValueError) as error:
        raise ConnectError(
            f'{address}: {error!r}',
            silent=isinstance(error, TimeoutError),
        ) from None
    return connection
