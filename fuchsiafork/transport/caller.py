"""Server side of the HTTP connections of callers."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any

import h11

from fuchsiafork.transport.caller_guard import CallerGuard
from fuchsiafork.transport.caller_request import CallerLimits, CallerRequest
from fuchsiafork.transport.caller_resources import CALLERS
from fuchsiafork.transport.holders import Kind, Stage
from fuchsiafork.transport.request_side import RequestSide
from fuchsiafork.transport.response_side import Headers

_UNAVAILABLE = 503

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
    :ivar guard: bounds what connections hold; shared by all listeners.
    :ivar group: group of listeners that this one belongs to.
    :ivar stopping: whether each answer closes its connection.
    :ivar connections: the open connections.
    """

    serve: Serve
    refuse: Refuse
    limits: Callable[[], CallerLimits]
    guard: CallerGuard = dataclasses.field(default_factory=CallerGuard)
    group: str = CALLERS
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


class CallerConnection(RequestSide):
    """Server side of one connection; serves its requests in sequence."""

    def __init__(self, server: CallerServer) -> None:
        """Create a connection that has no transport yet."""
        super().__init__(server.guard, server.group, server.limits)
        self._server = server
        self._task: asyncio.Task[None] | None = None
        self._idle_since = self._loop.time()

    @property
    def busy(self) -> bool:
        """Whether a request is being read or served."""
        return self._task is not None or self._reading

    @property
    def idle_s(self) -> float:
        """Seconds since the connection was opened or the last answer ended."""
        return self._loop.time() - self._idle_since

    def connection_made(self, transport: Any) -> None:
        """Set up the transport and start the timeout of the first request."""
        super().connection_made(transport)
        if not self._guard.open(self._holder):
            self._closing = True
            self.shed(_UNAVAILABLE, 'too many connections', at_once=True)
            return
        self._server.connections.add(self)
        self._start_timer(self._server.limits().idle_timeout_s, self.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that is being served, if any."""
        self._closing = True
        self._server.connections.discard(self)
        self._stop_timer()
        self._release_sent()
        self._guard.unread.discard(self)
        self._guard.close(self._holder)
        self._reader.discard()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its sending side."""
        return False

    def close(self) -> None:
        """Close the connection after the written bytes have been sent."""
        self._closing = True
        self._stop_timer()
        self._close_transport()

    def abort(self) -> None:
        """Close the connection so that the answer is seen to be incomplete."""
        self._closing = True
        if self._transport is None:
            return
        if self._parser.their_http_version == b'1.0':
            self._transport.abort()
        else:
            self._close_transport()

    def begin(self, status: int, headers: Headers) -> None:
        """Send the status line and headers of an answer."""
        if self._closing or self._server.stopping:
            self._last = True
        super().begin(status, headers)

    def resume_writing(self) -> None:
        """Go on with the answer, or with the next request."""
        waiting = self._occupied and not self._serving
        super().resume_writing()
        if waiting and not self._closing:
            self._begin_next()

    def shed(self, status: int, reason: str, *, at_once: bool) -> None:
        """
        Refuse the request that is being read, or close the connection.

        :param at_once: whether not to wait until the caller has read the
            refusal.
        """
        if self._transport is None:
            return
        if self._refused or self._occupied:
            self._closing = True
            self._transport.abort()
        elif self._reading or not self._server_knows:
            self._reject(status, reason)
            if at_once:
                self._end_at_once()
        else:
            self.close()

    @property
    def _server_knows(self) -> bool:
        """Whether the connection was let in."""
        return self in self._server.connections

    @property
    def _serving(self) -> bool:
        """Whether a request is being served."""
        return self._task is not None

    def _serve(self, request: CallerRequest) -> None:
        """Begin to serve a request."""
        self._task = self._loop.create_task(self._server.serve(request, self))
        self._task.add_done_callback(self._end_request)

    def _send_refusal(self, status: int, reason: str) -> None:
        """Refuse a request that can't be read."""
        self._server.refuse(status, reason, self)

    def _end_request(self, task: asyncio.Task[None]) -> None:
        """Prepare the connection for the next request, or close it."""
        self._task = None
        self._idle_since = self._loop.time()
        self._keep(Kind.HEAD, 0)
        self._keep(Kind.BODY, 0)
        if not task.cancelled() and task.exception() is not None:
            self.abort()
        states = (self._parser.our_state, self._parser.their_state)
        if self._closing:
            self.close()
        elif states != (h11.DONE, h11.DONE):
            self.abort()
        elif self._last:
            self.close()
        else:
            self._parser.start_next_cycle()
            self._begin_next()

    def _begin_next(self) -> None:
        """Read the next request once there is room for its answer."""
        unread = self in self._guard.unread
        self._enter(Stage.RESPONDING if unread else Stage.IDLE)
        if not self._writable.is_set():
            self._require_reading()
            return
        self._start_timer(self._server.limits().idle_timeout_s, self.close)
        if not self._reader.unread_bytes:
            self._resume_reading()
            return
        self._keep(Kind.PIPELINED, 0)
        self._begin_reading()
        self._wait_for_more()
        if not self._closing:
            self._defer()

    def _end_at_once(self) -> None:
        """Close the connection; a refusal that was sent may be lost."""
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size():
            self._transport.abort()
        else:
            self._transport.close()


__all__ = (
    'CallerConnection',
    'CallerLimits',
    'CallerRequest',
    'CallerServer',
    'Headers',
    'Refuse',
    'Serve',
)
