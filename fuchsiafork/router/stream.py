"""Splits relayed event streams and counts their tokens."""

import dataclasses
import json
from typing import Any

_EVENT_SEPARATOR = b'\n\n'
_DATA = b'data:'
_DONE = b'[DONE]'
# A stream uses one of the two line endings.
_EVENT_SEPARATORS = (_EVENT_SEPARATOR, b'\r\n\r\n')
# Engines send no longer events; without them the count relies on ``usage``.
# Up to four copies of an event are held, so this limits a stream's memory.
MAX_EVENT_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class StreamCount:
    """
    Tokens of a stream.

    :ivar prompt_tokens: the engine's count of the prompt, -1 if unknown.
    :ivar output_tokens: the engine's count if known, else the number of
        chunks with content.
    :ivar complete: whether the end marker of the answer was read.
    """

    prompt_tokens: int = -1
    output_tokens: int = 0
    complete: bool = False


class EventSplitter:
    """
    Splits an event stream at event boundaries.

    A stream can only be resumed between two events, so the start of an event
    is withheld until its end arrives.

    :ivar split: whether an event over the size limit was split.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.split = False
        self._pending = b''

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the complete events."""
        joined = self._pending + chunk
        cut = max(
            joined.rfind(end) + len(end) if end in joined else 0
            for end in _EVENT_SEPARATORS
        )
        if len(joined) - cut > MAX_EVENT_BYTES:
            self.split = True
            cut = len(joined)
        self._pending = joined[cut:]
        return joined[:cut]

    def drain(self) -> bytes:
        """Return and clear the withheld bytes."""
        pending, self._pending = self._pending, b''
        return pending


class EventStreamMeter:
    """Counts the tokens of a stream of server-sent events."""

    def __init__(self) -> None:
        """Start with no tokens."""
        self.count = StreamCount()
        self._pending = bytearray()

    def feed(self, chunk: bytes) -> int:
        """Add a chunk and return the number of output tokens in it."""
        before = self.count.output_tokens
        self._pending.extend(chunk.replace(b'\r\n', b'\n'))
        while (end := self._pending.find(_EVENT_SEPARATOR)) >= 0:
            event = bytes(self._pending[:end])
            del self._pending[: end + len(_EVENT_SEPARATOR)]
            self._count_event(event)
        if len(self._pending) > MAX_EVENT_BYTES:
            self._pending.clear()
        return self.count.output_tokens - before

    def _count_event(self, event: bytes) -> None:
        """Count one event."""
        for line in event.split(b'\n'):
            if not line.startswith(_DATA):
                continue
            text = line.removeprefix(_DATA).strip()
            if text == _DONE:
                self.count.complete = True
            else:
                self._count_chunk(text)

    def _count_chunk(self, text: bytes) -> None:
        """Count the tokens of one completion chunk."""
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
    """Set the counts to the engine's usage figures, if there are any."""
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
