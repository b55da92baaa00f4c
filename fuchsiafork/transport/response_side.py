"""Response side of the connection of a caller."""

import asyncio
from typing import Any

import h11

from fuchsiafork.transport.caller_guard import CallerGuard
from fuchsiafork.transport.client_connection import set_tcp_options
from fuchsiafork.transport.header_encoding import encode_headers
from fuchsiafork.transport.holders import Holder, Kind, Stage
from fuchsiafork.transport.memory import HeldMemory, MemoryBound

# Bytes of a response that are buffered for a slow reader.
MAX_UNSENT_BYTES = 65_536
# The connection of a caller that reads nothing for this long is closed.
WRITE_TIMEOUT_S = 15.0

Headers = list[tuple[str, str]]


class AnswerMemory(HeldMemory):
    """What a connection keeps of an answer that isn't whole yet."""

    def __init__(
        self, bound: MemoryBound, guard: CallerGuard, holder: Holder
    ) -> None:
        """
        Start with nothing kept.

        :param bound: bound on the answers of all connections.
        """
        super().__init__(bound)
        self._guard = guard
        self._holder = holder

    def grow(self, size: int) -> bool:
        """Keep some more bytes; return whether that is allowed."""
        kept = self._guard.resize(
            self._holder, Kind.ANSWER, self.size + size, optional=True
        )
        if not kept:
            return False
        if super().grow(size):
            return True
        self._guard.resize(self._holder, Kind.ANSWER, self.size)
        return False

    def release(self) -> None:
        """Keep nothing any more."""
        super().release()
        self._guard.resize(self._holder, Kind.ANSWER, 0)


class ResponseSide(asyncio.BufferedProtocol):
    """Sends responses, and accounts for what callers have not read."""

    def __init__(
        self, guard: CallerGuard, group: str, header_bytes: int
    ) -> None:
        """
        Create a connection that has no transport yet.

        :param group: group of the listener.
        :param header_bytes: limit on the head of a request.
        """
        self._loop = asyncio.get_running_loop()
        self._guard = guard
        self._holder = Holder(self, group, self._loop.time())
        self._parser = h11.Connection(h11.SERVER, header_bytes)
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        # Memory that is free once the written bytes have been sent.
        self._released_when_sent: list[HeldMemory] = []
        self._written_bytes = 0
        # Bytes that the kernel had taken at the last look.
        self._sent_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._method = b''
        self._status = 0
        # Whether the response in progress is the last one.
        self._last = False

    @property
    def status(self) -> int:
        """Status code of the answer, 0 before it has started."""
        return self._status

    @property
    def started(self) -> bool:
        """Whether the answer has started."""
        return self._parser.our_state is not h11.SEND_RESPONSE

    def connection_made(self, transport: Any) -> None:
        """Set up the transport."""
        self._transport = transport
        set_tcp_options(transport)
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._writable.set()

    def pause_writing(self) -> None:
        """Make ``drain`` wait while the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let ``drain`` return once the write buffer has room."""
        self.update_unsent()
        self._release_sent()

    def hold_answer(self, bound: MemoryBound) -> AnswerMemory:
        """Return a holder for an answer that is kept until it is whole."""
        return AnswerMemory(bound, self._guard, self._holder)

    def release_when_sent(self, memory: HeldMemory) -> None:
        """Release memory once the bytes written so far have been sent."""
        if self._writable.is_set():
            memory.release()
        else:
            self._released_when_sent.append(memory)

    def begin(self, status: int, headers: Headers) -> None:
        """Send the status line and headers of an answer."""
        self._status = status
        if self._last:
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

    def update_unsent(self) -> None:
        """Account for what the caller has not read; end it if need be."""
        if self._transport is None:
            return
        unsent = self._transport.get_write_buffer_size()
        sent = self._written_bytes - unsent
        now = self._loop.time()
        if self in self._guard.unread:
            self._holder.record_progress(sent - self._sent_bytes, now)
        elif unsent:
            self._holder.progress_at = now
            self._guard.unread.add(self)
        self._sent_bytes = sent
        if not unsent:
            self._guard.unread.discard(self)
            if self._holder.stage is Stage.RESPONDING:
                self._guard.resources.enter(self._holder, Stage.IDLE, now)
        # An answer that is kept anyway is not counted twice.
        counted = max(0, unsent - self._holder.sizes[Kind.ANSWER])
        if not self._guard.resize(self._holder, Kind.RESPONSE, counted):
            self._guard.refuse(self._holder)
            self._transport.abort()

    def _send(self, event: Any) -> None:
        """Write an event of the answer to the transport, if it is open."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        data = self._parser.send(event)
        if data:
            transport.write(data)
            self._written_bytes += len(data)
        if self in self._guard.unread or transport.get_write_buffer_size():
            self.update_unsent()

    def _release_sent(self) -> None:
        """Let ``drain`` return, and release what was written."""
        self._writable.set()
        while self._released_when_sent:
            self._released_when_sent.pop().release()

    def _close_transport(self) -> None:
        """Close the connection once the caller has read what was written."""
        transport = self._transport
        if transport is None:
            return
        transport.close()
        if transport.get_write_buffer_size():
            self._require_reading()

    def _require_reading(self) -> None:
        """Disconnect the caller unless it goes on reading."""
        self.update_unsent()
        self._start_timer(
            WRITE_TIMEOUT_S, self._check_reading, self._sent_bytes
        )

    def _check_reading(self, sent_before: int) -> None:
        """Disconnect a caller that has read nothing since the last check."""
        self.update_unsent()
        if self._transport is None:
            return
        if self._sent_bytes == sent_before:
            self._transport.abort()
        else:
            self._require_reading()

    def _start_timer(self, seconds: float, callback: Any, *args: Any) -> None:
        """Schedule a callback in place of the one that was scheduled."""
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, callback, *args)

    def _stop_timer(self) -> None:
        """Cancel the scheduled callback, if any."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


__all__ = (
    'MAX_UNSENT_BYTES',
    'WRITE_TIMEOUT_S',
    'AnswerMemory',
    'Headers',
    'ResponseSide',
)
