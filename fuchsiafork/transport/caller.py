"""Server side of the HTTP connections of callers."""

import asyncio
import contextlib
import dataclasses
import functools
from collections.abc import Callable, Coroutine
from typing import Any

import h11

from fuchsiafork.transport.client_connection import set_tcp_options
from fuchsiafork.transport.header_encoding import encode_headers
from fuchsiafork.transport.memory import HeldMemory, MemoryBound

# Bytes of pipelined requests that are read while a request is being served.
MAX_PIPELINED_BYTES = 65_536
# Bytes of an answer that are buffered for a slow reader.
MAX_UNSENT_BYTES = 131_072
# Time between a refusal and the close, in which the caller may still send, so
# that it can read the answer.
CLOSE_DELAY_S = 1.0
# The connection of a caller that reads nothing for this long is closed.
WRITE_TIMEOUT_S = 15.0

Headers = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of requests and the idle time of connections."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """
    A complete request.

    :ivar target: request target: path and query as they were sent.
    :ivar headers: pairs of name, in lower case, and value.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition('?')[0]

    def header(self, name: str) -> str:
        """Return the value of a header, empty if there is none."""
        return next((value for key, value in self.headers if key == name), '')


Serve = Callable[
    [CallerRequest, 'CallerConnection'],
    Coroutine[Any, Any, None],
]
Refuse = Callable[[int, str, 'CallerConnection'], None]


@dataclasses.dataclass(slots=True)
class CallerServer:
    """
    State that the connections of one listener share.

    :ivar serve: answers a request.
    :ivar refuse: answers a request that could not be read.
    :ivar limits: returns the limits in force.
    :ivar bodies: bound on the bodies of all requests, None for no bound.
    :ivar stopping: whether each answer closes its connection.
    :ivar connections: the open connections.
    """

    serve: Serve
    refuse: Refuse
    limits: Callable[[], CallerLimits]
    bodies: MemoryBound | None = None
    stopping: bool = False
    connections: set['CallerConnection'] = dataclasses.field(
        default_factory=set,
    )

    @property
    def busy(self) -> bool:
        """Whether a request is being read or served."""
        return any(connection.busy for connection in self.connections)

    def close_idle(self, seconds: float) -> None:
        """Close the connections that have been idle for some seconds."""
        for connection in tuple(self.connections):
            if not connection.busy and connection.idle_s >= seconds:
                connection.close()


class CallerConnection(asyncio.Protocol):
    """Server side of one connection; serves its requests in sequence."""

    def __init__(self, server: CallerServer) -> None:
        """Create a connection that has no transport yet."""
        self._server = server
        self._parser = h11.Connection(
            h11.SERVER,
            server.limits().header_bytes,
        )
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._body_memory = server.bodies.hold() if server.bodies else None
        # Memory that is free once the written bytes have been sent.
        self._unsent: list[HeldMemory] = []
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._method = b''
        self._status = 0
        self._reading = False
        self._pipelined_bytes = 0
        self._idle_since = asyncio.get_running_loop().time()
        self._closing = False

    @property
    def busy(self) -> bool:
        """Whether a request is being read or served."""
        return self._task is not None or self._reading

    @property
    def idle_s(self) -> float:
        """Seconds since the connection was opened or the last answer ended."""
        return asyncio.get_running_loop().time() - self._idle_since

    @property
    def status(self) -> int:
        """Status code of the answer, 0 before it has started."""
        return self._status

    @property
    def started(self) -> bool:
        """Whether the answer has started."""
        return self._parser.our_state is not h11.SEND_RESPONSE

    def connection_made(self, transport: Any) -> None:
        """Set up the transport and start the timeout of the first request."""
        self._transport = transport
        set_tcp_options(transport)
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._writable.set()
        self._server.connections.add(self)
        self._start_timer(self._server.limits().idle_timeout_s, self.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that is being served, if any."""
        self._closing = True
        self._server.connections.discard(self)
        self._stop_timer()
        self._release_unsent()
        if self._task is not None:
            self._task.cancel()
        else:
            self._release_body()

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its sending side."""
        return False

    def pause_writing(self) -> None:
        """Make ``drain`` wait while the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let ``drain`` return once the write buffer has room."""
        self._release_unsent()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a request; limit those that arrive during another."""
        if self._closing:
            return
        self._parser.receive_data(data)
        if self._task is None:
            self._begin_reading()
            self._read()
            return
        self._pipelined_bytes += len(data)
        if self._pipelined_bytes > MAX_PIPELINED_BYTES and self._transport:
            self._transport.pause_reading()

    def close(self) -> None:
        """Close the connection after the written bytes have been sent."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection so that the answer is seen to be incomplete."""
        self._closing = True
        if self._transport is None:
            return
        if self._parser.their_http_version == b'1.0':
            self._transport.abort()
        else:
            self._transport.close()

    def release_when_sent(self, memory: HeldMemory) -> None:
        """Release memory once the bytes written so far have been sent."""
        if self._writable.is_set():
            memory.release()
        else:
            self._unsent.append(memory)

    def begin(self, status: int, headers: Headers) -> None:
        """Send the status line and headers of an answer."""
        self._status = status
        if self._server.stopping or self._closing:
            headers = [*headers, ('connection', 'close')]
        encoded = encode_headers(headers)
        self._send(h11.Response(status_code=status, headers=encoded))

    def write(self, data: bytes) -> None:
        """Send a part of the body; nothing if the request was a HEAD."""
        if self._method != b'HEAD':
            self._send(h11.Data(data))

    def finish(self) -> None:
        """End the answer as a complete one."""
        self._send(h11.EndOfMessage())

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        length = ('content-length', str(len(body)))
        self.begin(status, [*headers, length])
        if body:
            self.write(body)
        self.finish()

    async def drain(self) -> None:
        """Wait for room in the write buffer; disconnect a stalled caller."""
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self._writable.wait()
        except TimeoutError:
            if self._transport is not None:
                self._transport.abort()

    def _send(self, event: Any) -> None:
        """Write an event of the answer to the transport, if it is open."""
        if self._transport is None or self._transport.is_closing():
            return
        data = self._parser.send(event)
        if data:
            self._transport.write(data)

    def _release_unsent(self) -> None:
        """Let ``drain`` return, and release what was written."""
        self._writable.set()
        while self._unsent:
            self._unsent.pop().release()

    def _hold_body(self, size: int) -> bool:
        """Return whether a part of a body may be kept."""
        return self._body_memory is None or self._body_memory.grow(size)

    def _release_body(self) -> None:
        """Release the memory of the body of the last request."""
        if self._body_memory is not None:
            self._body_memory.release()

    def _begin_reading(self) -> None:
        """Start the timeout for the head of a request."""
        if not self._reading:
            self._reading = True
            limit = self._server.limits().header_timeout_s
            self._start_timer(limit, self._time_out)

    def _read(self) -> None:
        """Handle the events in the bytes received so far."""
        while not self._closing and self._task is None:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint or 400, str(error))
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._handle_event(event)

    @functools.singledispatchmethod
    def _handle_event(self, event: Any) -> None:
        """Handle a parser event; the end of the connection is ignored."""

    @_handle_event.register
    def _(self, event: h11.Request) -> None:
        self._head = event
        self._method = event.method
        self._body.clear()
        limits = self._server.limits()
        self._start_timer(limits.idle_timeout_s, self._time_out)
        if _head_length(event) > limits.header_bytes:
            self._reject(431, 'the headers are over the bound')
        elif _content_length(event) > limits.body_bytes:
            self._reject(413, 'the body is over the bound')
        elif not self._hold_body(_content_length(event)):
            self._reject(503, 'too many large bodies at once')
        elif self._parser.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    @_handle_event.register
    def _(self, event: h11.Data) -> None:
        self._body += event.data
        if len(self._body) > self._server.limits().body_bytes:
            self._reject(413, 'the body is over the bound')
        elif not self._has_length and not self._hold_body(len(event.data)):
            self._reject(503, 'too many large bodies at once')

    @_handle_event.register
    def _(self, event: h11.EndOfMessage) -> None:
        head, self._head = self._head, None
        if head is None:
            return
        self._reading = False
        request = CallerRequest(
            method=head.method.decode('latin-1'),
            target=head.target.decode('latin-1'),
            headers=tuple(
                (name.decode('latin-1'), value.decode('latin-1'))
                for name, value in head.headers
            ),
            body=bytes(self._body),
        )
        self._body.clear()
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._server.serve(request, self))
        self._task.add_done_callback(self._end_request)

    def _end_request(self, task: asyncio.Task[None]) -> None:
        """Prepare the connection for the next request, or close it."""
        self._task = None
        self._release_body()
        if not task.cancelled() and task.exception() is not None:
            self.abort()
        if self._closing:
            self.close()
            return
        states = (self._parser.our_state, self._parser.their_state)
        if states != (h11.DONE, h11.DONE):
            self.abort()
            return
        self._parser.start_next_cycle()
        self._idle_since = asyncio.get_running_loop().time()
        if self._transport is not None and not self._transport.is_reading():
            self._transport.resume_reading()
        self._start_timer(self._server.limits().idle_timeout_s, self.close)
        self._pipelined_bytes = 0
        if self._parser.trailing_data[0]:
            self._begin_reading()
            self._read()

    @property
    def _has_length(self) -> bool:
        """Whether the request that is being read tells its length."""
        return self._head is not None and bool(_content_length(self._head))

    def _time_out(self) -> None:
        """Refuse a request that is not received in time."""
        self._reject(408, 'the request did not come in time')

    def _reject(self, status: int, reason: str) -> None:
        """Refuse a request that cannot be read, and read no more of it."""
        self._closing = True
        self._body.clear()
        self._release_body()
        self._stop_timer()
        if self._parser.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            self._server.refuse(status, reason, self)
        if self._transport is None:
            return
        with contextlib.suppress(OSError, RuntimeError):
            self._transport.write_eof()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CLOSE_DELAY_S, self._transport.abort)

    def _start_timer(
        self, seconds: float, callback: Callable[[], None]
    ) -> None:
        """Schedule a callback in place of the one that was scheduled."""
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, callback)

    def _stop_timer(self) -> None:
        """Cancel the scheduled callback, if any."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _head_length(head: h11.Request) -> int:
    """Return the size of a request's head in bytes, line ends included."""
    header_bytes = sum(
        len(name) + len(value) + 4 for name, value in head.headers
    )
    return len(head.method) + len(head.target) + header_bytes + 14


def _content_length(head: h11.Request) -> int:
    """Return the value of the Content-Length header, 0 if there is none."""
    for name, value in head.headers:
        if name == b'content-length':
            return int(value)
    return 0
