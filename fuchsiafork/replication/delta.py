"""
Differences between two versions of a value.

Values are divided into pieces behind each closing brace, so that most entries
of a changed JSON document are pieces of the document before. Values of another
form are one piece and are sent whole.
"""

import dataclasses
import hashlib
import zlib

_SEPARATOR = b'}'
# Position of a range whose pieces are not in the base.
_ADDED = -1
MAX_VALUE_BYTES = 16_777_216


class DeltaError(ValueError):
    """A difference is malformed, or doesn't fit the value it is applied to."""


@dataclasses.dataclass(frozen=True, slots=True)
class Range:
    """
    Successive pieces of a value.

    :ivar start: position of the first one in the base, negative if they are
        not in the base.
    """

    start: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """
    A value, as the difference from another one.

    :ivar base: digest of the value it differs from, empty if there is none.
    :ivar digest: digest of the value.
    :ivar added: pieces that are not in the base, joined and compressed.
    """

    base: str
    digest: str
    ranges: tuple[Range, ...]
    added: bytes


def digest_value(value: bytes) -> str:
    """Return the digest by which VMs name a value."""
    return hashlib.blake2b(value, digest_size=16).hexdigest()


def make_delta(base: bytes | None, value: bytes) -> Delta:
    """
    Return a value as the difference from another one.

    :param base: the other value, None to send all pieces.
    """
    base_pieces = [] if base is None else base.split(_SEPARATOR)
    positions = {piece: index for index, piece in enumerate(base_pieces)}
    ranges: list[Range] = []
    added: list[bytes] = []
    for piece in value.split(_SEPARATOR):
        start = _continue_run(ranges, base_pieces, piece)
        if start is None:
            start = positions.get(piece, _ADDED)
        if start == _ADDED:
            added.append(piece)
        _extend(ranges, start)
    return Delta(
        base='' if base is None else digest_value(base),
        digest=digest_value(value),
        ranges=tuple(ranges),
        added=zlib.compress(_SEPARATOR.join(added)),
    )


def apply_delta(base: bytes | None, delta: Delta) -> bytes:
    """
    Return the value that a difference stands for.

    :param base: value that it differs from, None if there is none.
    :raises DeltaError: if it is malformed or differs from another value.
    """
    base_pieces = [] if base is None else base.split(_SEPARATOR)
    added = _decompress(delta.added).split(_SEPARATOR)
    pieces: list[bytes] = []
    used = 0
    for part in delta.ranges:
        if part.start < 0:
            pieces += added[used : used + part.count]
            used += part.count
        else:
            pieces += base_pieces[part.start : part.start + part.count]
    value = _SEPARATOR.join(pieces)
    if digest_value(value) != delta.digest:
        raise DeltaError(f'the value is not {delta.digest!r}')
    return value


def _continue_run(
    ranges: list[Range], base_pieces: list[bytes], piece: bytes
) -> int | None:
    """Return the position behind the last range if the base has it there."""
    if not ranges or ranges[-1].start < 0:
        return None
    behind = ranges[-1].start + ranges[-1].count
    if behind < len(base_pieces) and base_pieces[behind] == piece:
        return behind
    return None


def _extend(ranges: list[Range], start: int) -> None:
    """Add one piece to the last range, or begin a new one."""
    if ranges:
        last = ranges[-1]
        both_added = start < 0 and last.start < 0
        follows = last.start >= 0 and start == last.start + last.count
        if both_added or follows:
            ranges[-1] = Range(last.start, last.count + 1)
            return
    ranges.append(Range(start, 1))


def _decompress(compressed: bytes) -> bytes:
    """
    Return compressed bytes in their original form.

    :raises DeltaError: if they are malformed or too many.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(compressed, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise DeltaError(str(error)) from None
    if not decompressor.eof:
        raise DeltaError('the pieces are cut off or too large')
    return content
