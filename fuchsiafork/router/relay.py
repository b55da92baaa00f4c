"""
Relays an answer from a target to a caller with bounded memory.

A piece is read only after the one before it was taken by the caller's
socket, so a slow caller stops the reading and memory stays at one piece and
the kernel's bounded buffers. When a caller stands still, the engine's stream
is paused and its connection closed; it is resumed at the position that the
caller was sent once the caller has taken the piece at hand.
"""

import json

from fuchsiafork.adapters.target_call import BrokenCallError, TargetCall
from fuchsiafork.kernel import Clock
from fuchsiafork.router.caller import Caller, CallerGoneError
from fuchsiafork.router.commands import RelayResult, RelayStream
from fuchsiafork.router.engine_stream import EngineStream
from fuchsiafork.router.stream import (
    EventSplitter,
    EventStreamMeter,
    StreamCount,
    read_usage,
)

# A gap measured while the caller held the stream up for longer than this
# share of the time says nothing of the engine.
_MAX_BLOCKED_FRACTION = 0.1

_EVENT_STREAM = 'text/event-stream'


class Relay:
    """One answer on its way."""

    def __init__(
        self,
        call: TargetCall,
        caller: Caller,
        clock: Clock,
        command: RelayStream,
        called_at: float,
        stream: EngineStream | None,
        chunk_bytes: int,
    ) -> None:
        """Relay the open answer of a call that began at ``called_at``."""
        self._call = call
        self._caller = caller
        self._clock = clock
        self._command = command
        self._meter = EventStreamMeter()
        self._buffered = bytearray()
        self._buffer_exceeded = False
        self._headers_sent = False
        self._caller_gone = False
        self._over_limit = False
        self._called_at = called_at
        self._first_chunk_at = -1.0
        self._last_chunk_at = -1.0
        self._chunk_bytes = chunk_bytes
        self._splitter = EventSplitter()
        self._paused = False
        self._blocked_s = 0.0
        self._is_event_stream = _EVENT_STREAM in command.headers.get(
            'content-type', ''
        )
        pausable = (
            self._is_event_stream and command.token_limit and not command.drain
        )
        self._stream = stream if pausable else None
        if self._stream is not None:
            caller.on_stall = self._pause

    def run(self) -> RelayResult:
        """Return what was seen once the answer has ended."""
        try:
            ended = self._forward_chunks()
        except BrokenCallError:
            ended = False
        finally:
            self._close_stream()
        complete = ended and not self._over_limit
        if self._is_event_stream:
            complete = complete and self._meter.count.complete
        elif complete:
            self._send_buffered()
        return self._make_result(complete=complete)

    def _forward_chunks(self) -> bool:
        """Return whether the answer came to its end."""
        while not self._over_limit:
            remaining = self._command.deadline - self._clock.now()
            if remaining <= 0:
                return False
            self._call.set_timeout(remaining)
            chunk = self._call.read(self._chunk_bytes)
            if not chunk:
                self._forward_events(self._splitter.drain())
                return True
            self._record_arrival()
            if self._is_event_stream:
                self._forward_events(self._splitter.feed(chunk))
            else:
                self._forward_bytes(chunk)
            if self._caller_gone and not self._command.drain:
                return False
            if self._paused:
                self._resume()
        return False

    def _forward_bytes(self, chunk: bytes) -> None:
        """Pass on a piece of an answer that is no event stream."""
        self._buffer(chunk)
        if self._buffer_exceeded:
            self._write(chunk)

    def _forward_events(self, chunk: bytes) -> None:
        """Pass on whole events of a stream, within the token limit."""
        if not chunk:
            return
        self._buffer(chunk)
        self._meter.feed(chunk)
        limit = self._command.token_limit
        used = self._command.prompt_tokens + self._meter.count.output_tokens
        if limit and used > limit:
            self._over_limit = True
        else:
            self._write(chunk)

    def _pause(self) -> None:
        """Pause the engine's stream while the caller stands still."""
        if self._stream is None or self._splitter.split or self._paused:
            return
        if self._meter.count.complete:
            self._stream.release_slot()
            return
        self._paused = self._stream.pause()
        if self._paused:
            self._call.close()

    def _resume(self) -> None:
        """
        Go on with a paused stream after the events that were passed on.

        :raises BrokenCallError: if the engine cannot resume it.
        """
        if self._stream is None:
            raise BrokenCallError('no stream to resume')
        started_at = self._clock.now()
        self._splitter.drain()
        self._call = self._stream.resume(self._meter.count.output_tokens)
        self._paused = False
        self._blocked_s += self._clock.now() - started_at

    def _close_stream(self) -> None:
        """End a stream that is still paused, or its resumed connection."""
        self._caller.on_stall = _ignore
        if self._paused and self._stream is not None:
            self._stream.cancel()
        self._call.close()

    def _buffer(self, chunk: bytes) -> None:
        """
        Keep the answer for a replay while it is within the bound.

        An answer that is no event stream is also held back until it is
        whole or over the bound, so that a broken one can be tried again.
        """
        if self._buffer_exceeded:
            return
        self._buffered.extend(chunk)
        if len(self._buffered) <= self._command.max_body_bytes:
            return
        self._buffer_exceeded = True
        if not self._is_event_stream:
            buffered = bytes(self._buffered[: -len(chunk)])
            self._write(buffered)
        self._buffered.clear()

    def _send_buffered(self) -> None:
        """Send an answer that was held back until it was whole."""
        if not self._buffer_exceeded:
            self._write(bytes(self._buffered))
            self._parse_usage()

    def _parse_usage(self) -> None:
        """Take over the usage figures of an answer that is no stream."""
        if not self._command.token_limit:
            return
        try:
            answer = json.loads(bytes(self._buffered))
        except ValueError:
            return
        if isinstance(answer, dict):
            read_usage(answer, self._meter.count)

    def _write(self, chunk: bytes) -> None:
        """Send a piece to the caller unless the caller is gone."""
        if self._caller_gone:
            return
        if not self._headers_sent:
            self._caller.begin(self._command.status, self._command.headers)
            self._headers_sent = True
        started_at = self._clock.now()
        try:
            self._caller.write(chunk)
        except CallerGoneError:
            self._caller_gone = True
        self._blocked_s += self._clock.now() - started_at

    def _record_arrival(self) -> None:
        """Note when the first and the last piece came."""
        self._last_chunk_at = self._clock.now()
        if self._first_chunk_at < 0:
            self._first_chunk_at = self._last_chunk_at

    def _make_result(self, *, complete: bool) -> RelayResult:
        """Return what was seen."""
        count = self._meter.count
        return RelayResult(
            tokens=self._billable_tokens(count),
            complete=complete,
            over_limit=self._over_limit,
            reached_caller=self._caller.started,
            caller_gone=self._caller_gone,
            body=bytes(self._buffered) if complete else b'',
            replayable=complete and not self._buffer_exceeded,
            first_token_s=self._duration(self._called_at, self._first_chunk_at),
            token_gap_s=self._token_gap(count),
        )

    def _billable_tokens(self, count: StreamCount) -> int:
        """Return the tokens to bill, never over the reserved bound."""
        limit = self._command.token_limit
        if not limit:
            return 0
        prompt = count.prompt_tokens
        if prompt < 0:
            prompt = self._command.prompt_tokens
        return min(prompt + count.output_tokens, limit)

    def _token_gap(self, count: StreamCount) -> float:
        """
        Return the mean seconds between tokens, -1 if unknown.

        A slow caller must not count as evidence against the engine.
        """
        if not self._is_event_stream or count.output_tokens < 2:
            return -1
        duration = self._duration(self._first_chunk_at, self._last_chunk_at)
        if self._blocked_s > duration * _MAX_BLOCKED_FRACTION:
            return -1
        return duration / (count.output_tokens - 1)

    def _duration(self, start: float, end: float) -> float:
        """Return the seconds between two moments, -1 if one is unknown."""
        return end - start if start >= 0 and end >= 0 else -1


def _ignore() -> None:
    """Take no notice of a stall after the end of the relay."""
