"""What one process knows of its tokens of one account."""

import dataclasses

from fuchsiafork.prepaid.ledger import Share


@dataclasses.dataclass(slots=True)
class AccountState:
    """
    State of one account in this process.

    :ivar share: share in the last record known to be stored.
    :ivar used: settled tokens that are not in that record; also reduced by
        tokens received from other VMs, and raised by tokens sent to them.
    :ivar settled: settled tokens of this process in that record.
    :ivar reserved: upper bound of the cost of the open requests.
    :ivar demand: moving average of the spending, tokens per second.
    :ivar spent_since_update: tokens spent since the last demand update.
    :ivar shortage: largest reservation refused since the last write.
    :ivar frozen: whether spending is stopped until the next write because
        the budget was lowered.
    """

    share: Share = dataclasses.field(default_factory=Share)
    used: int = 0
    settled: int = 0
    reserved: int = 0
    demand: float = 0.0
    spent_since_update: float = 0.0
    shortage: int = 0
    frozen: bool = False


__all__ = ('AccountState',)
