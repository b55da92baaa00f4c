"""What a keeper knows of the routers of its failure domain."""

import dataclasses

from fuchsiafork import messages
from fuchsiafork.kernel import Context
from fuchsiafork.membership import MembershipSystem

POLL_S = 5.0
# Two polls without an answer, and some.
SILENCE_S = 12.0
# Longer than any stream that a lost router may have had open.
LOST_KEPT_S = 600.0
_SAME_START_S = 1.0


@dataclasses.dataclass(slots=True)
class RouterRow:
    """
    A router as its answers show it, times on the local clock in seconds.

    :ivar started: its start, 0 before its first answer.
    """

    node: str
    started: float
    answered: float

    @property
    def vm(self) -> str:
        """The VM it runs on."""
        return self.node.partition('/')[0]


class RouterWatch:
    """Polls the routers and remembers those that were lost."""

    def __init__(self, context: Context, membership: MembershipSystem) -> None:
        """Start without routers."""
        self.rows: dict[str, RouterRow] = {}
        self.lost: list[RouterRow] = []
        self._context = context
        self._membership = membership
        self._next_poll = 0.0

    def tick(self, holder: str, awake_since: float) -> None:
        """Ask every router for its reservations; find the silent ones."""
        now = self._context.clock.now()
        for listed in self._listed():
            self.rows.setdefault(listed, RouterRow(listed, 0, now))
        silent = [
            row.node
            for row in self.rows.values()
            if now - max(row.answered, awake_since) > SILENCE_S
        ]
        self.lost.extend(self.rows.pop(node) for node in silent)
        self.lost = [
            gone for gone in self.lost if now - gone.answered < LOST_KEPT_S
        ]
        if now >= self._next_poll:
            self._next_poll = now + POLL_S
            # Lost messages make a router silent; it may answer again.
            for node in sorted({
                *self.rows,
                *(gone.node for gone in self.lost),
            }):
                self._context.outbox.send(
                    node,
                    messages.AskOpenReservations(holder),
                )

    def notice(self, node: str) -> None:
        """Take a router's message as a sign of life."""
        now = self._context.clock.now()
        row = self.rows.setdefault(node, RouterRow(node, 0, now))
        row.answered = now

    def note(self, report: messages.OpenReservations) -> None:
        """Take a sign of life; a later start means that one was lost."""
        now = self._context.clock.now()
        started = now - report.age_s
        known = self.rows.get(report.router)
        if known is not None and _is_later(started, known):
            self.lost.append(known)
        self.rows[report.router] = RouterRow(report.router, started, now)
        # A router that was only paused is not lost.
        self.lost = [
            row
            for row in self.lost
            if row.node != report.router or _is_later(started, row)
        ]

    def lost_owner(self, node: str, made_at: float) -> bool:
        """Return whether the router that made a reservation is lost."""
        row = self.rows.get(node)
        if row is None:
            return any(gone.node == node for gone in self.lost)
        return bool(row.started) and row.started > made_at + _SAME_START_S

    def _listed(self) -> set[str]:
        """Return the routers that the live keepers of the domain name."""
        domain = self._context.identity.domain
        live = set(self._membership.live())
        found = set(self._membership.local_routers)
        for member in self._membership.members.values():
            if member.domain == domain and member.node in live:
                found.update(member.routers)
        return found


def _is_later(started: float, row: RouterRow) -> bool:
    """Return whether a start is another one than a row's."""
    return bool(row.started) and started > row.started + _SAME_START_S
