"""
Close-out of dead holders.

A close-out fences a holder off: its later ledger writes fail. Its grant
stays withheld until the reports of the routers and of the other holders show
how much of it can still be settled; the rest is returned to the budget.
"""

import dataclasses
from collections.abc import Callable

from fuchsiafork import messages
from fuchsiafork.budgets import ledger
from fuchsiafork.budgets.ledger_writes import HolderWrite
from fuchsiafork.budgets.router_monitor import (
    LOST_ROUTER_RETENTION_S,
    RouterMonitor,
)
from fuchsiafork.budgets.tables import HolderTables, Shard
from fuchsiafork.budgets.transfers import node_of
from fuchsiafork.kernel import Context
from fuchsiafork.membership import MembershipSystem

# Lease of 5 s plus quarantine of 10 s: longer than a reservation is valid
# before its first byte, and longer than any message can be in transit.
HOLDER_DEAD_AFTER_S = 15.0
REQUEST_INTERVAL_S = 1.0
_CLOCK_SKEW_S = 60
# A starting fleet brings up all its keepers and routers within this time.
_STARTUP_S = 2.0


@dataclasses.dataclass(slots=True)
class ClosedHolder:
    """
    A closed-out holder whose grant is still withheld.

    :ivar reports: open tokens by router, then by budget.
    :ivar written: holders that have written all transfers from it.
    """

    holder: str
    requested_at: float = -1e9
    reports: dict[str, dict[str, int]] = dataclasses.field(
        default_factory=dict,
    )
    written: set[str] = dataclasses.field(default_factory=set)

    def open_tokens(self, budget: str) -> int:
        """Return the tokens that the routers may still settle."""
        return sum(row.get(budget, 0) for row in self.reports.values())


class CloseOutManager:
    """Closes out dead holders and plans the release of withheld grants."""

    def __init__(
        self,
        context: Context,
        tables: HolderTables,
        membership: MembershipSystem,
        router_monitor: RouterMonitor,
        fence_giver: Callable[[str], bool],
    ) -> None:
        """Start without closed-out holders."""
        self._fence_giver = fence_giver
        self._first_listed_at: dict[str, float] = {}
        self.running_since = context.clock.now()
        self._context = context
        self._tables = tables
        self._membership = membership
        self._router_monitor = router_monitor
        self._last_heard_at: dict[str, float] = {}
        self._first_heard_at: dict[str, float] = {}
        self._closed_holders: dict[str, ClosedHolder] = {}

    def reset(self, tables: HolderTables) -> None:
        """Switch to the tables of a new holder id."""
        self._tables = tables

    def tick(self) -> None:
        """Update liveness; request the reports that are still missing."""
        now = self._context.clock.now()
        for member in self._membership.members.values():
            name = f'{member.node}#{member.incarnation}'
            self._first_heard_at.setdefault(name, now)
            self._last_heard_at[name] = max(
                member.last_heard,
                self._last_heard_at.get(name, 0),
            )
        for shard in self._tables.shards.values():
            for holder, row in shard.record.closed.items():
                self._track_closed_holder(holder, row)
        for closed_holder in self._closed_holders.values():
            if now - closed_holder.requested_at > REQUEST_INTERVAL_S:
                closed_holder.requested_at = now
                self._request_reports(closed_holder)

    def plan_close_outs(self, shard: Shard, write: HolderWrite) -> None:
        """Add due close-outs and releases to a write."""
        for holder, row in shard.record.holders.items():
            if holder == write.holder or row.domain != write.domain:
                continue
            if self._is_dead(holder) and self._is_responsible(holder):
                write.close_outs.append(holder)
        for holder in shard.record.closed:
            self._plan_release(shard, holder, write)

    def record_report(self, report: messages.OpenReservations) -> None:
        """Record a router's open reservations with a closed-out holder."""
        closed_holder = self._closed_holders.get(report.holder)
        if closed_holder is None:
            return
        tokens: dict[str, int] = {}
        for row in report.rows:
            tokens[row.budget] = tokens.get(row.budget, 0) + row.tokens
        closed_holder.reports[report.router] = tokens

    def record_written(self, message: messages.TransfersWritten) -> None:
        """Record that a holder has written a closed-out holder's transfers."""
        closed_holder = self._closed_holders.get(message.giver)
        if closed_holder is not None:
            closed_holder.written.add(message.receiver)

    def is_closed_or_closing(self, holder: str) -> bool:
        """
        Return whether a holder is closed out or a close-out is in progress.

        The holder itself asks, so the query counts as a heartbeat and
        postpones its close-out.
        """
        self._last_heard_at[holder.partition('+')[0]] = (
            self._context.clock.now()
        )
        return holder in self._closed_holders or any(
            holder in shard.record.closed
            or any(
                holder in unconfirmed.write.close_outs
                for unconfirmed in shard.unconfirmed_writes.values()
            )
            for shard in self._tables.shards.values()
        )

    def _track_closed_holder(self, holder: str, row: ledger.HolderRow) -> None:
        """Start or stop tracking a closed-out holder of this domain."""
        age = self._context.clock.wall() - row.closed
        has_withheld = any(
            _is_withheld(shard, holder)
            for shard in self._tables.shards.values()
        )
        domain = self._context.identity.domain
        needed = has_withheld or age < LOST_ROUTER_RETENTION_S
        if row.domain == domain and needed and self._is_responsible(holder):
            self._closed_holders.setdefault(holder, ClosedHolder(holder))
        else:
            self._closed_holders.pop(holder, None)

    def _request_reports(self, closed_holder: ClosedHolder) -> None:
        """Request open reservations of routers and transfers of holders."""
        for node in self._router_monitor.routers:
            self._context.outbox.send(
                node,
                messages.AskOpenReservations(closed_holder.holder),
            )
        own = {self._tables.holder}
        for receiver in (
            self._possible_receivers(closed_holder.holder)
            - closed_holder.written
            - own
        ):
            self._context.outbox.send(
                node_of(receiver),
                messages.AskTransfersWritten(closed_holder.holder, receiver),
            )

    def _possible_receivers(self, holder: str) -> set[str]:
        """Return the holders that may have received a transfer from it."""
        return {
            other
            for shard in self._tables.shards.values()
            if _is_withheld(shard, holder)
            for other in shard.record.holders
        }

    def _plan_release(
        self, shard: Shard, holder: str, write: HolderWrite
    ) -> None:
        """Plan to withhold only the tokens that may still be settled."""
        closed_holder = self._closed_holders.get(holder)
        if closed_holder is None or not self._is_complete(closed_holder, shard):
            return
        for budget, row in shard.record.budgets.items():
            grant = row.grants.get(holder, 0)
            claimed = self._claimed_through_others(shard, holder, budget)
            if grant <= 0 or claimed is None:
                continue
            tokens = closed_holder.open_tokens(budget) + claimed
            if tokens < grant:
                write.withheld[holder, budget] = tokens

    def _claimed_through_others(
        self,
        shard: Shard,
        holder: str,
        budget: str,
    ) -> int | None:
        """
        Return what may be settled of a grant through other closed holders.

        If giver and receiver of an unwritten transfer both died, no holder
        knows of it: what the receiver's routers hold beyond the receiver's
        grant has to stay withheld in the giver's. None if unknown.
        """
        record = shard.record
        grants = record.budgets[budget].grants
        wall = self._context.clock.wall()
        total = 0
        for other, row in record.closed.items():
            written = record.closed[holder].wall
            if other == holder or written > row.closed + _CLOCK_SKEW_S:
                continue
            closed_holder = self._closed_holders.get(other)
            grant = max(0, grants.get(other, 0))
            if closed_holder is not None and self._is_complete(
                closed_holder, shard
            ):
                total += max(0, closed_holder.open_tokens(budget) - grant)
            elif grant or wall - row.closed < LOST_ROUTER_RETENTION_S:
                return None
        return total

    def _is_complete(self, closed_holder: ClosedHolder, shard: Shard) -> bool:
        """Return whether all reports on spending have arrived."""
        last_heard_at = self._last_heard_at.get(
            closed_holder.holder.partition('+')[0]
        )
        closed = shard.record.closed[closed_holder.holder]
        if last_heard_at is None or not self._saw_all_routers(
            closed_holder.holder, last_heard_at
        ):
            return False
        # Unless the record says otherwise, routers on the holder's own VM had
        # no reservations with it.
        vm = (
            ''
            if closed.serves_local_routers
            else closed_holder.holder.partition('/')[0]
        )
        if any(
            lost_router.vm != vm
            and lost_router.last_heard_at
            > last_heard_at - LOST_ROUTER_RETENTION_S
            for lost_router in self._router_monitor.lost
        ):
            return False
        routers = {
            row.node
            for row in self._router_monitor.routers.values()
            if row.vm != vm
        }
        all_reported = routers <= closed_holder.reports.keys()
        own = {self._tables.holder}
        others = shard.record.holders.keys() - own
        return (
            all_reported
            and others <= closed_holder.written
            and self._fence_giver(closed_holder.holder)
        )

    def _saw_all_routers(self, holder: str, last_heard_at: float) -> bool:
        """
        Return whether this keeper has seen every router of a holder.

        A router that died before this keeper started, or while it was
        paused, may have left reservations that no report would contain.
        """
        first_heard_at = self._first_heard_at.get(
            holder.partition('+')[0], last_heard_at
        )
        since = max(
            first_heard_at + _STARTUP_S, last_heard_at - LOST_ROUTER_RETENTION_S
        )
        return self.running_since <= since

    def _is_dead(self, holder: str) -> bool:
        """Return whether a holder has missed heartbeats for too long."""
        now = self._context.clock.now()
        name = holder.partition('+')[0]
        first_listed_at = self._first_listed_at.setdefault(name, now)
        last_heard_at = self._last_heard_at.get(name, first_listed_at)
        if name == self._context.identity.holder:
            return False
        return (
            now - max(last_heard_at, self.running_since) > HOLDER_DEAD_AFTER_S
        )

    def _is_responsible(self, holder: str) -> bool:
        """Return whether this keeper is responsible for a close-out."""
        node = self._context.identity.node
        return self._membership.ranked_keepers(f'holder:{holder}')[0] == node


def _is_withheld(shard: Shard, holder: str) -> bool:
    """Return whether a record withholds tokens of a closed-out holder."""
    return holder in shard.record.closed and any(
        row.grants.get(holder, 0) > 0 for row in shard.record.budgets.values()
    )
