"""What a holder has to write to a record."""

import collections
from collections.abc import Callable

from fuchsiafork.budgets import ledger
from fuchsiafork.budgets.tables import HolderTables, Shard
from fuchsiafork.budgets.writes import HolderWrite, Want
from fuchsiafork.kernel import Context

Sums = tuple[collections.Counter[str], collections.Counter[str]]


class WriteComposer:
    """
    Collects settlements, transfers, wishes and close-outs into a write.

    :ivar openings: opening credit of the configured budgets, in tokens.
    :ivar is_lone: returns whether routers of this VM use this holder.
    :ivar is_base: returns whether it is the domain's first for a budget.
    :ivar plan_close: adds what can be closed out or freed to a write.
    """

    def __init__(self, context: Context, tables: HolderTables) -> None:
        """Start without budgets."""
        self.leaving = False
        self.openings: dict[str, int] = {}
        self.is_lone: Callable[[], bool] = bool
        self.is_base: Callable[[str], bool] = bool
        self.plan_close: Callable[[Shard, HolderWrite], None] = (
            lambda shard, write: None
        )
        self._context = context
        self._tables = tables

    def reset(self, tables: HolderTables) -> None:
        """Go on under a new holder id."""
        self._tables = tables

    def compose(self, shard: Shard) -> HolderWrite:
        """Return everything that this holder has to write to a record."""
        tables = self._tables
        closed = shard.record.closed
        write = HolderWrite(
            holder=tables.holder,
            domain=self._context.identity.domain,
            sequence=tables.sequence + 1,
            wall=int(self._context.clock.wall()),
            lone=self.is_lone(),
            settlements=[
                row
                for row in tables.pending.values()
                if tables.shard_of(row.budget) is shard
                and (row.holder == tables.holder or row.holder in closed)
            ],
            transfers={
                name: held.transfer
                for name, held in tables.transfers.items()
                if tables.shard_of(held.transfer.budget) is shard
            },
            openings={
                name: tokens
                for name, tokens in self.openings.items()
                if tables.shard_of(name) is shard
            },
        )
        self.plan_close(shard, write)
        write.wants = self._wants(shard, write)
        return write

    def _wants(self, shard: Shard, write: HolderWrite) -> dict[str, Want]:
        """Return what this holder asks for each budget of a record."""
        now = self._context.clock.now()
        settled, moved = self.sums(write)
        waiting: collections.Counter[str] = collections.Counter()
        for row in self._tables.waiting.values():
            waiting[row.message.budget] += row.message.tokens
        wants = {}
        for name, state in self._tables.budgets.items():
            if state.shard is not shard:
                continue
            least = state.reserved + state.unwritten - settled[name]
            least -= state.moved - moved[name]
            # A leaving holder keeps only what it has promised.
            rate = 0 if self.leaving else int(state.forecast.rate(now))
            base = not self.leaving and self.is_base(name)
            need = least + waiting[name]
            if base or rate or need or state.granted(self._tables.holder):
                wants[name] = Want(max(0, least), need, rate, base)
        return wants

    def sums(
        self,
        write: HolderWrite,
    ) -> tuple[collections.Counter[str], collections.Counter[str]]:
        """Return tokens settled and moved by a write, by budget."""
        settled: collections.Counter[str] = collections.Counter()
        moved: collections.Counter[str] = collections.Counter()
        for row in write.settlements:
            if row.holder == self._tables.holder:
                settled[row.budget] += row.tokens
        for name in write.transfers:
            held = self._tables.transfers[name]
            if not held.in_ledger:
                moved[held.transfer.budget] += held.change
        return settled, moved


def differs(
    before: ledger.Record,
    after: ledger.Record,
    write: HolderWrite,
) -> bool:
    """Return whether a write is worth its cost."""
    if write.settlements or write.transfers or write.closes:
        return True
    old = before.holders.get(write.holder)
    if old is None or old.lone != write.lone:
        return True
    if before.budgets.keys() != after.budgets.keys():
        return True
    return any(
        row.grants != before.budgets[name].grants
        or row.free != before.budgets[name].free
        or _moved(
            before.budgets[name].rates.get(write.holder, 0),
            row.rates.get(write.holder, 0),
        )
        for name, row in after.budgets.items()
    )


def _moved(old: int, new: int) -> bool:
    """Return whether a forecast changed enough to tell the others."""
    return abs(new - old) > max(old, new) / 4
