"""Close-out of dead holders from the routers' reports."""

import dataclasses
from collections.abc import Callable

from fuchsiafork import messages
from fuchsiafork.budgets import ledger
from fuchsiafork.budgets.routers import LOST_KEPT_S, RouterWatch
from fuchsiafork.budgets.tables import HolderTables, Shard
from fuchsiafork.budgets.transfers import node_of
from fuchsiafork.budgets.writes import HolderWrite
from fuchsiafork.kernel import Context
from fuchsiafork.membership import MembershipSystem

# Lease of 5 s and quarantine of 10 s: longer than a reservation is valid
# before its first byte, and than any message can still be on its way.
SILENCE_S = 15.0
ASK_INTERVAL_S = 1.0
_CLOCK_SKEW_S = 60
# Keepers and routers of a fleet that starts come up within this time.
_START_S = 2.0


@dataclasses.dataclass(slots=True)
class Case:
    """
    A closed-out holder for which money is still withheld.

    :ivar reports: open tokens by router, then by budget.
    :ivar written: holders that have written all its transfers.
    """

    holder: str
    asked_at: float = -1e9
    reports: dict[str, dict[str, int]] = dataclasses.field(
        default_factory=dict,
    )
    written: set[str] = dataclasses.field(default_factory=set)

    def open_tokens(self, budget: str) -> int:
        """Return what the routers may still settle."""
        return sum(row.get(budget, 0) for row in self.reports.values())


class CloseOut:
    """Fences dead holders off and frees what no router holds of them."""

    def __init__(
        self,
        context: Context,
        tables: HolderTables,
        membership: MembershipSystem,
        routers: RouterWatch,
        is_clear_of: Callable[[str], bool],
    ) -> None:
        """Start without any case."""
        self._is_clear_of = is_clear_of
        self._noticed: dict[str, float] = {}
        self.awake_since = context.clock.now()
        self._context = context
        self._tables = tables
        self._membership = membership
        self._routers = routers
        self._heard: dict[str, float] = {}
        self._first_heard: dict[str, float] = {}
        self._cases: dict[str, Case] = {}

    def reset(self, tables: HolderTables) -> None:
        """Go on under a new holder id."""
        self._tables = tables

    def tick(self) -> None:
        """Note who is alive; ask for what the open cases lack."""
        now = self._context.clock.now()
        for member in self._membership.members.values():
            name = f'{member.node}#{member.incarnation}'
            self._first_heard.setdefault(name, now)
            self._heard[name] = max(
                member.last_heard,
                self._heard.get(name, 0),
            )
        for shard in self._tables.shards.values():
            for holder, row in shard.record.closed.items():
                self._follow(holder, row)
        for case in self._cases.values():
            if now - case.asked_at > ASK_INTERVAL_S:
                case.asked_at = now
                self._ask(case)

    def plan(self, shard: Shard, write: HolderWrite) -> None:
        """Add to a write what can be closed out or freed."""
        for holder, row in shard.record.holders.items():
            if holder == write.holder or row.domain != write.domain:
                continue
            if self._is_dead(holder) and self._is_mine(holder):
                write.closes.append(holder)
        for holder in shard.record.closed:
            self._free(shard, holder, write)

    def take_report(self, report: messages.OpenReservations) -> None:
        """Take what a router holds with a closed holder."""
        case = self._cases.get(report.holder)
        if case is None:
            return
        tokens: dict[str, int] = {}
        for row in report.rows:
            tokens[row.budget] = tokens.get(row.budget, 0) + row.tokens
        case.reports[report.router] = tokens

    def take_written(self, message: messages.TransfersWritten) -> None:
        """Note a holder that has written a closed holder's transfers."""
        case = self._cases.get(message.giver)
        if case is not None:
            case.written.add(message.receiver)

    def knows_closed(self, holder: str) -> bool:
        """
        Return whether a holder is closed out or may soon be.

        The question is a sign of life, which puts a close-out off.
        """
        self._heard[holder.partition('+')[0]] = self._context.clock.now()
        return holder in self._cases or any(
            holder in shard.record.closed
            or any(
                holder in attempt.write.closes
                for attempt in shard.attempts.values()
            )
            for shard in self._tables.shards.values()
        )

    def _follow(self, holder: str, row: ledger.HolderRow) -> None:
        """Open the case of a closed holder of this domain, or drop it."""
        age = self._context.clock.wall() - row.closed
        held = any(
            _withheld(shard, holder) for shard in self._tables.shards.values()
        )
        domain = self._context.identity.domain
        wanted = held or age < LOST_KEPT_S
        if row.domain == domain and wanted and self._is_mine(holder):
            self._cases.setdefault(holder, Case(holder))
        else:
            self._cases.pop(holder, None)

    def _ask(self, case: Case) -> None:
        """Ask routers for reservations and holders for transfers."""
        for node in self._routers.rows:
            self._context.outbox.send(
                node,
                messages.AskOpenReservations(case.holder),
            )
        own = {self._tables.holder}
        for receiver in self._receivers(case.holder) - case.written - own:
            self._context.outbox.send(
                node_of(receiver),
                messages.AskTransfersWritten(case.holder, receiver),
            )

    def _receivers(self, holder: str) -> set[str]:
        """Return the holders that may have had money from a closed one."""
        return {
            other
            for shard in self._tables.shards.values()
            if _withheld(shard, holder)
            for other in shard.record.holders
        }

    def _free(self, shard: Shard, holder: str, write: HolderWrite) -> None:
        """Plan to withhold no more than the routers may still settle."""
        case = self._cases.get(holder)
        if case is None or not self._is_complete(case, shard):
            return
        for budget, row in shard.record.budgets.items():
            grant = row.grants.get(holder, 0)
            spent = self._spent_by_others(shard, holder, budget)
            if grant <= 0 or spent is None:
                continue
            tokens = case.open_tokens(budget) + spent
            if tokens < grant:
                write.withheld[holder, budget] = tokens

    def _spent_by_others(
        self,
        shard: Shard,
        holder: str,
        budget: str,
    ) -> int | None:
        """
        Return what other closed holders may still spend of a grant.

        Two that died with an unwritten transfer between them leave no
        holder that knows of it: what the receiver's routers hold beyond
        its entry stays in the giver's. None if that is not known.
        """
        record = shard.record
        grants = record.budgets[budget].grants
        wall = self._context.clock.wall()
        total = 0
        for other, row in record.closed.items():
            written = record.closed[holder].wall
            if other == holder or written > row.closed + _CLOCK_SKEW_S:
                continue
            case = self._cases.get(other)
            held = max(0, grants.get(other, 0))
            if case is not None and self._is_complete(case, shard):
                total += max(0, case.open_tokens(budget) - held)
            elif held or wall - row.closed < LOST_KEPT_S:
                return None
        return total

    def _is_complete(self, case: Case, shard: Shard) -> bool:
        """Return whether everyone who may know of spending has told."""
        heard = self._heard.get(case.holder.partition('+')[0])
        closed = shard.record.closed[case.holder]
        if heard is None or not self._vouches(case.holder, heard):
            return False
        # Routers of its own VM had nothing with a holder that was not lone.
        vm = '' if closed.lone else case.holder.partition('/')[0]
        if any(
            gone.vm != vm and gone.answered > heard - LOST_KEPT_S
            for gone in self._routers.lost
        ):
            return False
        routers = {
            row.node for row in self._routers.rows.values() if row.vm != vm
        }
        told = routers <= case.reports.keys()
        own = {self._tables.holder}
        others = shard.record.holders.keys() - own
        return (
            told and others <= case.written and self._is_clear_of(case.holder)
        )

    def _vouches(self, holder: str, heard: float) -> bool:
        """
        Return whether no router of a holder can be unknown here.

        A router that died before this keeper ran, or while it was paused,
        may have left reservations that nobody else would report.
        """
        first = self._first_heard.get(holder.partition('+')[0], heard)
        since = max(first + _START_S, heard - LOST_KEPT_S)
        return self.awake_since <= since

    def _is_dead(self, holder: str) -> bool:
        """Return whether a holder has been silent for too long."""
        now = self._context.clock.now()
        name = holder.partition('+')[0]
        noticed = self._noticed.setdefault(name, now)
        heard = self._heard.get(name, noticed)
        if name == self._context.identity.holder:
            return False
        return now - max(heard, self.awake_since) > SILENCE_S

    def _is_mine(self, holder: str) -> bool:
        """Return whether this keeper comes first for a close-out."""
        node = self._context.identity.node
        return self._membership.ranked_keepers(f'holder:{holder}')[0] == node


def _withheld(shard: Shard, holder: str) -> bool:
    """Return whether a record withholds money for a closed holder."""
    return holder in shard.record.closed and any(
        row.grants.get(holder, 0) > 0 for row in shard.record.budgets.values()
    )
