"""Messages between a VM and the one that passes changes on to it."""

import base64
import dataclasses
from typing import Annotated, Any, NamedTuple

import pydantic

from fuchsiafork.replication.delta import Delta, Range

MAX_WAIT_S = 30.0
_MAX_KEY_CHARS = 256
_DIGEST_PATTERN = '^([0-9a-f]{32})?$'

_Key = Annotated[str, pydantic.Field(max_length=_MAX_KEY_CHARS)]
_Digest = Annotated[str, pydantic.Field(pattern=_DIGEST_PATTERN)]
_Revision = Annotated[int, pydantic.Field(ge=0, strict=True)]
_Length = Annotated[int, pydantic.Field(ge=1, strict=True)]


class ChangesRequest(NamedTuple):
    """
    Asks for the changes that the sender doesn't know.

    :ivar era: era of the store in which revisions count.
    :ivar after: revision of the store up to which it knows them.
    :ivar digests: digests of its large values, by key.
    :ivar wait_s: seconds to wait for a change.
    """

    era: _Revision
    after: _Revision
    digests: dict[_Key, _Digest]
    wait_s: Annotated[float, pydantic.Field(ge=0, le=MAX_WAIT_S)]


@dataclasses.dataclass(frozen=True, slots=True)
class SharedChange:
    """
    The last change of an item.

    :ivar delta: its value, None if it was deleted.
    """

    key: str
    revision: int
    delta: Delta | None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesAnswer:
    """
    The changes after the revision asked for.

    :ivar era: era of the store in which revisions count; there are no changes
        if it isn't the one asked for.
    :ivar revision: revision of the store up to which they are complete.
    """

    era: int
    revision: int
    changes: tuple[SharedChange, ...]


class _RangeModel(NamedTuple):
    """A range as it is sent."""

    start: Annotated[int, pydantic.Field(ge=-1, strict=True)]
    length: _Length


class _DeltaModel(NamedTuple):
    """A difference as it is sent."""

    base: _Digest
    digest: _Digest
    ranges: list[_RangeModel]
    added: pydantic.Base64Bytes


class _ChangeModel(NamedTuple):
    """A change as it is sent."""

    key: _Key
    revision: _Revision
    delta: _DeltaModel | None


class _AnswerModel(NamedTuple):
    """An answer as it is sent."""

    era: _Revision
    revision: _Revision
    changes: list[_ChangeModel]


_REQUEST = pydantic.TypeAdapter(ChangesRequest)
_ANSWER = pydantic.TypeAdapter(_AnswerModel)


def read_request(content: Any) -> ChangesRequest:
    """
    Return the request of another VM.

    :raises ValueError: if it is invalid.
    """
    return _REQUEST.validate_python(content)


def encode_answer(answer: ChangesAnswer) -> list[Any]:
    """Return the content of an answer."""
    changes = [
        [change.key, change.revision, _encode_delta(change.delta)]
        for change in answer.changes
    ]
    return [answer.era, answer.revision, changes]


def read_answer(content: Any) -> ChangesAnswer:
    """
    Return the answer of another VM.

    :raises ValueError: if it is invalid.
    """
    model = _ANSWER.validate_python(content)
    return ChangesAnswer(
        model.era,
        model.revision,
        tuple(
            SharedChange(
                change.key, change.revision, _convert_delta(change.delta)
            )
            for change in model.changes
        ),
    )


def _encode_delta(delta: Delta | None) -> list[Any] | None:
    """Return the content of a difference."""
    if delta is None:
        return None
    ranges = [[part.start, part.count] for part in delta.ranges]
    added = base64.b64encode(delta.added).decode()
    return [delta.base, delta.digest, ranges, added]


def _convert_delta(model: _DeltaModel | None) -> Delta | None:
    """Return a difference that was received."""
    if model is None:
        return None
    ranges = tuple(Range(part.start, part.length) for part in model.ranges)
    return Delta(model.base, model.digest, ranges, model.added)
