"""Composition of a holder's next write to a record."""

import collections
from collections.abc import Callable

from fuchsiafork.budgets import ledger
from fuchsiafork.budgets.ledger_writes import GrantRequest, HolderWrite
from fuchsiafork.budgets.tables import HolderTables, Shard
from fuchsiafork.kernel import Context

TokensByBudget = tuple[collections.Counter[str], collections.Counter[str]]


class WriteComposer:
    """
    Collects settlements, transfers, grant requests and close-outs.

    :ivar leaving: whether the keeper shuts down and returns its grants.
    :ivar openings: opening credit of the configured budgets, in tokens.
    :ivar serves_local_routers: returns whether routers of this VM may use
        this holder.
    :ivar is_domain_primary: returns whether this keeper is its failure
        domain's primary for a budget.
    :ivar plan_close_outs: adds due close-outs and releases to a write.
    """

    def __init__(self, context: Context, tables: HolderTables) -> None:
        """Start without budgets."""
        self.leaving = False
        self.openings: dict[str, int] = {}
        self.serves_local_routers: Callable[[], bool] = bool
        self.is_domain_primary: Callable[[str], bool] = bool
        self.plan_close_outs: Callable[[Shard, HolderWrite], None] = (
            lambda shard, write: None
        )
        self._context = context
        self._tables = tables

    def reset(self, tables: HolderTables) -> None:
        """Switch to the tables of a new holder id."""
        self._tables = tables

    def compose(self, shard: Shard) -> HolderWrite:
        """Return this holder's next write to a record."""
        tables = self._tables
        closed = shard.record.closed
        write = HolderWrite(
            holder=tables.holder,
            domain=self._context.identity.domain,
            sequence=tables.sequence + 1,
            wall=int(self._context.clock.wall()),
            serves_local_routers=self.serves_local_routers(),
            settlements=[
                row
                for row in tables.pending_settlements.values()
                if tables.shard_of(row.budget) is shard
                and (row.holder == tables.holder or row.holder in closed)
            ],
            transfers={
                name: local_transfer.transfer
                for name, local_transfer in tables.transfers.items()
                if tables.shard_of(local_transfer.transfer.budget) is shard
            },
            openings={
                name: tokens
                for name, tokens in self.openings.items()
                if tables.shard_of(name) is shard
            },
        )
        self.plan_close_outs(shard, write)
        write.grant_requests = self._grant_requests(shard, write)
        return write

    def _grant_requests(
        self, shard: Shard, write: HolderWrite
    ) -> dict[str, GrantRequest]:
        """Return this holder's grant request for each budget of a record."""
        now = self._context.clock.now()
        settled, net_transfers = self.settled_and_transferred(write)
        waiting: collections.Counter[str] = collections.Counter()
        for row in self._tables.waiting.values():
            waiting[row.message.budget] += row.message.tokens
        grant_requests = {}
        for name, state in self._tables.budgets.items():
            if state.shard is not shard:
                continue
            committed = (
                state.reserved + state.unwritten_settlements - settled[name]
            )
            committed -= state.net_transfers - net_transfers[name]
            # A leaving holder keeps only its committed tokens.
            rate = 0 if self.leaving else int(state.forecast.rate(now))
            is_domain_primary = not self.leaving and self.is_domain_primary(
                name
            )
            needed = committed + waiting[name]
            if (
                is_domain_primary
                or rate
                or needed
                or state.granted(self._tables.holder)
            ):
                grant_requests[name] = GrantRequest(
                    max(0, committed), needed, rate, is_domain_primary
                )
        return grant_requests

    def settled_and_transferred(
        self,
        write: HolderWrite,
    ) -> tuple[collections.Counter[str], collections.Counter[str]]:
        """Return the settled and the net transferred tokens, by budget."""
        settled: collections.Counter[str] = collections.Counter()
        net_transfers: collections.Counter[str] = collections.Counter()
        for row in write.settlements:
            if row.holder == self._tables.holder:
                settled[row.budget] += row.tokens
        for name in write.transfers:
            local_transfer = self._tables.transfers[name]
            if not local_transfer.counterpart_wrote:
                net_transfers[local_transfer.transfer.budget] += (
                    local_transfer.credit
                )
        return settled, net_transfers


def is_worth_writing(
    before: ledger.Record,
    after: ledger.Record,
    write: HolderWrite,
) -> bool:
    """Return whether a write changes enough to be worth a store call."""
    if write.settlements or write.transfers or write.close_outs:
        return True
    old = before.holders.get(write.holder)
    if old is None or old.serves_local_routers != write.serves_local_routers:
        return True
    if before.budgets.keys() != after.budgets.keys():
        return True
    return any(
        row.grants != before.budgets[name].grants
        or row.free != before.budgets[name].free
        or _rate_changed(
            before.budgets[name].rates.get(write.holder, 0),
            row.rates.get(write.holder, 0),
        )
        for name, row in after.budgets.items()
    )


def _rate_changed(old: int, new: int) -> bool:
    """Return whether a forecast changed by more than a quarter."""
    return abs(new - old) > max(old, new) / 4
