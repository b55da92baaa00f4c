"""Counts what passes through a relayed answer."""

import dataclasses
import json
from typing import Any

_EVENT_END = b'\n\n'
_DATA = b'data:'
_DONE = b'[DONE]'
# A stream uses either of the two line ends.
_EVENT_ENDS = (_EVENT_END, b'\r\n\r\n')
# A longer event is not one of an engine's; the count then relies on usage.
# An event is held in up to four copies, so this bounds a stream's memory.
MAX_EVENT_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class StreamCount:
    """
    What was seen of a stream.

    :ivar prompt_tokens: the engine's count of the prompt, -1 if not told.
    :ivar output_tokens: the engine's count if told, else pieces seen.
    :ivar complete: whether the answer's own end was seen.
    """

    prompt_tokens: int = -1
    output_tokens: int = 0
    complete: bool = False


class EventSplitter:
    """
    Cuts an event stream behind whole events.

    Only a position between two events can be resumed from, so the start of
    an event is held back until its end has come.

    :ivar split: whether an event over the bound went out in parts.
    """

    def __init__(self) -> None:
        """Start with nothing held back."""
        self.split = False
        self._rest = b''

    def feed(self, piece: bytes) -> bytes:
        """Return what may be passed on after a piece has come."""
        joined = self._rest + piece
        cut = max(
            joined.rfind(end) + len(end) if end in joined else 0
            for end in _EVENT_ENDS
        )
        if len(joined) - cut > MAX_EVENT_BYTES:
            self.split = True
            cut = len(joined)
        self._rest = joined[cut:]
        return joined[:cut]

    def drain(self) -> bytes:
        """Return what is held back, and hold it no more."""
        rest, self._rest = self._rest, b''
        return rest


class EventStreamMeter:
    """Counts the tokens of a server-sent event stream as it passes."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.count = StreamCount()
        self._rest = bytearray()

    def feed(self, piece: bytes) -> int:
        """Return how many output tokens the piece brought."""
        before = self.count.output_tokens
        self._rest.extend(piece.replace(b'\r\n', b'\n'))
        while (end := self._rest.find(_EVENT_END)) >= 0:
            event = bytes(self._rest[:end])
            del self._rest[: end + len(_EVENT_END)]
            self._take(event)
        if len(self._rest) > MAX_EVENT_BYTES:
            self._rest.clear()
        return self.count.output_tokens - before

    def _take(self, event: bytes) -> None:
        """Count one event."""
        for line in event.split(b'\n'):
            if not line.startswith(_DATA):
                continue
            text = line.removeprefix(_DATA).strip()
            if text == _DONE:
                self.count.complete = True
            else:
                self._take_json(text)

    def _take_json(self, text: bytes) -> None:
        """Count one chunk of a completion."""
        try:
            chunk = json.loads(text)
        except ValueError:
            return
        if not isinstance(chunk, dict):
            return
        if any(_has_content(choice) for choice in chunk.get('choices') or ()):
            self.count.output_tokens += 1
        read_usage(chunk, self.count)


def read_usage(answer: dict[str, Any], count: StreamCount) -> None:
    """Take over the engine's own usage figures, if the answer has them."""
    usage = answer.get('usage')
    if isinstance(usage, dict):
        count.prompt_tokens = int(usage.get('prompt_tokens', -1))
        count.output_tokens = int(
            usage.get('completion_tokens', count.output_tokens),
        )


def _has_content(choice: Any) -> bool:
    """Return whether a choice of a chunk carries text."""
    if not isinstance(choice, dict):
        return False
    delta = choice.get('delta')
    return isinstance(delta, dict) and bool(delta.get('content'))
