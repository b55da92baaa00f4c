"""Notices on parts of requests that VMs exchange through the store."""

import dataclasses
import enum
import math
from collections.abc import Mapping
from itertools import starmap
from typing import Annotated

import pydantic

from fuchsiafork.quarantine.progress import UNLIMITED_EVENTS, Progress

# Longest id of a part in a notice, characters.
MAX_PART_CHARS = 64
# Largest number of parts in one notice.
MAX_PARTS = 256
# In place of a time that has no bound.
UNBOUNDED_MS = -1
MS_PER_S = 1000
# Longest time in a notice, a day.
MAX_PROGRESS_MS = 86_400_000


class NoticeKind(enum.StrEnum):
    """What a notice says of its parts."""

    # A target ended while it answered on them, or soon afterwards.
    ENDED = 'ended'
    # A target has answered on them, and lives. Earlier versions of the program
    # know no other name; theirs tell nothing of the progress.
    ACQUITTED = 'begun'
    # They are still asked for in quarantine, and stay there.
    QUARANTINED = 'quarantined'
    # One request with them is sent to a target.
    PROBED = 'probed'


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """
    What one VM has seen of some parts of requests.

    :ivar lifetime: start of the target that ended, or that gets the probe;
        empty for other kinds.
    :ivar probe: number of the probe of the first part, 0 for other kinds; the
        further parts are in quarantine as well.
    :ivar progress: for each part, how far answers had got when targets ended,
        or up to where they show that it is harmless; empty if the kind or an
        earlier version of the program tells nothing of it.
    :ivar until: revision of the newest report that an acquittal refutes.
    """

    kind: NoticeKind
    parts: tuple[str, ...]
    lifetime: str = ''
    probe: int = 0
    progress: tuple[Progress, ...] = ()
    until: int = 0

    @property
    def progress_by_part(self) -> dict[str, Progress]:
        """How far answers had got, by part."""
        return dict(zip(self.parts, self.progress, strict=False))


_Part = Annotated[
    str, pydantic.StringConstraints(min_length=1, max_length=MAX_PART_CHARS)
]


# Events, and milliseconds since the request was sent.
_Progress = tuple[
    Annotated[int, pydantic.Field(ge=-UNLIMITED_EVENTS, le=UNLIMITED_EVENTS)],
    Annotated[int, pydantic.Field(ge=UNBOUNDED_MS, le=MAX_PROGRESS_MS)],
]


class _NoticeModel(pydantic.BaseModel):
    """A notice as it lies in the store; unknown fields are ignored."""

    kind: NoticeKind
    parts: Annotated[tuple[_Part, ...], pydantic.Field(max_length=MAX_PARTS)]
    lifetime: str = ''
    probe: int = 0
    progress: Annotated[
        tuple[_Progress, ...], pydantic.Field(max_length=MAX_PARTS)
    ] = ()
    until: Annotated[int, pydantic.Field(ge=0)] = 0


def make_notice(
    kind: NoticeKind,
    parts: tuple[str, ...],
    progress: Mapping[str, Progress],
    lifetime: str = '',
) -> Notice:
    """Return a notice that tells how far answers on its parts had got."""
    reached = tuple(progress[part] for part in parts)
    return Notice(kind, parts, lifetime, progress=reached)


def encode_notice(notice: Notice) -> bytes:
    """Return the stored form of a notice."""
    model = _NoticeModel.model_construct(
        kind=notice.kind,
        parts=notice.parts,
        lifetime=notice.lifetime,
        probe=notice.probe,
        progress=tuple(map(_encode_progress, notice.progress)),
        until=notice.until,
    )
    return model.model_dump_json(exclude_defaults=True).encode()


def decode_notice(value: bytes) -> Notice:
    """
    Return a stored notice.

    :raises ValueError: if it is invalid.
    """
    model = _NoticeModel.model_validate_json(value)
    return Notice(
        model.kind,
        model.parts,
        model.lifetime,
        model.probe,
        tuple(starmap(_decode_progress, model.progress)),
        model.until,
    )


def _encode_progress(progress: Progress) -> tuple[int, int]:
    """Return the stored form of a progress."""
    if math.isinf(progress.seconds):
        return progress.events, UNBOUNDED_MS
    return progress.events, min(
        MAX_PROGRESS_MS, max(0, int(progress.seconds * MS_PER_S))
    )


def _decode_progress(events: int, milliseconds: int) -> Progress:
    """Return a stored progress."""
    if milliseconds == UNBOUNDED_MS:
        return Progress(events, math.inf)
    return Progress(events, milliseconds / MS_PER_S)


__all__ = (
    'MAX_PARTS',
    'MAX_PART_CHARS',
    'Notice',
    'NoticeKind',
    'decode_notice',
    'encode_notice',
    'make_notice',
)
