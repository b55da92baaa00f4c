"""The stored form: parts, and the head record that names them."""

import dataclasses
from collections.abc import Iterator, Mapping

import pydantic

from fuchsiafork.configuration.parsing import digest_of
from fuchsiafork.configuration.sections import Sections
from fuchsiafork.kernel.errors import ConfigurationError
from fuchsiafork.kernel.hashing import stable_hash

HEAD_KEY = 'configuration/head'
PART_PREFIX = 'configuration/parts/'
# Half of the service's bound on a value, which leaves room for base64.
PART_BYTES = 512 * 1024
CHANGES_KEPT = 64

# One title in 256 starts a part. With 43,000 sections that makes about 170
# parts of 50 KB: a change rewrites one or two of them, and the head stays
# far below the service's bound.
_CUT_ONE_IN = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """
    One applied change.

    :ivar change_id: random id by which a lost answer is recognised.
    :ivar owner: team whose sections changed.
    :ivar author: person or program that applied it.
    :ivar wall_s: Unix time in seconds.
    :ivar revision: revision that it made, 0 before it is applied.
    """

    change_id: str
    owner: str
    author: str
    wall_s: float
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """
    The record under ``configuration/head``.

    :ivar revision: count of changes, which only rises.
    :ivar digest: digest of the whole document.
    :ivar parts: digests of the parts in order.
    :ivar changes: the last changes, newest last.
    :ivar retired: parts that are no longer named, with the revision from
        which they are not; they are kept for readers of earlier heads.
    """

    revision: int
    digest: str
    parts: tuple[str, ...]
    changes: tuple[Change, ...]
    retired: tuple[tuple[str, int], ...] = ()

    @property
    def change_id(self) -> str:
        """Id of the change that made this revision."""
        return self.changes[-1].change_id if self.changes else ''

    def find(self, change_id: str) -> Change | None:
        """Return a change by its id, if it is one of the last."""
        for change in self.changes:
            if change.change_id == change_id:
                return change
        return None

    def encode(self) -> bytes:
        """Return the stored form."""
        return _ADAPTER.dump_json(self)


EMPTY_HEAD = Head(0, digest_of(''), (), ())

_ADAPTER = pydantic.TypeAdapter(Head)


def decode_head(raw: bytes | None) -> Head:
    """
    Return the head of a stored value, the empty head for none.

    :raises ConfigurationError: if the value is malformed.
    """
    if raw is None:
        return EMPTY_HEAD
    try:
        return _ADAPTER.validate_json(raw)
    except pydantic.ValidationError as error:
        fault = error.errors()[0]
    place = '.'.join(str(part) for part in fault['loc'])
    raise ConfigurationError(f'{HEAD_KEY}: {place}: {fault["msg"]}')


def next_head(head: Head, text: str, parts: list[bytes], by: Change) -> Head:
    """Return the head of the revision that a change makes."""
    revision = head.revision + 1
    applied = dataclasses.replace(by, revision=revision)
    names = tuple(part_digest(part) for part in parts)
    return Head(
        revision=revision,
        digest=digest_of(text),
        parts=names,
        changes=(*head.changes, applied)[-CHANGES_KEPT:],
        retired=tuple(
            (name, since)
            for name, since in _unnamed(head, names, revision)
            if since > revision - CHANGES_KEPT
        ),
    )


def garbage(before: Head, after: Head) -> list[str]:
    """Return the parts that may be deleted once a head is replaced."""
    kept = {name for name, _ in after.retired}.union(after.parts)
    return [name for name, _ in before.retired if name not in kept]


def _unnamed(
    head: Head,
    names: tuple[str, ...],
    revision: int,
) -> list[tuple[str, int]]:
    """Return the parts of earlier heads that a new one does not name."""
    dropped = [(name, revision) for name in head.parts]
    return [row for row in (*head.retired, *dropped) if row[0] not in names]


def part_digest(part: bytes) -> str:
    """Return the name of a part."""
    return digest_of(part.decode())


def split_parts(sections: Sections) -> list[bytes]:
    """
    Return the document's parts, cut between sections.

    :raises ConfigurationError: if one section alone is over the bound.
    """
    parts: list[bytes] = []
    held = b''
    for title, piece in _pieces(sections):
        if len(piece) > PART_BYTES:
            raise ConfigurationError(f'[{title}]: over {PART_BYTES} bytes')
        cut = stable_hash(title) % _CUT_ONE_IN == 0
        if held and (cut or len(held) + len(piece) > PART_BYTES):
            parts.append(held)
            held = b''
        held += piece
    return [*parts, held] if held else parts


def join_parts(head: Head, found: Mapping[str, bytes]) -> str:
    """
    Return the document of a head.

    :raises ConfigurationError: if a part is missing or has another digest.
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


def _pieces(sections: Sections) -> Iterator[tuple[str, bytes]]:
    """Yield title and bytes of the sections, in the order of titles."""
    for number, title in enumerate(sorted(sections)):
        gap = '\n' if number else ''
        yield title, f'{gap}{sections[title]}'.encode()
