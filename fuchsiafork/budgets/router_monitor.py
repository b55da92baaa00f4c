"""What a keeper knows of the routers of its failure domain."""

import dataclasses

from fuchsiafork import messages
from fuchsiafork.kernel import Context
from fuchsiafork.membership import MembershipSystem

POLL_INTERVAL_S = 5.0
# Two polls without an answer, and some.
ROUTER_LOST_AFTER_S = 12.0
# Longer than any stream that a lost router may have had open.
LOST_ROUTER_RETENTION_S = 600.0
_SAME_START_TOLERANCE_S = 1.0


@dataclasses.dataclass(slots=True)
class RouterState:
    """
    A router as its answers show it, times on the local clock in seconds.

    :ivar started: its start, 0 before its first answer.
    """

    node: str
    started_at: float
    answered_at: float

    @property
    def vm(self) -> str:
        """The VM it runs on."""
        return self.node.partition('/')[0]


class RouterMonitor:
    """Polls the routers and remembers those that were lost."""

    def __init__(self, context: Context, membership: MembershipSystem) -> None:
        """Start without routers."""
        self.routers: dict[str, RouterState] = {}
        self.lost: list[RouterState] = []
        self._context = context
        self._membership = membership
        self._next_poll = 0.0

    def tick(self, holder: str, running_since: float) -> None:
        """Ask every router for its reservations; find the silent ones."""
        now = self._context.clock.now()
        for router in self._advertised_routers():
            self.routers.setdefault(router, RouterState(router, 0, now))
        silent = [
            row.node
            for row in self.routers.values()
            if now - max(row.answered_at, running_since) > ROUTER_LOST_AFTER_S
        ]
        self.lost.extend(self.routers.pop(node) for node in silent)
        self.lost = [
            lost_router
            for lost_router in self.lost
            if now - lost_router.answered_at < LOST_ROUTER_RETENTION_S
        ]
        if now >= self._next_poll:
            self._next_poll = now + POLL_INTERVAL_S
            # Lost messages make a router silent; it may answer again.
            for node in sorted({
                *self.routers,
                *(lost_router.node for lost_router in self.lost),
            }):
                self._context.outbox.send(
                    node,
                    messages.AskOpenReservations(holder),
                )

    def record_activity(self, node: str) -> None:
        """Take a router's message as a sign of life."""
        now = self._context.clock.now()
        row = self.routers.setdefault(node, RouterState(node, 0, now))
        row.answered_at = now

    def record_report(self, report: messages.OpenReservations) -> None:
        """Take a sign of life; a later start means that one was lost."""
        now = self._context.clock.now()
        started_at = now - report.age_s
        known = self.routers.get(report.router)
        if known is not None and _is_later_start(started_at, known):
            self.lost.append(known)
        self.routers[report.router] = RouterState(
            report.router, started_at, now
        )
        # A router that was only paused is not lost.
        self.lost = [
            row
            for row in self.lost
            if row.node != report.router or _is_later_start(started_at, row)
        ]

    def is_owner_lost(self, node: str, created_at: float) -> bool:
        """Return whether the router that made a reservation is lost."""
        row = self.routers.get(node)
        if row is None:
            return any(lost_router.node == node for lost_router in self.lost)
        return (
            bool(row.started_at)
            and row.started_at > created_at + _SAME_START_TOLERANCE_S
        )

    def _advertised_routers(self) -> set[str]:
        """Return the routers that the live keepers of the domain name."""
        domain = self._context.identity.domain
        live = set(self._membership.live())
        routers = set(self._membership.local_routers)
        for member in self._membership.members.values():
            if member.domain == domain and member.node in live:
                routers.update(member.routers)
        return routers


def _is_later_start(started_at: float, row: RouterState) -> bool:
    """Return whether a start is another one than a row's."""
    return (
        bool(row.started_at)
        and started_at > row.started_at + _SAME_START_TOLERANCE_S
    )
