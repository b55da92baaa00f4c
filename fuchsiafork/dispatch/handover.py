"""Queries routers for their open slots, in handovers and audits."""

import dataclasses
import itertools

from fuchsiafork import messages
from fuchsiafork.kernel import Context
from fuchsiafork.membership import MembershipSystem

# The slots of a silent router lapse after this time, so a handover need not
# wait longer for its answer.
ROUTER_LEASE_S = 5.0
# Routers of other domains are heard from only in their answers to audits.
FOREIGN_LEASE_S = 15.0
QUERY_RESEND_S = 0.5
# Audits and completed handovers accept late answers for this time.
_LATE_ANSWER_S = 10.0
_LAST_SEEN_KEPT_S = 60.0


@dataclasses.dataclass(slots=True)
class OpenSlotsQuery:
    """
    One query to several routers; times are of the local clock.

    :ivar targets: targets whose open slots are asked for.
    :ivar audit: whether the targets are served while the query is open.
    :ivar routers: routers that are asked although they may not be live.
    :ivar answered: routers whose answer has arrived.
    """

    query_id: str
    targets: tuple[str, ...]
    started: float
    resend_at: float
    audit: bool
    routers: frozenset[str] = frozenset()
    answered: set[str] = dataclasses.field(default_factory=set)


class Handover:
    """Open queries and the time at which each router was last seen."""

    def __init__(self, context: Context, membership: MembershipSystem) -> None:
        """Start without queries."""
        self._context = context
        self._membership = membership
        self._query_numbers = itertools.count(1)
        self._queries: dict[str, OpenSlotsQuery] = {}
        self._last_seen: dict[str, float] = {}

    def record_live_routers(self) -> None:
        """Record the routers of live keepers as seen now."""
        now = self._context.clock.now()
        membership = self._membership
        live = set(membership.live())
        for member in membership.members.values():
            if member.node in live:
                self._last_seen.update(dict.fromkeys(member.routers, now))
        self._last_seen.update(dict.fromkeys(membership.local_routers, now))
        for router, seen_at in list(self._last_seen.items()):
            if seen_at < now - _LAST_SEEN_KEPT_S:
                self._last_seen.pop(router)

    def has_lapsed(self, router: str, *, foreign: bool) -> bool:
        """Return whether a router was silent for longer than its lease."""
        lease = FOREIGN_LEASE_S if foreign else ROUTER_LEASE_S
        now = self._context.clock.now()
        return self._last_seen.get(router, float('-inf')) < now - lease

    def record_contact(self, router: str) -> None:
        """Record that a message of a router has arrived."""
        self._last_seen[router] = self._context.clock.now()

    def start(
        self,
        targets: tuple[str, ...],
        routers: frozenset[str],
        *,
        audit: bool,
    ) -> None:
        """Query the live routers and ``routers`` about some targets."""
        now = self._context.clock.now()
        identity = self._context.identity
        query_id = f'{identity.incarnation}.{next(self._query_numbers)}'
        query = OpenSlotsQuery(
            query_id, targets, now, now + QUERY_RESEND_S, audit, routers
        )
        self._queries[query_id] = query
        self._send(query)

    def cancel_all(self) -> None:
        """Drop all queries; late answers to them are ignored."""
        self._queries.clear()

    def record_answer(
        self, answer: messages.OpenSlots
    ) -> OpenSlotsQuery | None:
        """Record an answer and return the query that it belongs to."""
        self.record_contact(answer.router)
        query = self._queries.get(answer.ask_id)
        if query is not None:
            query.answered.add(answer.router)
        return query

    def tick(self) -> list[OpenSlotsQuery]:
        """Return the handovers that are complete; resend the open ones."""
        now = self._context.clock.now()
        completed = []
        for query in list(self._queries.values()):
            if query.audit:
                if now - query.started > _LATE_ANSWER_S:
                    self._queries.pop(query.query_id)
            elif self._is_complete(query, now):
                query.audit = True
                completed.append(query)
            elif now >= query.resend_at:
                query.resend_at = now + QUERY_RESEND_S
                self._send(query)
        return completed

    def _is_complete(self, query: OpenSlotsQuery, now: float) -> bool:
        """Return whether all routers have answered or their lease is over."""
        return (
            not self._unanswered(query) or now - query.started >= ROUTER_LEASE_S
        )

    def _unanswered(self, query: OpenSlotsQuery) -> list[str]:
        """Return the routers that have not answered a query."""
        oldest = self._context.clock.now() - ROUTER_LEASE_S
        live = {
            router
            for router, seen_at in self._last_seen.items()
            if seen_at >= oldest
        }
        return sorted((live | query.routers) - query.answered)

    def _send(self, query: OpenSlotsQuery) -> None:
        """Send a query to the routers that have not answered."""
        message = messages.AskOpenSlots(
            self._context.identity.node,
            query.targets,
            query.query_id,
        )
        for router in self._unanswered(query):
            self._context.outbox.send(router, message)
