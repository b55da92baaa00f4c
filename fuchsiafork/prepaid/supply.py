"""Decides how a holder obtains tokens for requests that wait; does no I/O."""

import dataclasses
import enum

from fuchsiafork.prepaid.changes import AccountSummary


class SupplyStep(enum.Enum):
    """What a holder does next for an account whose requests wait."""

    ASK_PEERS = enum.auto()
    WRITE = enum.auto()
    AWAIT_SHARE = enum.auto()
    AWAIT_WRITES = enum.auto()
    REFUSE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class SupplyOutlook:
    """
    What a holder knows when requests of an account wait.

    :ivar smallest: fewest tokens that one of them needs.
    :ivar record_fresh: whether the summary is of a recent record.
    :ivar store_answers: whether a write can be expected to end soon.
    :ivar peers_left: whether another holder may give tokens.
    :ivar share_s: seconds until the holder may spend enough of its own share,
        None if it never may.
    :ivar left_s: seconds until the last of them is refused.
    """

    summary: AccountSummary
    smallest: int
    record_fresh: bool
    store_answers: bool
    peers_left: bool
    share_s: float | None
    left_s: float

    @property
    def write_helps(self) -> bool:
        """Whether a write now can provide tokens."""
        obtainable = (
            not self.record_fresh or self.summary.obtainable >= self.smallest
        )
        return self.store_answers and obtainable

    @property
    def covered(self) -> bool:
        """Whether the fleet has the tokens, as far as the record tells."""
        return not self.record_fresh or self.summary.unspent >= self.smallest


def choose_step(outlook: SupplyOutlook) -> SupplyStep:
    """
    Return what to do next.

    Other holders are asked before the store: their answers take less time,
    and calls of the store are paid for.
    """
    if outlook.left_s <= 0 or not outlook.covered:
        return SupplyStep.REFUSE
    if outlook.peers_left:
        return SupplyStep.ASK_PEERS
    if outlook.write_helps:
        return SupplyStep.WRITE
    if outlook.share_s is not None and outlook.share_s <= outlook.left_s:
        return SupplyStep.AWAIT_SHARE
    if outlook.store_answers:
        return SupplyStep.AWAIT_WRITES
    return SupplyStep.REFUSE


__all__ = ('SupplyOutlook', 'SupplyStep', 'choose_step')
