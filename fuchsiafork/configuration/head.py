"""Stored form of the document: parts, and the head record that lists them."""

import dataclasses
from collections.abc import Iterator, Mapping

import pydantic

from fuchsiafork.configuration.parsing import digest_of
from fuchsiafork.configuration.sections import Sections
from fuchsiafork.kernel.errors import ConfigurationError
from fuchsiafork.kernel.hashing import stable_hash

HEAD_KEY = 'configuration/head'
PART_PREFIX = 'configuration/parts/'
# Half of the key-value service's limit on a value, to leave room for base64.
MAX_PART_BYTES = 512 * 1024
CHANGES_KEPT = 64

# One section in 256 starts a new part, selected by the hash of its title. With
# 43,000 sections that makes about 170 parts of 50 KB: a change rewrites one or
# two of them, and the head stays far below the service's limit.
_MEAN_SECTIONS_PER_PART = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """
    One change of the document.

    :ivar change_id: random id that shows whether a change whose reply was lost
        has been applied.
    :ivar owner: team whose sections changed.
    :ivar author: person or program that applied it.
    :ivar wall_s: Unix time of the change in seconds.
    :ivar revision: revision that the change created, 0 before it is applied.
    """

    change_id: str
    owner: str
    author: str
    wall_s: float
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """
    The record stored under ``configuration/head``.

    :ivar revision: number of changes so far; it only increases.
    :ivar digest: digest of the whole document.
    :ivar parts: digests of the parts in order.
    :ivar changes: the last changes, newest last.
    :ivar retired: digests of the parts that are no longer listed, each with the
        revision that dropped it; they are kept for readers of earlier heads.
    """

    revision: int
    digest: str
    parts: tuple[str, ...]
    changes: tuple[Change, ...]
    retired: tuple[tuple[str, int], ...] = ()

    @property
    def change_id(self) -> str:
        """Id of the change that created this revision."""
        return self.changes[-1].change_id if self.changes else ''

    def find(self, change_id: str) -> Change | None:
        """Return the change with an id if it is among the last changes."""
        for change in self.changes:
            if change.change_id == change_id:
                return change
        return None

    def encode(self) -> bytes:
        """Return the record as JSON."""
        return _ADAPTER.dump_json(self)


EMPTY_HEAD = Head(0, digest_of(''), (), ())

_ADAPTER = pydantic.TypeAdapter(Head)


def decode_head(raw: bytes | None) -> Head:
    """
    Parse a stored head; without a value, return the empty head.

    :raises ConfigurationError: if the value is malformed.
    """
    if raw is None:
        return EMPTY_HEAD
    try:
        return _ADAPTER.validate_json(raw)
    except pydantic.ValidationError as error:
        first_error = error.errors()[0]
    location = '.'.join(str(part) for part in first_error['loc'])
    raise ConfigurationError(f'{HEAD_KEY}: {location}: {first_error["msg"]}')


def next_head(
    head: Head, text: str, parts: list[bytes], change: Change
) -> Head:
    """Return the head of the revision that a change creates."""
    revision = head.revision + 1
    applied = dataclasses.replace(change, revision=revision)
    names = tuple(part_digest(part) for part in parts)
    return Head(
        revision=revision,
        digest=digest_of(text),
        parts=names,
        changes=(*head.changes, applied)[-CHANGES_KEPT:],
        retired=tuple(
            (name, since)
            for name, since in _unlisted_parts(head, names, revision)
            if since > revision - CHANGES_KEPT
        ),
    )


def deletable_parts(before: Head, after: Head) -> list[str]:
    """Return the parts that may be deleted once the head is replaced."""
    kept = {name for name, _ in after.retired}.union(after.parts)
    return [name for name, _ in before.retired if name not in kept]


def _unlisted_parts(
    head: Head,
    names: tuple[str, ...],
    revision: int,
) -> list[tuple[str, int]]:
    """Return the parts of earlier heads that the new head does not list."""
    dropped = [(name, revision) for name in head.parts]
    return [row for row in (*head.retired, *dropped) if row[0] not in names]


def part_digest(part: bytes) -> str:
    """Return the digest that a part is stored under."""
    return digest_of(part.decode())


def split_parts(sections: Sections) -> list[bytes]:
    """
    Split the document into parts at section boundaries.

    :raises ConfigurationError: if one section exceeds the size limit.
    """
    parts: list[bytes] = []
    current_part = b''
    for title, section_bytes in _encode_sections(sections):
        if len(section_bytes) > MAX_PART_BYTES:
            raise ConfigurationError(f'[{title}]: over {MAX_PART_BYTES} bytes')
        starts_part = stable_hash(title) % _MEAN_SECTIONS_PER_PART == 0
        if current_part and (
            starts_part
            or len(current_part) + len(section_bytes) > MAX_PART_BYTES
        ):
            parts.append(current_part)
            current_part = b''
        current_part += section_bytes
    return [*parts, current_part] if current_part else parts


def join_parts(head: Head, found: Mapping[str, bytes]) -> str:
    """
    Join the parts of a head to the text of the document.

    :raises ConfigurationError: if a part is missing or the digest differs.
    """
    missing = [name for name in head.parts if name not in found]
    if missing:
        raise ConfigurationError(f'parts missing: {missing!r}')
    try:
        text = b''.join(found[name] for name in head.parts).decode()
    except UnicodeDecodeError:
        raise ConfigurationError('a part is not UTF-8') from None
    if digest_of(text) != head.digest:
        raise ConfigurationError(
            f'revision {head.revision}: digest is not {head.digest!r}',
        )
    return text


def _encode_sections(sections: Sections) -> Iterator[tuple[str, bytes]]:
    """Yield title and UTF-8 bytes of each section, sorted by title."""
    for number, title in enumerate(sorted(sections)):
        separator = '\n' if number else ''
        yield title, f'{separator}{sections[title]}'.encode()
