"""Allocates the tokens granted to one process to requests; does no I/O."""

import dataclasses
import math

from fuchsiafork.kernel import Clock
from fuchsiafork.prepaid import known_ledger
from fuchsiafork.prepaid.account_state import AccountState
from fuchsiafork.prepaid.changes import (
    AccountChange,
    AccountSummary,
    LedgerChange,
)
from fuchsiafork.prepaid.fleet_time import FleetTime
from fuchsiafork.prepaid.ledger import (
    AccountEntry,
    ClockReading,
    Holder,
    Ledger,
    RetiredHolder,
    Share,
)
from fuchsiafork.prepaid.sizer import GrantSizer, TokenNeed
from fuchsiafork.prepaid.spending import TokenSpending
from fuchsiafork.prepaid.store_era import StoreEra

# How long a new process waits for the fleet time before it computes without it
# which tokens its predecessor can't have spent.
FLEET_TIME_WAIT_S = 1.5


class TokenAllocator(TokenSpending):
    """
    Spends the tokens granted to a process, and plans its ledger writes.

    A ledger write records the used tokens and renews the grants.
    """

    def __init__(
        self,
        holder: str,
        address: str,
        clock: Clock,
        fleet_time: FleetTime,
    ) -> None:
        """
        Start without tokens, as a holder without a ledger write.

        :param address: IP:PORT at which other VMs request tokens.
        """
        super().__init__(clock)
        self._fleet_time = fleet_time
        self._holder = holder
        self._address = address
        self._started_at = (clock.wall(), clock.now())
        self._write_number = 0
        self._holding = True
        self._last_ledger: Ledger | None = None
        self._era = StoreEra(clock)
        self._prepaid: dict[str, int] = {}

    @property
    def holding(self) -> bool:
        """Whether this process holds grants beyond its open reservations."""
        return self._holding and not self._stopping

    @holding.setter
    def holding(self, holding: bool) -> None:
        self._holding = holding

    @property
    def has_grants(self) -> bool:
        """Whether the ledger has a share of this process in each account."""
        ledger = self._last_ledger
        return ledger is not None and all(
            self._holder in ledger.entry(account).shares
            for account in self._prepaid
        )

    @property
    def has_ledger_entries(self) -> bool:
        """Whether the ledger holds tokens for processes of this VM."""
        if self._unconfirmed or any(
            state.share.grant for state in self._states.values()
        ):
            return True
        ledger = self._last_ledger
        return ledger is not None and bool(ledger.predecessors(self._holder))

    @property
    def accounts(self) -> tuple[str, ...]:
        """Accounts that have a budget."""
        return tuple(self._prepaid)

    @property
    def fleet_size(self) -> int:
        """Number of VMs with a recent ledger write, at least one."""
        return known_ledger.count_live_holders(
            self._last_ledger, self._clock.wall()
        )

    @property
    def peer_addresses(self) -> list[str]:
        """Addresses of the other VMs in the last known record."""
        return known_ledger.peer_addresses(self._last_ledger, self._address)

    @property
    def has_unrecorded_tokens(self) -> bool:
        """Whether tokens were used that the ledger doesn't include yet."""
        return any(
            state.used
            for account, state in self._states.items()
            if account in self._prepaid
        )

    def set_prepaid(self, prepaid: dict[str, int]) -> bool:
        """Set the prepaid tokens by account; return whether any changed."""
        changed = prepaid != self._prepaid
        for account, tokens in prepaid.items():
            if tokens < self._prepaid.get(account, 0):
                state = self._states.setdefault(account, AccountState())
                state.frozen = True
        self._prepaid = prepaid
        return changed

    def peers_by_grant(self, account: str) -> list[str]:
        """Return addresses of VMs with a grant, the largest grant first."""
        return known_ledger.peers_by_grant(
            self._last_ledger, account, self._holder, self._clock.wall()
        )

    def summary(self, account: str) -> AccountSummary:
        """Return the distribution of an account's tokens."""
        return known_ledger.summarize(
            self._last_ledger,
            account,
            self._holder,
            self._states.get(account) or AccountState(),
            self._prepaid.get(account, 0),
            self._clock.wall(),
        )

    def exhausted(self, account: str, tokens: int) -> bool:
        """
        Return whether the whole budget can't cover a cost any more.

        Only settled tokens count, since unused grants may become free again.
        """
        if self._last_ledger is None or account not in self._prepaid:
            return False
        spent = self._last_ledger.entry(account).spent
        return self._prepaid[account] - spent < tokens

    def start_era(self, era: int) -> None:
        """
        Record the era of the store.

        :param era: number of its returns from a copy, each of which gives
            revisions out again.
        """
        self._era.start(era, first=self._last_ledger is None)

    def apply_record(self, ledger: Ledger, revision: int) -> list[str]:
        """
        Process a ledger record that was read from the store.

        The record gets the newer parts that this process knows. It shows
        which of the writes with an unknown outcome took effect. Those based
        on an older revision of the same era can't take effect any more.

        :return: holders whose parts the record had lost.
        """
        lost = (
            [] if self._last_ledger is None else ledger.merge(self._last_ledger)
        )
        self._last_ledger = ledger.copy()
        own_holder = ledger.holders.get(self._holder)
        applied = own_holder.write_number if own_holder else 0
        for change in self._unconfirmed:
            if change.write_number == applied:
                self._apply_change(change)
        self._unconfirmed = [
            change
            for change in self._unconfirmed
            if change.write_number > applied
            and (
                change.era != self._era.number
                or change.base_revision >= revision
            )
        ]
        self._serve_all()
        return lost

    def plan_write(self, ledger: Ledger, revision: int) -> LedgerChange:
        """
        Update a record that was read, for a write, and return the change.

        The outcome of the change counts as unknown until `confirm_write`,
        `discard_write` or `apply_record` resolves it.
        """
        self._write_number += 1
        written_at = self._read_clocks()
        retired = self._retire_predecessors(ledger)
        ledger.holders[self._holder] = Holder(
            self._write_number,
            written_at,
            self._address,
            self._era.number,
        )
        live_holders = ledger.live_holders(written_at.wall)
        may_grow = self._era.is_settled(ledger, live_holders)
        accounts = {
            account: self._plan_account(
                ledger.entry(account), account, live_holders, may_grow=may_grow
            )
            for account in self._prepaid
        }
        change = LedgerChange(
            self._write_number,
            revision,
            self._era.number,
            # The same clock reading as in the record: if the process were
            # paused between two readings, it could spend more than a
            # successor assumes.
            written_at.since_boot,
            accounts,
            retired,
        )
        self._unconfirmed.append(change)
        return change

    def confirm_write(self, change: LedgerChange, ledger: Ledger) -> None:
        """Apply a change whose write was stored."""
        self._last_ledger = ledger
        self._apply_change(change)
        self._unconfirmed.clear()
        for state in self._states.values():
            state.frozen = False
        self._serve_all()

    def discard_write(self, change: LedgerChange) -> None:
        """Remove a change whose write was not stored and never will be."""
        self._unconfirmed.remove(change)
        self._serve_all()

    def _read_clocks(self) -> ClockReading:
        """Return the current readings of all clocks."""
        since_boot = self._clock.now()
        return ClockReading(
            self._clock.wall(),
            since_boot,
            self._fleet_time.unix_time(since_boot),
        )

    def _retire_predecessors(self, ledger: Ledger) -> list[RetiredHolder]:
        """Remove the earlier processes of this VM from the ledger."""
        wall, since_boot = self._started_at
        started_at = ClockReading(
            wall, since_boot, self._fleet_time.unix_time(since_boot)
        )
        young = self._clock.now() - since_boot < FLEET_TIME_WAIT_S
        return ledger.retire_predecessors(
            self._holder,
            started_at,
            era=self._era.number,
            defer_uncertain=young and not self._fleet_time.synchronized,
        )

    def _apply_change(self, change: LedgerChange) -> None:
        """Adopt the grants of a stored change; its used tokens are settled."""
        self._written_at = change.written_at
        for account, account_change in change.accounts.items():
            state = self._states[account]
            state.share = account_change.share
            state.used -= account_change.used
            state.settled += account_change.used

    def _plan_account(
        self,
        entry: AccountEntry,
        account: str,
        live_holders: list[str],
        *,
        may_grow: bool,
    ) -> AccountChange:
        """Settle the used tokens of one account and size its new grant."""
        state = self._states.setdefault(account, AccountState())
        demand = math.ceil(state.demand.tokens_per_s) if self.holding else 0
        unused = self._unused_grant(account, state)
        share = Share(unused, demand=demand, settled=state.settled + state.used)
        entry.shares[self._holder] = share
        need = TokenNeed(state.reserved, state.shortage)
        state.refused = 0
        if self.holding:
            sizer = GrantSizer(
                entry, self._prepaid[account], self._holder, live_holders
            )
            share.grant = sizer.grant(need)
            if not may_grow:
                share.grant = min(share.grant, unused)
            share.burst = sizer.burst(need)
            share.rate = sizer.rate()
        else:
            share.grant = share.burst = need.reserved
        return AccountChange(state.used, dataclasses.replace(share))

    def _unused_grant(self, account: str, state: AccountState) -> int:
        """
        Return the tokens of the grant that aren't settled.

        A write of an earlier era whose outcome is unknown may have freed some
        that other VMs were granted since.
        """
        grants = [state.share.grant]
        for change in self._unconfirmed:
            if change.era != self._era.number and account in change.accounts:
                planned = change.accounts[account]
                grants.append(planned.share.grant + planned.used)
        return min(grants) - state.used
