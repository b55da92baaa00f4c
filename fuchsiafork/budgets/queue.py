"""The requests that wait for money, and what is promised to them."""

from fuchsiafork import messages
from fuchsiafork.budgets.tables import HolderTables, Reservation, Waiting
from fuchsiafork.kernel import Context
from fuchsiafork.kernel.errors import (
    BudgetExhaustedError,
    BudgetUnreachableError,
)
from fuchsiafork.membership import MembershipSystem

VALID_S = 5.0
WAIT_S = 1.0
# A request that is due for refusal at the next tick is still served by what
# is settled before that tick.
LATE_S = 0.1
QUEUE_BOUND = 256


class ReserveQueue:
    """Reserves for waiting requests, or refuses them in time."""

    def __init__(
        self,
        context: Context,
        tables: HolderTables,
        membership: MembershipSystem,
    ) -> None:
        """Start empty."""
        self._context = context
        self._tables = tables
        self._membership = membership

    def reset(self, tables: HolderTables) -> None:
        """Go on under a new holder id."""
        self._tables = tables

    def add(self, message: messages.Reserve, sender: str) -> None:
        """Let a request wait, unless the queue is full."""
        if len(self._tables.waiting) >= QUEUE_BOUND:
            self._refuse(message, sender, unsure=False)
            return
        now = self._context.clock.now()
        state = self._tables.budget(message.budget, now)
        state.forecast.add(now, message.tokens)
        self._tables.waiting[message.request_id] = Waiting(
            message,
            sender,
            now + min(WAIT_S, message.deadline_s),
        )

    def serve(self) -> None:
        """Reserve for the waiting requests that fit, oldest first."""
        tables = self._tables
        now = self._context.clock.now()
        for name, row in list(tables.waiting.items()):
            message = row.message
            fits = message.tokens <= tables.available(message.budget, now)
            late = now >= row.until + LATE_S
            if late or not fits or not self._may_serve(row):
                continue
            tables.waiting.pop(name)
            held = Reservation(
                name,
                message.budget,
                message.account,
                row.router,
                message.tokens,
                now,
                key=message.key,
            )
            tables.reservations[name] = held
            tables.budget(message.budget, now).reserved += held.tokens
            self.confirm(held)

    def refuse_late(self, *, suspended: bool) -> None:
        """Refuse what has waited too long; ask the ledger for the rest."""
        now = self._context.clock.now()
        for name, row in list(self._tables.waiting.items()):
            shard = self._tables.shard_of(row.message.budget)
            if now < row.until:
                shard.urgent = True
                continue
            self._tables.waiting.pop(name)
            unsure = suspended or shard.failing
            self._refuse(row.message, row.router, unsure=unsure)

    def confirm(self, held: Reservation) -> None:
        """Tell the router that its reservation stands."""
        self._context.outbox.send(
            held.router,
            messages.Reserved(
                held.request_id,
                held.budget,
                self._tables.holder,
                held.tokens,
                VALID_S,
            ),
        )

    def is_lone(self) -> bool:
        """Return whether routers of this VM depend on this holder."""
        routers = [row.router for row in self._tables.reservations.values()]
        routers.extend(row.router for row in self._tables.waiting.values())
        routers.extend(row.router for row in self._tables.pending.values())
        return len(self._membership.live()) < 2 or any(
            self._is_own(router) for router in routers
        )

    def _is_own(self, router: str) -> bool:
        """Return whether a router runs on this VM."""
        return router.partition('/')[0] == self._context.identity.vm

    def _may_serve(self, row: Waiting) -> bool:
        """
        Return whether the record of a reservation would be safe.

        A router of this VM dies with this keeper, so the ledger must say
        beforehand that nobody else may know of its reservations.
        """
        if not self._is_own(row.router):
            return True
        shard = self._tables.shard_of(row.message.budget)
        known = shard.record.holders.get(self._tables.holder)
        marks = [attempt.write.lone for attempt in shard.attempts.values()]
        return known is not None and known.lone and all(marks)

    def _refuse(
        self,
        message: messages.Reserve,
        router: str,
        *,
        unsure: bool,
    ) -> None:
        """Tell a router that there is no money, or none in reach."""
        kind = BudgetUnreachableError if unsure else BudgetExhaustedError
        self._context.outbox.send(
            router,
            messages.ReserveRefused(
                message.request_id,
                message.budget,
                kind.code,
                WAIT_S if unsure else 0,
            ),
        )
