"""
Relays an answer from a target to a caller with bounded memory.

A chunk is read only after the caller's socket has accepted the one before,
so a slow caller stops the reads and memory stays at one chunk plus the
kernel's bounded buffers. When a caller stalls, the engine's stream is paused
and its connection closed; once the caller has accepted the current chunk, the
stream is resumed at the position up to which the caller was sent.
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

# A token gap is not attributed to the engine if the caller blocked the stream
# for more than this fraction of the time.
_MAX_BLOCKED_FRACTION = 0.1

_EVENT_STREAM = 'text/event-stream'


class Relay:
    """Relays one answer."""

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
        """Relay the open answer of a call sent at ``called_at``."""
        self._call = call
        self._caller = caller
        self._clock = clock
        self._command = command
        self._meter = EventStreamMeter()
        self._buffered = bytearray()
        self._buffer_exceeded = False
        self._headers_set = False
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
        """Relay the answer to its end and return the result."""
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
        """Forward chunks and return whether the answer was read to its end."""
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
        """Forward a chunk of an answer that is not an event stream."""
        self._buffer(chunk)
        if self._buffer_exceeded:
            self._write(chunk)

    def _forward_events(self, chunk: bytes) -> None:
        """Forward complete events of a stream within the token limit."""
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
        """Pause the engine's stream while the caller is stalled."""
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
        Resume a paused stream after the last forwarded event.

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
        """Cancel a stream that is still paused, and close the connection."""
        self._caller.on_stall = _ignore
        if self._paused and self._stream is not None:
            self._stream.cancel()
        self._call.close()

    def _buffer(self, chunk: bytes) -> None:
        """
        Buffer the answer for replays while it is within the size limit.

        An answer that is not an event stream is also withheld from the
        caller until it is complete or over the limit, so that a broken one
        can be retried.
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
        """Send an answer that was withheld until it was complete."""
        if not self._buffer_exceeded:
            self._write(bytes(self._buffered))
            self._parse_usage()

    def _parse_usage(self) -> None:
        """Read the token usage from an answer that is not a stream."""
        if not self._command.token_limit:
            return
        try:
            answer = json.loads(bytes(self._buffered))
        except ValueError:
            return
        if isinstance(answer, dict):
            read_usage(answer, self._meter.count)

    def _write(self, chunk: bytes) -> None:
        """Send a chunk to the caller unless it has disconnected."""
        if self._caller_gone:
            return
        if not self._headers_set:
            self._caller.begin(self._command.status, self._command.headers)
            self._headers_set = True
        started_at = self._clock.now()
        try:
            self._caller.write(chunk)
        except CallerGoneError:
            self._caller_gone = True
        self._blocked_s += self._clock.now() - started_at

    def _record_arrival(self) -> None:
        """Record the arrival times of the first and the last chunk."""
        self._last_chunk_at = self._clock.now()
        if self._first_chunk_at < 0:
            self._first_chunk_at = self._last_chunk_at

    def _make_result(self, *, complete: bool) -> RelayResult:
        """Return the result of the relay."""
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
        """Return the tokens to bill, at most the reserved limit."""
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
        """Return the seconds between two times, -1 if one is unknown."""
        return end - start if start >= 0 and end >= 0 else -1


def _ignore() -> None:
    """Ignore a stall after the end of the relay."""
