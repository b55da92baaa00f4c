"""How far VMs know the changes under the prefixes that they follow."""

import dataclasses
from collections.abc import Mapping
from typing import Annotated, Any, NamedTuple

import pydantic

# Longest wait that one VM asks of another, seconds.
MAX_WAIT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """
    How far one VM knows the changes under a prefix.

    :ivar era: era of the store in which the revisions count.
    :ivar revision: revision up to which it knows all changes.
    :ivar changed_revision: revision of the newest change that it knows.
    :ivar age_s: seconds since the store confirmed the revision, to this VM or
        to another one that said so.
    """

    era: int
    revision: int
    changed_revision: int = 0
    age_s: float = 0.0

    def lacks(self, other: 'Position') -> bool:
        """Return whether another VM knows a change that this one doesn't."""
        if other.era != self.era:
            return other.era > self.era
        return other.changed_revision > self.revision


@dataclasses.dataclass(frozen=True, slots=True)
class Inquiry:
    """
    Asks another VM for its positions.

    :ivar wait_s: seconds that it may wait for a change that the asking VM
        doesn't know.
    :ivar positions: positions of the asking VM by prefix.
    """

    wait_s: float
    positions: Mapping[str, Position]


_Count = Annotated[int, pydantic.Field(ge=0)]
_Seconds = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


class _PositionRecord(NamedTuple):
    """A position as VMs exchange it."""

    era: _Count
    revision: _Count
    changed_revision: _Count
    age_s: _Seconds


class _InquiryRecord(NamedTuple):
    """An inquiry as VMs exchange it."""

    wait_s: Annotated[float, pydantic.Field(ge=0, le=MAX_WAIT_S)]
    positions: dict[str, _PositionRecord]


_INQUIRY = pydantic.TypeAdapter(_InquiryRecord)
_POSITIONS = pydantic.TypeAdapter(dict[str, _PositionRecord])


def encode_positions(positions: Mapping[str, Position]) -> dict[str, Any]:
    """Return positions by prefix in the form in which VMs exchange them."""
    return {
        prefix: [
            position.era,
            position.revision,
            position.changed_revision,
            round(position.age_s, 3),
        ]
        for prefix, position in positions.items()
    }


def decode_positions(content: Any) -> dict[str, Position]:
    """
    Return the positions that another VM has sent.

    :raises ValueError: if they are malformed.
    """
    return _to_positions(_POSITIONS.validate_python(content))


def encode_inquiry(inquiry: Inquiry) -> list[Any]:
    """Return an inquiry in the form in which VMs exchange it."""
    return [inquiry.wait_s, encode_positions(inquiry.positions)]


def decode_inquiry(content: Any) -> Inquiry:
    """
    Return the inquiry of another VM.

    :raises ValueError: if it is malformed.
    """
    record = _INQUIRY.validate_python(content)
    return Inquiry(record.wait_s, _to_positions(record.positions))


def _to_positions(
    records: Mapping[str, _PositionRecord],
) -> dict[str, Position]:
    """Return positions by prefix."""
    return {prefix: Position(*record) for prefix, record in records.items()}


__all__ = (
    'MAX_WAIT_S',
    'Inquiry',
    'Position',
    'decode_inquiry',
    'decode_positions',
    'encode_inquiry',
    'encode_positions',
)
