"""Envelope and CBOR codec of messages between keepers and routers."""

import dataclasses
from typing import Any

import cbor2

from fuchsiafork.kernel.errors import (
    MessageFormatError,
    ProtocolVersionError,
)
from fuchsiafork.kernel.hlc import Stamp
from fuchsiafork.messages.registry import find_adapter, to_builtins

PROTOCOL_VERSION = 1

_FIELD_COUNT = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """
    A message with its routing data.

    :ivar sender: node id of the process that created the message.
    :ivar destination: node id of the receiver.
    :ivar stamp: hybrid logical time when the message was encoded.
    :ivar kind: class name of the message.
    :ivar message: the typed message, or None for an unknown kind.
    """

    sender: str
    destination: str
    stamp: Stamp
    kind: str
    message: Any


def encode(
    sender: str,
    destination: str,
    stamp: Stamp,
    message: Any,
) -> bytes:
    """Return a message with its envelope, encoded as CBOR."""
    return cbor2.dumps((
        PROTOCOL_VERSION,
        sender,
        destination,
        (stamp.wall_ms, stamp.count, stamp.node),
        type(message).__name__,
        to_builtins(message),
    ))


def decode(frame: bytes) -> Envelope:
    """
    Return the envelope of a frame with its validated message.

    :raises MessageFormatError: if the frame is not a valid envelope.
    :raises ProtocolVersionError: if its version is not `PROTOCOL_VERSION`.
    """
    fields = _parse_frame(frame)
    version, sender, destination, stamp, kind, body = fields
    if version != PROTOCOL_VERSION:
        raise ProtocolVersionError(f'unsupported protocol version {version!r}')
    adapter = find_adapter(str(kind))
    try:
        message = adapter.validate_python(body) if adapter else None
        sent_at = Stamp(int(stamp[0]), int(stamp[1]), str(stamp[2]))
    except (ValueError, TypeError, LookupError):
        raise MessageFormatError(f'invalid body of {kind!r}') from None
    return Envelope(str(sender), str(destination), sent_at, str(kind), message)


def _parse_frame(frame: bytes) -> list[Any]:
    """Return the fields of an encoded envelope."""
    try:
        fields = cbor2.loads(frame)
    except (cbor2.CBORDecodeError, ValueError):
        raise MessageFormatError('frame is not CBOR') from None
    if not isinstance(fields, list | tuple) or len(fields) != _FIELD_COUNT:
        raise MessageFormatError('frame is not an envelope')
    return list(fields)
