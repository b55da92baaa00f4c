"""Request side of the connection of a caller."""

import contextlib
from collections.abc import Callable

import h11

from fuchsiafork.transport.caller_guard import CallerGuard
from fuchsiafork.transport.caller_request import CallerLimits, CallerRequest
from fuchsiafork.transport.caller_resources import BODY_COPIES, FIELD_BYTES
from fuchsiafork.transport.holders import Kind, Stage
from fuchsiafork.transport.request_reader import (
    LIGHT_FIELDS,
    BodyRead,
    HeadRead,
    RequestReader,
    UnreadableError,
)
from fuchsiafork.transport.response_side import ResponseSide

# Bytes that are read from a socket at a time, and those of a large body of
# known length.
READ_BYTES = 65_536
BULK_READ_BYTES = 262_144
# Bytes of pipelined requests that are kept while a request is being served.
# Reading pauses beyond them until the response has ended, as late as the time
# limits of the request and of its reader allow.
MAX_PIPELINED_BYTES = 16_384
# Time between a refusal and the close, in which the caller may still send, so
# that it can read the answer.
CLOSE_DELAY_S = 1.0
# A request isn't refused as late while its bytes wait to be parsed; the time
# after which this is checked again.
RECHECK_S = 1.0
# Work of starting a request, in units of a TurnQueue.
_REQUEST_UNITS = 200
_TIMEOUT = 408
_HEADERS_TOO_LARGE = 431
_UNAVAILABLE = 503

# The event loop reads and hands over the bytes in one step.
_read_buffer = memoryview(bytearray(BULK_READ_BYTES))


class RequestSide(ResponseSide):
    """
    Reads requests, within the limits on each and the resources of all.

    Its subclass serves and refuses them.
    """

    def __init__(
        self,
        guard: CallerGuard,
        group: str,
        limits: Callable[[], CallerLimits],
    ) -> None:
        """
        Create a connection that has no transport yet.

        :param group: group of the listener.
        :param limits: returns the limits in force.
        """
        super().__init__(guard, group, limits().header_bytes)
        self._limits = limits
        self._reader = RequestReader(self._parser, limits)
        self._head: HeadRead | None = None
        # Whether a request is being read.
        self._reading = False
        # Whether received bytes wait in the queue of costly work.
        self._deferred = False
        # The part of a request, head or body, whose time limit runs.
        self._timed: Kind | None = None
        self._refused = False
        self._closing = False

    @property
    def _serving(self) -> bool:
        """Whether a request is being served."""
        raise NotImplementedError

    @property
    def _occupied(self) -> bool:
        """Whether no request is read now, as one is answered."""
        return self._serving or not self._writable.is_set()

    def _serve(self, request: CallerRequest) -> None:
        """Begin to serve a request."""
        raise NotImplementedError

    def _send_refusal(self, status: int, reason: str) -> None:
        """Refuse a request that can't be read."""
        raise NotImplementedError

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections read into, one by one."""
        if self._serving:
            return _read_buffer[:MAX_PIPELINED_BYTES]
        if self._reader.awaits_bulk:
            return _read_buffer
        return _read_buffer[:READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read into the buffer."""
        self.receive(_read_buffer[:nbytes])

    def receive(self, data: memoryview) -> None:
        """Parse bytes of a request; limit those that arrive during another."""
        if self._closing:
            return
        self._reader.receive(data)
        if self._occupied:
            self._keep_pipelined()
            return
        self._holder.record_progress(len(data), self._loop.time())
        self._begin_reading()
        self._read()

    def _begin_reading(self) -> None:
        """Note that a request has begun to arrive."""
        if not self._reading:
            self._reading = True
            self._enter(Stage.RECEIVING)

    def _read(self, *, costly: bool = False) -> None:
        """
        Read what was received so far.

        :param costly: whether the first step may take long.
        """
        while not (self._closing or self._occupied or self._deferred):
            try:
                step = self._read_step(costly=costly)
            except UnreadableError as error:
                self._reject(error.status, str(error))
                return
            if step is None:
                self._wait_for_more()
                return
            costly = False
            self._handle(step)

    def _read_step(
        self, *, costly: bool
    ) -> HeadRead | BodyRead | CallerRequest | None:
        """
        Take the next step unless it is costly; None if it can't be taken.

        :raises UnreadableError: if the request must be refused.
        """
        if not costly and self._reader.is_costly():
            self._defer()
            return None
        return self._reader.read()

    def _handle(self, step: HeadRead | BodyRead | CallerRequest) -> None:
        """
        Handle what was read.

        Isn't a single-dispatch method, which would cost some 5 us a call.
        """
        if isinstance(step, CallerRequest):
            self._handle_request(step)
        elif isinstance(step, HeadRead):
            self._handle_head(step)
        elif self._head is not None and self._head.length is None:
            self._handle_chunks(step)

    def _handle_head(self, head: HeadRead) -> None:
        """Keep the head of a request, and let its body come."""
        self._head = head
        self._method = head.method
        if not self._keep(Kind.HEAD, self._head_bytes):
            self._refuse_kept(_UNAVAILABLE, 'no memory for requests is left')
        elif head.length and not self._keep(
            Kind.BODY, head.length * BODY_COPIES
        ):
            self._refuse_kept(_UNAVAILABLE, 'too many large bodies at once')
        elif self._parser.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def _handle_chunks(self, body: BodyRead) -> None:
        """Keep a part of a body whose length is not known."""
        if not self._keep(Kind.BODY, body.size * BODY_COPIES):
            self._refuse_kept(_UNAVAILABLE, 'too many large bodies at once')

    def _handle_request(self, request: CallerRequest) -> None:
        """Serve a whole request."""
        fields = len(request.headers)
        if fields > LIGHT_FIELDS and not self._keep(
            Kind.HEAD, fields * FIELD_BYTES
        ):
            self._refuse_kept(
                _HEADERS_TOO_LARGE, 'no memory for so many header fields'
            )
            return
        self._head = None
        self._reading = False
        self._stop_timer()
        self._timed = None
        self._enter(Stage.SERVING)
        self._serve(request)
        if self._reader.unread_bytes:
            self._keep_pipelined()

    @property
    def _head_bytes(self) -> int:
        """Memory of the head, and of bytes that were not read yet."""
        fields = self._head.fields if self._head else 0
        # The fields of a large head don't exist until the body is whole.
        objects = fields * FIELD_BYTES if fields <= LIGHT_FIELDS else 0
        return self._reader.kept_bytes + objects

    def _wait_for_more(self) -> None:
        """Limit the time and the memory of an unfinished request."""
        if not self._keep(Kind.HEAD, self._head_bytes):
            self._refuse_kept(_UNAVAILABLE, 'no memory for requests is left')
            return
        part = Kind.HEAD if self._head is None else Kind.BODY
        if part is self._timed or not self._reading:
            return
        self._timed = part
        limits = self._limits()
        limit = limits.idle_timeout_s
        if part is Kind.HEAD:
            limit = limits.header_timeout_s
        self._start_timer(limit, self._time_out)

    def _defer(self) -> None:
        """
        Go on reading in a later turn of the event loop.

        Reading from the socket pauses until then. The queue gets to each
        connection after one costly step of each other one at most.
        """
        self._deferred = True
        if self._transport is not None:
            self._transport.pause_reading()
        self._guard.turns.submit(self._go_on)

    def _go_on(self) -> int:
        """Take costly steps that were put off; return their units."""
        self._deferred = False
        if self._closing:
            return 0
        units = self._reader.units
        self._holder.progress_at = self._loop.time()
        self._read(costly=True)
        kept = self._reader.unread_bytes
        if not self._deferred and kept < MAX_PIPELINED_BYTES:
            self._resume_reading()
        started = _REQUEST_UNITS if self._serving else 0
        return self._reader.units - units + started

    def _keep_pipelined(self) -> None:
        """Limit what is kept of later requests while one is answered."""
        size = self._reader.unread_bytes
        if not self._keep(Kind.PIPELINED, size):
            # The connection ends after this answer.
            self._guard.refuse(self._holder)
            self._last = True
            self._reader.discard()
            self._keep(Kind.PIPELINED, 0)
            size = MAX_PIPELINED_BYTES
        if size < MAX_PIPELINED_BYTES:
            self._resume_reading()
        elif self._transport is not None:
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        """Read from the socket again."""
        if self._transport is not None and not self._transport.is_reading():
            self._transport.resume_reading()

    def _keep(self, kind: Kind, size: int) -> bool:
        """Return whether the connection may keep some bytes."""
        return self._guard.resize(self._holder, kind, size)

    def _enter(self, stage: Stage) -> None:
        """Record how far the connection has got."""
        self._guard.resources.enter(self._holder, stage, self._loop.time())

    def _time_out(self) -> None:
        """Refuse a request that is not received in time."""
        if self._deferred:
            self._start_timer(RECHECK_S, self._time_out)
        else:
            self._reject(_TIMEOUT, 'the request did not come in time')

    def _refuse_kept(self, status: int, reason: str) -> None:
        """Refuse a request for lack of memory."""
        self._guard.refuse(self._holder)
        self._reject(status, reason)

    def _reject(self, status: int, reason: str) -> None:
        """Refuse a request that cannot be read, and read no more of it."""
        self._closing = True
        self._refused = True
        self._reader.discard()
        self._guard.resources.give_up(self._holder)
        self._enter(Stage.CLOSING)
        self._stop_timer()
        if self._parser.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            self._send_refusal(status, reason)
        if self._transport is None:
            return
        with contextlib.suppress(OSError, RuntimeError):
            self._transport.write_eof()
        self._start_timer(CLOSE_DELAY_S, self._transport.abort)


__all__ = (
    'CLOSE_DELAY_S',
    'MAX_PIPELINED_BYTES',
    'READ_BYTES',
    'RequestSide',
)
