"""Value types of the token allocator and its ledger writes."""

import dataclasses

from fuchsiafork.prepaid.ledger import RetiredHolder, Share


@dataclasses.dataclass(slots=True)
class Reservation:
    """
    Tokens set aside for one request.

    :ivar tokens: upper bound of the request's cost.
    :ivar open: whether the reservation hasn't been settled yet.
    """

    account: str
    tokens: int
    open: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class AccountSummary:
    """
    Distribution of an account's tokens in the last known ledger record.

    :ivar free: tokens that are neither spent nor granted.
    :ivar held: grant of this process, without used and reserved tokens.
    :ivar held_by_others: granted to other live processes.
    :ivar withheld: granted to processes that have ended or stopped writing.
    """

    prepaid: int
    spent: int
    free: int
    held: int
    held_by_others: int
    withheld: int

    @property
    def obtainable(self) -> int:
        """Unused tokens of this process plus those a write could grant."""
        return self.free + self.held

    @property
    def unspent(self) -> int:
        """Unused tokens of all live processes and those not granted."""
        return self.obtainable + self.held_by_others

    def __str__(self) -> str:
        """Return the numbers as text for an error message."""
        return (
            f'{self.spent} of {self.prepaid} spent, {self.free} free, '
            f'{self.held} held, {self.held_by_others} by others, '
            f'{self.withheld} withheld'
        )


@dataclasses.dataclass(frozen=True, slots=True)
class AccountChange:
    """
    Change of one account by a ledger write.

    :ivar used: tokens moved from this process's grant to the account's
        ``spent``.
    :ivar share: share of this process after the write.
    """

    used: int
    share: Share


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerChange:
    """
    Changes to this process's grants by one ledger write.

    :ivar write_number: sequence number of the write within this process.
    :ivar base_revision: revision of the record that the write replaces.
    :ivar era: era of the store in which it had that revision.
    :ivar written_at: time since boot that the record names for the write,
        seconds.
    :ivar retired: earlier processes of this VM that the write removes.
    """

    write_number: int
    base_revision: int
    era: int
    written_at: float
    accounts: dict[str, AccountChange]
    retired: list[RetiredHolder]
