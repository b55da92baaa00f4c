"""Faults, limits and JSON forms of the key-value stand-in."""

import base64
import dataclasses
import json
from collections.abc import Callable
from typing import Any

Body = dict[str, Any]


@dataclasses.dataclass(slots=True)
class ServerFaults:
    """
    What goes wrong.

    :ivar down: calls fail without effect; waiting watches break.
    :ivar delay_s: added to each call.
    :ivar lost_answer: probability that a write takes effect and its
        connection then breaks.
    """

    down: bool = False
    delay_s: float = 0.0
    lost_answer: float = 0.0


class RateLimit:
    """Allows a number of calls a second, and a second's worth at once."""

    def __init__(self, per_s: float, now: Callable[[], float]) -> None:
        """Start with the whole allowance."""
        self._per_s = per_s
        self._now = now
        self._left = per_s
        self._last = now()

    def take(self) -> bool:
        """Return whether one more call is allowed."""
        now = self._now()
        earned = (now - self._last) * self._per_s
        self._left = min(self._per_s, self._left + earned)
        self._last = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


def unpack(text: str) -> bytes:
    """Return the bytes of a gateway field."""
    return base64.b64decode(text)


def row(key: str, revision: int, value: bytes | None) -> Body:
    """Return a row in the gateway's form."""
    row = {
        'key': base64.b64encode(key.encode()).decode(),
        'mod_revision': str(revision),
    }
    if value:
        row['value'] = base64.b64encode(value).decode()
    return row


def event(revision: int, key: str, value: bytes | None) -> Body:
    """Return a watch event; a put has no type, as it is the default."""
    event: Body = {'kv': row(key, revision, value)}
    if value is None:
        event['type'] = 'DELETE'
    return event


def message(found: Body) -> bytes:
    """Return one line of a stream."""
    return json.dumps({'result': found}).encode() + b'\n'
