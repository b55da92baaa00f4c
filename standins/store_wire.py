"""Injected faults, rate limit and JSON encoding of the key-value stand-in."""

import base64
import dataclasses
import json
from collections.abc import Callable
from typing import Any

Body = dict[str, Any]


@dataclasses.dataclass(slots=True)
class ServerFaults:
    """
    Faults injected into calls.

    :ivar down: calls fail without effect; waiting watches end.
    :ivar delay_s: seconds added to each call.
    :ivar lost_answer: probability that a write takes effect and its
        connection then breaks.
    """

    down: bool = False
    delay_s: float = 0.0
    lost_answer: float = 0.0


class RateLimit:
    """Token bucket with a rate per second and a burst of one second's calls."""

    def __init__(self, per_s: float, now: Callable[[], float]) -> None:
        """Start with a full bucket."""
        self._per_s = per_s
        self._now = now
        self._available = per_s
        self._last = now()

    def try_acquire(self) -> bool:
        """Count a call and return True unless it exceeds the limit."""
        now = self._now()
        refill = (now - self._last) * self._per_s
        self._available = min(self._per_s, self._available + refill)
        self._last = now
        if self._available < 1:
            return False
        self._available -= 1
        return True


def decode_field(text: str) -> bytes:
    """Return the bytes of a base64 field."""
    return base64.b64decode(text)


def encode_row(key: str, revision: int, value: bytes | None) -> Body:
    """Return a key with its revision and value in the JSON form of etcd."""
    row = {
        'key': base64.b64encode(key.encode()).decode(),
        'mod_revision': str(revision),
    }
    if value:
        row['value'] = base64.b64encode(value).decode()
    return row


def encode_event(revision: int, key: str, value: bytes | None) -> Body:
    """Return a watch event; a put omits the type, which is the default."""
    event: Body = {'kv': encode_row(key, revision, value)}
    if value is None:
        event['type'] = 'DELETE'
    return event


def encode_message(answer: Body) -> bytes:
    """Return one line of a watch stream."""
    return json.dumps({'result': answer}).encode() + b'\n'
