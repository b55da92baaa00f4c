"""JSON forms of the key-value service's gateway, and its errors."""

import base64
import dataclasses
import json
from collections.abc import Iterator
from typing import Any

import urllib3

from fuchsiafork.kernel.errors import StoreUnavailableError


class StoreCallError(StoreUnavailableError):
    """
    A call without a usable answer.

    :ivar outcome_unknown: a write may have taken effect.
    """

    def __init__(self, message: str, *, outcome_unknown: bool) -> None:
        """Keep whether the call may have taken effect."""
        super().__init__(message)
        self.outcome_unknown = outcome_unknown


@dataclasses.dataclass(frozen=True, slots=True)
class WatchEvent:
    """
    One write that a watch saw.

    :ivar value: the new value, or None for a deleted key.
    """

    key: str
    revision: int
    value: bytes | None


def pack(raw: bytes) -> str:
    """Return bytes in the form that the gateway uses."""
    return base64.b64encode(raw).decode()


def unpack(text: str) -> bytes:
    """Return the bytes of a gateway field."""
    return base64.b64decode(text)


def range_request(key: str, *, prefix: bool) -> dict[str, Any]:
    """Return the fields that name a key or all keys with a prefix."""
    raw = key.encode()
    request: dict[str, Any] = {'key': pack(raw)}
    if prefix:
        # Keys are ASCII, so the last byte can always be raised by one.
        request['range_end'] = pack(raw[:-1] + bytes([raw[-1] + 1]))
    return request


def write_request(
    key: str,
    value: bytes | None,
    lease: int,
) -> dict[str, Any]:
    """Return the put or delete of a transaction."""
    packed = pack(key.encode())
    if value is None:
        return {'request_delete_range': {'key': packed}}
    put = {'key': packed, 'value': pack(value), 'lease': str(lease)}
    return {'request_put': put}


def rows(answer: dict[str, Any]) -> tuple[tuple[str, int, Any], ...]:
    """Return key, revision and value of the rows of a range."""
    return tuple(
        (
            unpack(row['key']).decode(),
            int(row['mod_revision']),
            unpack(row.get('value', '')),
        )
        for row in answer.get('kvs', [])
    )


def lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the lines of a streamed answer."""
    rest = b''
    for chunk in response.stream():
        *whole, rest = (rest + chunk).split(b'\n')
        yield from filter(None, whole)


def watch_events(line: bytes) -> Iterator[WatchEvent]:
    """Yield the events of one message of a watch."""
    found = json.loads(line).get('result', {})
    if found.get('canceled'):
        reason = found.get('cancel_reason', 'compacted')
        raise StoreCallError(f'watch: {reason!r}', outcome_unknown=False)
    for event in found.get('events', []):
        row = event['kv']
        deleted = event.get('type') == 'DELETE'
        yield WatchEvent(
            unpack(row['key']).decode(),
            int(row['mod_revision']),
            None if deleted else unpack(row.get('value', '')),
        )
