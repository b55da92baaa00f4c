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


def encode_base64(raw: bytes) -> str:
    """Encode bytes for a field of the gateway's JSON."""
    return base64.b64encode(raw).decode()


def decode_base64(text: str) -> bytes:
    """Decode the bytes of a field of the gateway's JSON."""
    return base64.b64decode(text)


def range_request(key: str, *, prefix: bool) -> dict[str, Any]:
    """Return the range fields for a key, or for all keys with a prefix."""
    raw = key.encode()
    request: dict[str, Any] = {'key': encode_base64(raw)}
    if prefix:
        # Keys are ASCII, so the last byte can always be incremented.
        request['range_end'] = encode_base64(raw[:-1] + bytes([raw[-1] + 1]))
    return request


def write_request(
    key: str,
    value: bytes | None,
    lease: int,
) -> dict[str, Any]:
    """Return a put, or a delete for None, as part of a transaction."""
    encoded_key = encode_base64(key.encode())
    if value is None:
        return {'request_delete_range': {'key': encoded_key}}
    put = {
        'key': encoded_key,
        'value': encode_base64(value),
        'lease': str(lease),
    }
    return {'request_put': put}


def parse_entries(answer: dict[str, Any]) -> tuple[tuple[str, int, Any], ...]:
    """Return key, revision and value of each entry of a range response."""
    return tuple(
        (
            decode_base64(entry['key']).decode(),
            int(entry['mod_revision']),
            decode_base64(entry.get('value', '')),
        )
        for entry in answer.get('kvs', [])
    )


def read_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the non-empty lines of a streamed response."""
    partial = b''
    for chunk in response.stream():
        *complete, partial = (partial + chunk).split(b'\n')
        yield from filter(None, complete)


def parse_watch_events(line: bytes) -> Iterator[WatchEvent]:
    """Yield the events in one line of a watch response."""
    watch_result = json.loads(line).get('result', {})
    if watch_result.get('canceled'):
        reason = watch_result.get('cancel_reason', 'compacted')
        raise StoreCallError(
            f'watch canceled: {reason!r}', outcome_unknown=False
        )
    for event in watch_result.get('events', []):
        entry = event['kv']
        deleted = event.get('type') == 'DELETE'
        yield WatchEvent(
            decode_base64(entry['key']).decode(),
            int(entry['mod_revision']),
            None if deleted else decode_base64(entry.get('value', '')),
        )
