"""Counts what passes through a relayed answer."""

import dataclasses
import json
from typing import Any

_EVENT_END = b'\n\n'
_DATA = b'data:'
_DONE = b'[DONE]'
# A longer event is not one of an engine's; the count then relies on usage.
MAX_EVENT_BYTES = 262_144


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
