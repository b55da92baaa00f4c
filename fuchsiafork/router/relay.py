"""
Relays an answer from a target to a caller with bounded memory.

A piece is read only after the one before it was taken by the caller's
socket, so a slow caller stops the reading and memory stays at one piece and
the kernel's bounded buffers.
"""

import json

from fuchsiafork.adapters.target_call import BrokenCallError, TargetCall
from fuchsiafork.kernel import Clock
from fuchsiafork.router.caller import Caller, CallerGoneError
from fuchsiafork.router.machine_types import Relayed, RelayStream
from fuchsiafork.router.stream import (
    EventStreamMeter,
    StreamCount,
    read_usage,
)

PIECE_BYTES = 65_536

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
        self._events = _EVENT_STREAM in command.headers.get('content-type', '')

    def run(self) -> Relayed:
        """Return what was seen once the answer has ended."""
        try:
            ended = self._pass_pieces()
        except BrokenCallError:
            ended = False
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
            piece = self._call.read(PIECE_BYTES)
            if not piece:
                return True
            self._note_time()
            self._keep(piece)
            if self._events:
                self._pass_events(piece)
            elif self._overflown:
                self._write(piece)
            if self._gone and not self._command.drain:
                return False
        return False

    def _pass_events(self, piece: bytes) -> None:
        """Pass on a piece of an event stream, within the token limit."""
        self._meter.feed(piece)
        limit = self._command.token_limit
        used = self._command.prompt_tokens + self._meter.count.output_tokens
        if limit and used > limit:
            self._cut = True
        else:
            self._write(piece)

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
        try:
            self._caller.write(piece)
        except CallerGoneError:
            self._gone = True

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
        """Return the mean seconds between tokens, -1 if unknown."""
        if not self._events or count.output_tokens < 2:
            return -1
        span = self._span(self._first_at, self._last_at)
        return span / (count.output_tokens - 1)

    def _span(self, start: float, end: float) -> float:
        """Return the seconds between two moments, -1 if one is unknown."""
        return end - start if start >= 0 and end >= 0 else -1
