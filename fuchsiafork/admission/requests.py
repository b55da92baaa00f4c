"""Requests that ask for a place, and what is decided on them."""

import dataclasses
import enum


class Reason(enum.Enum):
    """Why a request gets no place."""

    EXPECTED_WAIT = 'expected_wait'
    QUEUE_FULL = 'queue_full'
    WAIT_OVER = 'wait_over'


@dataclasses.dataclass(eq=False, frozen=True, slots=True)
class WaitingRequest:
    """
    One request that asks for a place.

    :ivar account: its client account, empty if it has none.
    :ivar priority: 0 is the most urgent.
    :ivar units: its work; see ``WorkCost.units``.
    :ivar body_bytes: bytes of its body.
    :ivar wait_until: time until which it may wait, seconds.
    """

    account: str
    priority: int
    units: float
    body_bytes: int
    wait_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """
    Why a request gets no place, with what the decision rests on.

    :ivar waiting: requests that wait at this VM.
    :ivar ahead: those of them that are served before this one.
    :ivar expected_wait_s: time until these have places.
    :ivar limit_s: time for which the request may wait.
    :ivar over_share: whether its account asks for more than its share.
    :ivar retry_after_s: time after which the caller may return, None if it
        can't be estimated.
    """

    reason: Reason
    waiting: int
    ahead: int
    expected_wait_s: float
    limit_s: float
    over_share: bool
    retry_after_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """
    Decisions on requests, those that waited included.

    :ivar started: requests that got places.
    """

    started: list[WaitingRequest] = dataclasses.field(default_factory=list)
    refused: list[tuple[WaitingRequest, Refusal]] = dataclasses.field(
        default_factory=list
    )


__all__ = ('Changes', 'Reason', 'Refusal', 'WaitingRequest')
