"""Liveness of the routers of a keeper's failure domain."""

import dataclasses

from fuchsiafork import messages
from fuchsiafork.kernel import Context
from fuchsiafork.membership import MembershipSystem

POLL_INTERVAL_S = 5.0
# Two polls without an answer, plus a margin.
ROUTER_LOST_AFTER_S = 12.0
# Longer than any stream that a lost router may have left open.
LOST_ROUTER_RETENTION_S = 600.0
_SAME_START_TOLERANCE_S = 1.0


@dataclasses.dataclass(slots=True)
class RouterState:
    """
    Last known state of a router; times are on the local clock in seconds.

    :ivar started_at: start of its process, 0 before its first report.
    :ivar last_heard_at: time of its last message, or when it became known.
    """

    node: str
    started_at: float
    last_heard_at: float

    @property
    def vm(self) -> str:
        """VM on which the router runs."""
        return self.node.partition('/')[0]


class RouterMonitor:
    """Polls routers and keeps track of lost ones."""

    def __init__(self, context: Context, membership: MembershipSystem) -> None:
        """Start without routers."""
        self.routers: dict[str, RouterState] = {}
        self.lost: list[RouterState] = []
        self._context = context
        self._membership = membership
        self._next_poll_at = 0.0

    def tick(self, holder: str, running_since: float) -> None:
        """Poll every router for its reservations; detect lost routers."""
        now = self._context.clock.now()
        for router in self._advertised_routers():
            self.routers.setdefault(router, RouterState(router, 0, now))
        silent = [
            row.node
            for row in self.routers.values()
            if now - max(row.last_heard_at, running_since) > ROUTER_LOST_AFTER_S
        ]
        self.lost.extend(self.routers.pop(node) for node in silent)
        self.lost = [
            lost_router
            for lost_router in self.lost
            if now - lost_router.last_heard_at < LOST_ROUTER_RETENTION_S
        ]
        if now >= self._next_poll_at:
            self._next_poll_at = now + POLL_INTERVAL_S
            # Lost routers are polled too: only messages may have been lost.
            for node in sorted({
                *self.routers,
                *(lost_router.node for lost_router in self.lost),
            }):
                self._context.outbox.send(
                    node,
                    messages.AskOpenReservations(holder),
                )

    def record_activity(self, node: str) -> None:
        """Record a message of a router as activity."""
        now = self._context.clock.now()
        row = self.routers.setdefault(node, RouterState(node, 0, now))
        row.last_heard_at = now

    def record_report(self, report: messages.OpenReservations) -> None:
        """Record a report; a newer start means that the old process is lost."""
        now = self._context.clock.now()
        started_at = now - report.age_s
        known = self.routers.get(report.router)
        if known is not None and _is_later_start(started_at, known):
            self.lost.append(known)
        self.routers[report.router] = RouterState(
            report.router, started_at, now
        )
        # A router that answers with the same start was only paused.
        self.lost = [
            row
            for row in self.lost
            if row.node != report.router or _is_later_start(started_at, row)
        ]

    def is_router_lost(self, node: str, created_at: float) -> bool:
        """Return whether the router process of a reservation is lost."""
        row = self.routers.get(node)
        if row is None:
            return any(lost_router.node == node for lost_router in self.lost)
        return (
            bool(row.started_at)
            and row.started_at > created_at + _SAME_START_TOLERANCE_S
        )

    def _advertised_routers(self) -> set[str]:
        """Return the routers that live keepers of the domain list."""
        domain = self._context.identity.domain
        live = set(self._membership.live())
        routers = set(self._membership.local_routers)
        for member in self._membership.members.values():
            if member.domain == domain and member.node in live:
                routers.update(member.routers)
        return routers


def _is_later_start(started_at: float, row: RouterState) -> bool:
    """Return whether a start time belongs to a newer process."""
    return (
        bool(row.started_at)
        and started_at > row.started_at + _SAME_START_TOLERANCE_S
    )
