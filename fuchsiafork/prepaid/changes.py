"""What a purse tells of its tokens, and what its writes change."""

import dataclasses

from fuchsiafork.prepaid.ledger import RetiredHolder, Share


@dataclasses.dataclass(slots=True)
class Reservation:
    """
    The most that a request may cost.

    :ivar open: whether it hasn't been settled yet.
    """

    account: str
    tokens: int
    open: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class AccountSummary:
    """
    Where an account's tokens are, by the last record that is known.

    :ivar held: by this process, without what is used or reserved.
    :ivar held_by_others: granted to other live processes.
    :ivar withheld: granted to processes that are gone or silent.
    """

    prepaid: int
    spent: int
    free: int
    held: int
    held_by_others: int
    withheld: int

    @property
    def obtainable(self) -> int:
        """Tokens at hand, and those that a write could bring."""
        return self.free + self.held

    def __str__(self) -> str:
        """Return the tokens for a log line."""
        return (
            f'{self.spent} of {self.prepaid} spent, {self.free} free, '
            f'{self.held} held, {self.held_by_others} by others, '
            f'{self.withheld} withheld'
        )


@dataclasses.dataclass(frozen=True, slots=True)
class AccountChange:
    """
    One account in a write of the ledger.

    :ivar used: tokens moved from the grant to the account's spent ones.
    :ivar share: share after the write.
    """

    used: int
    share: Share


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerChange:
    """
    What one write of the ledger does to this process's grants.

    :ivar number: of the write.
    :ivar base: revision of the record that the write replaces.
    :ivar retired: earlier processes of this VM that it drops.
    """

    write_number: int
    base_revision: int
    accounts: dict[str, AccountChange]
    retired: list[RetiredHolder]
