"""Asks routers for their open slots: at a hand-over and as an audit."""

import dataclasses
import itertools

from fuchsiafork import messages
from fuchsiafork.kernel import Context
from fuchsiafork.membership import MembershipSystem

# A silent router's slots lapse after this time; a hand-over waits as long.
ROUTER_LEASE_S = 5.0
# Routers of other domains are seen only through audits.
FOREIGN_LEASE_S = 15.0
ASK_AGAIN_S = 0.5
# An ask is kept this long for answers that come late.
_ASK_KEPT_S = 10.0
_SEEN_KEPT_S = 60.0


@dataclasses.dataclass(slots=True)
class Ask:
    """
    One round of questions; times are of the local clock.

    :ivar audit: the targets are being served already.
    """

    ask_id: str
    targets: tuple[str, ...]
    started: float
    again_at: float
    audit: bool
    routers: frozenset[str] = frozenset()
    answered: set[str] = dataclasses.field(default_factory=set)


class Handover:
    """Open rounds of questions and the routers last seen."""

    def __init__(self, context: Context, membership: MembershipSystem) -> None:
        """Start without questions."""
        self._context = context
        self._membership = membership
        self._numbers = itertools.count(1)
        self._asks: dict[str, Ask] = {}
        self._seen: dict[str, float] = {}

    def observe(self) -> None:
        """Take note of the routers that live keepers serve."""
        now = self._context.clock.now()
        membership = self._membership
        live = set(membership.live())
        for member in membership.members.values():
            if member.node in live:
                self._seen.update(dict.fromkeys(member.routers, now))
        self._seen.update(dict.fromkeys(membership.local_routers, now))
        for router, moment in list(self._seen.items()):
            if moment < now - _SEEN_KEPT_S:
                self._seen.pop(router)

    def has_lapsed(self, router: str, *, foreign: bool) -> bool:
        """Return whether a router was silent for longer than its lease."""
        lease = FOREIGN_LEASE_S if foreign else ROUTER_LEASE_S
        now = self._context.clock.now()
        return self._seen.get(router, float('-inf')) < now - lease

    def see(self, router: str) -> None:
        """Take note of a sign of life."""
        self._seen[router] = self._context.clock.now()

    def start(
        self,
        targets: tuple[str, ...],
        routers: frozenset[str],
        *,
        audit: bool,
    ) -> None:
        """Ask all live routers, and those named, about some targets."""
        now = self._context.clock.now()
        identity = self._context.identity
        ask_id = f'{identity.incarnation}.{next(self._numbers)}'
        ask = Ask(ask_id, targets, now, now + ASK_AGAIN_S, audit, routers)
        self._asks[ask_id] = ask
        self._send(ask)

    def forget(self) -> None:
        """Drop all questions; answers to them mean nothing any more."""
        self._asks.clear()

    def find(self, answer: messages.OpenSlots) -> Ask | None:
        """Return the round that an answer belongs to, after noting it."""
        self.see(answer.router)
        ask = self._asks.get(answer.ask_id)
        if ask is not None:
            ask.answered.add(answer.router)
        return ask

    def tick(self) -> list[Ask]:
        """Return the hand-overs that are complete; repeat open questions."""
        now = self._context.clock.now()
        complete = []
        for ask in list(self._asks.values()):
            if ask.audit:
                if now - ask.started > _ASK_KEPT_S:
                    self._asks.pop(ask.ask_id)
            elif self._is_complete(ask, now):
                ask.audit = True
                complete.append(ask)
            elif now >= ask.again_at:
                ask.again_at = now + ASK_AGAIN_S
                self._send(ask)
        return complete

    def _is_complete(self, ask: Ask, now: float) -> bool:
        """Return whether all live routers answered or time is up."""
        return not self._pending(ask) or now - ask.started >= ROUTER_LEASE_S

    def _pending(self, ask: Ask) -> list[str]:
        """Return the live routers that have not answered."""
        horizon = self._context.clock.now() - ROUTER_LEASE_S
        live = {
            router for router, seen in self._seen.items() if seen >= horizon
        }
        return sorted((live | ask.routers) - ask.answered)

    def _send(self, ask: Ask) -> None:
        """Send the question to the routers that have not answered."""
        question = messages.AskOpenSlots(
            self._context.identity.node,
            ask.targets,
            ask.ask_id,
        )
        for router in self._pending(ask):
            self._context.outbox.send(router, question)
