"""What one process knows of its tokens of one account."""

import dataclasses

from fuchsiafork.prepaid.changes import Reservation
from fuchsiafork.prepaid.demand import DemandMeter
from fuchsiafork.prepaid.ledger import Share
from fuchsiafork.prepaid.waiting import WaitingRequest


@dataclasses.dataclass(slots=True)
class AccountState:
    """
    State of one account in this process.

    :ivar share: share in the last record known to be stored.
    :ivar used: settled tokens that are not in that record; also reduced by
        tokens received from other VMs, and raised by tokens sent to them.
    :ivar settled: settled tokens of this process in that record.
    :ivar reserved: upper bound of the cost of the open requests.
    :ivar demand: what requests ask for.
    :ivar waiting: requests that wait for tokens, in order of arrival.
    :ivar refused: largest reservation refused since the last write without a
        wait.
    :ivar frozen: whether spending is stopped until the next write because
        the budget was lowered.
    """

    share: Share = dataclasses.field(default_factory=Share)
    used: int = 0
    settled: int = 0
    reserved: int = 0
    demand: DemandMeter = dataclasses.field(default_factory=DemandMeter)
    waiting: list[WaitingRequest] = dataclasses.field(default_factory=list)
    refused: int = 0
    frozen: bool = False

    @property
    def shortage(self) -> int:
        """Tokens for which the next write should make room."""
        return max(self.refused, self.waiting_tokens)

    @property
    def waiting_tokens(self) -> int:
        """Tokens that all waiting requests need."""
        return sum(request.tokens for request in self.waiting)

    def reserve(self, account: str, tokens: int) -> Reservation:
        """Set tokens aside, which must be available."""
        self.reserved += tokens
        return Reservation(account, tokens)


__all__ = ('AccountState',)
