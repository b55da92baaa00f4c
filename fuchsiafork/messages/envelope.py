"""Envelope and codec of messages between own processes."""

import dataclasses
from typing import Any

import cbor2

from fuchsiafork.kernel.errors import (
    MessageFormatError,
    ProtocolVersionError,
)
from fuchsiafork.kernel.hlc import Stamp
from fuchsiafork.messages.registry import adapter_of, to_plain

PROTOCOL_VERSION = 1

_PARTS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """
    A message on its way.

    :ivar sender: node id of the process that made the message.
    :ivar destination: node id it is for.
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
    """Return the CBOR form of a message."""
    return cbor2.dumps((
        PROTOCOL_VERSION,
        sender,
        destination,
        (stamp.wall_ms, stamp.count, stamp.node),
        type(message).__name__,
        to_plain(message),
    ))


def decode(frame: bytes) -> Envelope:
    """
    Return the validated message of a frame.

    :raises MessageFormatError: if the frame is not a valid envelope.
    :raises ProtocolVersionError: if its version is not ours.
    """
    parts = _load(frame)
    version, sender, destination, stamp, kind, body = parts
    if version != PROTOCOL_VERSION:
        raise ProtocolVersionError(f'protocol version {version!r}')
    adapter = adapter_of(str(kind))
    try:
        message = adapter.validate_python(body) if adapter else None
        taken = Stamp(int(stamp[0]), int(stamp[1]), str(stamp[2]))
    except (ValueError, TypeError, LookupError):
        raise MessageFormatError(f'invalid body of {kind!r}') from None
    return Envelope(str(sender), str(destination), taken, str(kind), message)


def _load(frame: bytes) -> list[Any]:
    """Return the parts of an envelope."""
    try:
        parts = cbor2.loads(frame)
    except (cbor2.CBORDecodeError, ValueError):
        raise MessageFormatError('frame is not CBOR') from None
    if not isinstance(parts, list | tuple) or len(parts) != _PARTS:
        raise MessageFormatError('frame is not an envelope')
    return list(parts)
