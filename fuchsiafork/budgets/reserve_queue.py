"""Queue of requests that wait for a reservation."""

from fuchsiafork import messages
from fuchsiafork.budgets.tables import (
    HolderTables,
    QueuedRequest,
    Reservation,
    Shard,
)
from fuchsiafork.kernel import Context
from fuchsiafork.kernel.errors import (
    BudgetExhaustedError,
    BudgetUnreachableError,
)
from fuchsiafork.membership import MembershipSystem

RESERVATION_VALID_S = 5.0
USUAL_WAIT_S = 1.0
# A slow store needs more than the usual wait to grant tokens that are free.
MAX_LEDGER_WAIT_S = 4.0
MAX_QUEUE_LENGTH = 256


class ReserveQueue:
    """Reserves tokens for queued requests or refuses them in time."""

    def __init__(
        self,
        context: Context,
        tables: HolderTables,
        membership: MembershipSystem,
    ) -> None:
        """Start with an empty queue."""
        self._context = context
        self._tables = tables
        self._membership = membership

    def reset(self, tables: HolderTables) -> None:
        """Switch to the tables of a new holder id."""
        self._tables = tables

    def add(self, message: messages.Reserve, sender: str) -> None:
        """Queue a request, or refuse it if the queue is full."""
        if len(self._tables.waiting) >= MAX_QUEUE_LENGTH:
            self._refuse(message, sender, unreachable=False)
            return
        now = self._context.clock.now()
        state = self._tables.budget(message.budget, now)
        state.forecast.add(now, message.tokens)
        self._tables.waiting[message.request_id] = QueuedRequest(
            message,
            sender,
            now + min(USUAL_WAIT_S, message.deadline_s),
            now,
            now + min(MAX_LEDGER_WAIT_S, message.deadline_s),
        )

    def serve(self) -> None:
        """Reserve for the queued requests that can be covered, oldest first."""
        tables = self._tables
        now = self._context.clock.now()
        for name, row in list(tables.waiting.items()):
            message = row.message
            is_covered = message.tokens <= tables.available(message.budget, now)
            if (
                not is_covered
                or not self._is_safe_to_reserve(row)
                or now >= row.final_deadline
            ):
                continue
            tables.waiting.pop(name)
            reservation = Reservation(
                name,
                message.budget,
                message.account,
                row.router,
                message.tokens,
                now,
                key=message.key,
            )
            tables.reservations[name] = reservation
            tables.budget(message.budget, now).reserved += reservation.tokens
            self.send_reserved(reservation)

    def refuse_overdue(self, *, suspended: bool) -> None:
        """Refuse overdue requests; request a ledger write for the others."""
        now = self._context.clock.now()
        for name, row in list(self._tables.waiting.items()):
            shard = self._tables.shard_of(row.message.budget)
            if now < row.usual_deadline or self._ledger_may_cover(
                row, shard, now
            ):
                shard.write_requested = True
                continue
            self._tables.waiting.pop(name)
            not_read_since = shard.synced_at < row.arrived_at
            unreachable = suspended or shard.store_failing or not_read_since
            self._refuse(row.message, row.router, unreachable=unreachable)

    def _ledger_may_cover(
        self, row: QueuedRequest, shard: Shard, now: float
    ) -> bool:
        """Return whether the ledger may still cover a request."""
        if shard.store_failing or now >= row.final_deadline:
            return False
        if shard.synced_at < row.arrived_at:
            return True
        budget = shard.record.budgets.get(row.message.budget)
        available = self._tables.available(row.message.budget, now)
        shortage = row.message.tokens - available
        return budget is not None and 0 < shortage <= budget.free

    def send_reserved(self, reservation: Reservation) -> None:
        """Confirm a reservation to its router."""
        self._context.outbox.send(
            reservation.router,
            messages.Reserved(
                reservation.request_id,
                reservation.budget,
                self._tables.holder,
                reservation.tokens,
                RESERVATION_VALID_S,
            ),
        )

    def serves_local_routers(self) -> bool:
        """Return whether routers of this VM may depend on this holder."""
        routers = [row.router for row in self._tables.reservations.values()]
        routers.extend(row.router for row in self._tables.waiting.values())
        routers.extend(
            row.router for row in self._tables.pending_settlements.values()
        )
        return len(self._membership.live()) < 2 or any(
            self._is_local(router) for router in routers
        )

    def _is_local(self, router: str) -> bool:
        """Return whether a router runs on this VM."""
        return router.partition('/')[0] == self._context.identity.vm

    def _is_safe_to_reserve(self, row: QueuedRequest) -> bool:
        """
        Return whether a reservation stays accounted for if this VM is lost.

        A router of this VM dies together with this keeper, so nobody else
        would know of its reservations. The ledger has to say that this
        holder serves local routers before it reserves for one.
        """
        if not self._is_local(row.router):
            return True
        shard = self._tables.shard_of(row.message.budget)
        known = shard.record.holders.get(self._tables.holder)
        unconfirmed_flags = [
            unconfirmed.write.serves_local_routers
            for unconfirmed in shard.unconfirmed_writes.values()
        ]
        return (
            known is not None
            and known.serves_local_routers
            and all(unconfirmed_flags)
        )

    def _refuse(
        self,
        message: messages.Reserve,
        router: str,
        *,
        unreachable: bool,
    ) -> None:
        """Refuse a request: budget exhausted, or tokens unreachable."""
        kind = BudgetUnreachableError if unreachable else BudgetExhaustedError
        self._context.outbox.send(
            router,
            messages.ReserveRefused(
                message.request_id,
                message.budget,
                kind.code,
                USUAL_WAIT_S if unreachable else 0,
            ),
        )
