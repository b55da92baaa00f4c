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
from fuchsiafork.router.commands import Relayed, RelayStream
from fuchsiafork.router.engine_stream import EngineStream
from fuchsiafork.router.stream import (
    EventSplitter,
    EventStreamMeter,
    StreamCount,
    read_usage,
)

# A gap measured while the caller held the stream up for longer than this
# share of the time says nothing of the engine.
_HELD_UP_SHARE = 0.1

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
        piece_bytes: int,
    ) -> None:
        """Relay the open answer of a call that began at ``called_at``."""
        self._call = call
        self._caller = caller
        self._clock = clock
        self._command = command
        self._meter = EventStreamMeter()
        self._kept = bytearray()
        self._overflown = False
        self._begun = False
        self._gone = False
        self._cut = False
        self._called_at = called_at
        self._first_at = -1.0
        self._last_at = -1.0
        self._piece_bytes = piece_bytes
        self._splitter = EventSplitter()
        self._paused = False
        self._held_up_s = 0.0
        self._events = _EVENT_STREAM in command.headers.get('content-type', '')
        pausable = self._events and command.token_limit and not command.drain
        self._stream = stream if pausable else None
        if self._stream is not None:
            caller.on_stall = self._pause

    def run(self) -> Relayed:
        """Return what was seen once the answer has ended."""
        try:
            ended = self._pass_pieces()
        except BrokenCallError:
            ended = False
        finally:
            self._end_stream()
        complete = ended and not self._cut
        if self._events:
            complete = complete and self._meter.count.complete
        elif complete:
            self._finish_whole()
        return self._report(complete=complete)

    def _pass_pieces(self) -> bool:
        """Return whether the answer came to its end."""
        while not self._cut:
            remaining = self._command.deadline - self._clock.now()
            if remaining <= 0:
                return False
            self._call.set_timeout(remaining)
            piece = self._call.read(self._piece_bytes)
            if not piece:
                self._pass_events(self._splitter.drain())
                return True
            self._note_time()
            if self._events:
                self._pass_events(self._splitter.feed(piece))
            else:
                self._pass_bytes(piece)
            if self._gone and not self._command.drain:
                return False
            if self._paused:
                self._resume()
        return False

    def _pass_bytes(self, piece: bytes) -> None:
        """Pass on a piece of an answer that is no event stream."""
        self._keep(piece)
        if self._overflown:
            self._write(piece)

    def _pass_events(self, piece: bytes) -> None:
        """Pass on whole events of a stream, within the token limit."""
        if not piece:
            return
        self._keep(piece)
        self._meter.feed(piece)
        limit = self._command.token_limit
        used = self._command.prompt_tokens + self._meter.count.output_tokens
        if limit and used > limit:
            self._cut = True
        else:
            self._write(piece)

    def _pause(self) -> None:
        """Pause the engine's stream while the caller stands still."""
        if self._stream is None or self._splitter.split or self._paused:
            return
        if self._meter.count.complete:
            self._stream.give_slot_back()
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
        began = self._clock.now()
        self._splitter.drain()
        self._call = self._stream.resume(self._meter.count.output_tokens)
        self._paused = False
        self._held_up_s += self._clock.now() - began

    def _end_stream(self) -> None:
        """End a stream that is still paused, or its resumed connection."""
        self._caller.on_stall = _ignore
        if self._paused and self._stream is not None:
            self._stream.cancel()
        self._call.close()

    def _keep(self, piece: bytes) -> None:
        """
        Keep the answer for a replay while it is within the bound.

        An answer that is no event stream is also held back until it is
        whole or over the bound, so that a broken one can be tried again.
        """
        if self._overflown:
            return
        self._kept.extend(piece)
        if len(self._kept) <= self._command.keep_bytes:
            return
        self._overflown = True
        if not self._events:
            whole = bytes(self._kept[: -len(piece)])
            self._write(whole)
        self._kept.clear()

    def _finish_whole(self) -> None:
        """Send an answer that was held back until it was whole."""
        if not self._overflown:
            self._write(bytes(self._kept))
            self._read_json()

    def _read_json(self) -> None:
        """Take over the usage figures of an answer that is no stream."""
        if not self._command.token_limit:
            return
        try:
            answer = json.loads(bytes(self._kept))
        except ValueError:
            return
        if isinstance(answer, dict):
            read_usage(answer, self._meter.count)

    def _write(self, piece: bytes) -> None:
        """Send a piece to the caller unless the caller is gone."""
        if self._gone:
            return
        if not self._begun:
            self._caller.begin(self._command.status, self._command.headers)
            self._begun = True
        began = self._clock.now()
        try:
            self._caller.write(piece)
        except CallerGoneError:
            self._gone = True
        self._held_up_s += self._clock.now() - began

    def _note_time(self) -> None:
        """Note when the first and the last piece came."""
        self._last_at = self._clock.now()
        if self._first_at < 0:
            self._first_at = self._last_at

    def _report(self, *, complete: bool) -> Relayed:
        """Return what was seen."""
        count = self._meter.count
        return Relayed(
            tokens=self._tokens(count),
            complete=complete,
            cut=self._cut,
            reached_caller=self._caller.started,
            caller_gone=self._gone,
            body=bytes(self._kept) if complete else b'',
            replayable=complete and not self._overflown,
            first_token_s=self._span(self._called_at, self._first_at),
            token_gap_s=self._gap(count),
        )

    def _tokens(self, count: StreamCount) -> int:
        """Return the tokens to bill, never over the reserved bound."""
        limit = self._command.token_limit
        if not limit:
            return 0
        prompt = count.prompt_tokens
        if prompt < 0:
            prompt = self._command.prompt_tokens
        return min(prompt + count.output_tokens, limit)

    def _gap(self, count: StreamCount) -> float:
        """
        Return the mean seconds between tokens, -1 if unknown.

        A slow caller must not count as evidence against the engine.
        """
        if not self._events or count.output_tokens < 2:
            return -1
        span = self._span(self._first_at, self._last_at)
        if self._held_up_s > span * _HELD_UP_SHARE:
            return -1
        return span / (count.output_tokens - 1)

    def _span(self, start: float, end: float) -> float:
        """Return the seconds between two moments, -1 if one is unknown."""
        return end - start if start >= 0 and end >= 0 else -1


def _ignore() -> None:
    """Take no notice of a stall after the end of the relay."""
