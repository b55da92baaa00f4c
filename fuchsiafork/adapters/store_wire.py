"""JSON encoding of the etcd v3 gateway, and errors of its calls."""

import base64
import dataclasses
import json
from collections.abc import Iterator
from typing import Any

import urllib3

from fuchsiafork.kernel.errors import StoreUnavailableError


class StoreCallError(StoreUnavailableError):
    """
    A call failed or had no usable response.

    :ivar outcome_unknown: whether a write may have been applied.
    """

    def __init__(self, message: str, *, outcome_unknown: bool) -> None:
        """Set whether the call may have been applied."""
        super().__init__(message)
        self.outcome_unknown = outcome_unknown


@dataclasses.dataclass(frozen=True, slots=True)
class WatchEvent:
    """
    One write that a watch reported.

    :ivar value: the new value, or None for a deleted key.
    """

    key: str
    revision: int
    value: bytes | None


def pack(raw: bytes) -> str:
    """Encode bytes for a field of the gateway's JSON."""
    return base64.b64encode(raw).decode()


def unpack(text: str) -> bytes:
    """Decode the bytes of a field of the gateway's JSON."""
    return base64.b64decode(text)


def range_request(key: str, *, prefix: bool) -> dict[str, Any]:
    """Return the range fields for a key, or for all keys with a prefix."""
    raw = key.encode()
    request: dict[str, Any] = {'key': pack(raw)}
    if prefix:
        # Keys are ASCII, so the last byte can always be incremented.
        request['range_end'] = pack(raw[:-1] + bytes([raw[-1] + 1]))
    return request


def write_request(
    key: str,
    value: bytes | None,
    lease: int,
) -> dict[str, Any]:
    """Return a put, or a delete for None, as part of a transaction."""
    packed = pack(key.encode())
    if value is None:
        return {'request_delete_range': {'key': packed}}
    put = {'key': packed, 'value': pack(value), 'lease': str(lease)}
    return {'request_put': put}


def rows(answer: dict[str, Any]) -> tuple[tuple[str, int, Any], ...]:
    """Return key, revision and value of each entry of a range response."""
    return tuple(
        (
            unpack(row['key']).decode(),
            int(row['mod_revision']),
            unpack(row.get('value', '')),
        )
        for row in answer.get('kvs', [])
    )


def lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the non-empty lines of a streamed response."""
    partial = b''
    for chunk in response.stream():
        *complete, partial = (partial + chunk).split(b'\n')
        yield from filter(None, complete)


def watch_events(line: bytes) -> Iterator[WatchEvent]:
    """Yield the events in one line of a watch response."""
    watch_result = json.loads(line).get('result', {})
    if watch_result.get('canceled'):
        reason = watch_result.get('cancel_reason', 'compacted')
        raise StoreCallError(
            f'watch canceled: {reason!r}', outcome_unknown=False
        )
    for event in watch_result.get('events', []):
        row = event['kv']
        deleted = event.get('type') == 'DELETE'
        yield WatchEvent(
            unpack(row['key']).decode(),
            int(row['mod_revision']),
            None if deleted else unpack(row.get('value', '')),
        )
