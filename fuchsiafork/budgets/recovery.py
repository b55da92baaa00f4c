"""Recovery of reservations whose router lost them or died."""

from collections.abc import Callable

from fuchsiafork import messages
from fuchsiafork.budgets.ledger_writes import Settlement
from fuchsiafork.budgets.router_monitor import RouterMonitor
from fuchsiafork.budgets.tables import HolderTables
from fuchsiafork.kernel import Context

# A router that does not list a reservation after this time never uses it.
UNKNOWN_GRACE_S = 15.0
_TARGET_QUERY_INTERVAL_S = 2.0

TargetQuery = Callable[[str, str, str], None]


class OrphanRecovery:
    """Settles the reservations that no router will settle."""

    def __init__(
        self,
        context: Context,
        tables: HolderTables,
        router_monitor: RouterMonitor,
    ) -> None:
        """Start without a callback for target queries."""
        self.query_target: TargetQuery = lambda request_id, budget, target: None
        self._context = context
        self._tables = tables
        self._router_monitor = router_monitor

    def reset(self, tables: HolderTables) -> None:
        """Switch to the tables of a new holder id."""
        self._tables = tables

    def drop_unknown(self, report: messages.OpenReservations) -> None:
        """Release old reservations that their router does not list."""
        now = self._context.clock.now()
        known = {row.request_id for row in report.rows}
        for reservation in list(self._tables.reservations.values()):
            old = now - reservation.created_at > UNKNOWN_GRACE_S
            if (
                reservation.router != report.router
                or reservation.request_id in known
            ):
                continue
            if old and not self._router_monitor.is_router_lost(
                reservation.router,
                reservation.created_at,
            ):
                self._tables.settle(
                    Settlement(
                        reservation.request_id,
                        reservation.budget,
                        self._tables.holder,
                        0,
                        '',
                        reservation.router,
                    ),
                    now,
                )

    def query_targets(self) -> None:
        """Request the target records of requests whose router was lost."""
        now = self._context.clock.now()
        for reservation in self._tables.reservations.values():
            due = now - reservation.target_queried_at > _TARGET_QUERY_INTERVAL_S
            # A younger request may still reach a target that has no record.
            old = now - reservation.created_at > UNKNOWN_GRACE_S
            if (
                due
                and old
                and self._router_monitor.is_router_lost(
                    reservation.router, reservation.created_at
                )
            ):
                reservation.target_queried_at = now
                self.query_target(
                    reservation.request_id,
                    reservation.budget,
                    reservation.target,
                )

    def settle_from_record(self, message: messages.TargetRecord) -> None:
        """Settle a finished request from its target's record."""
        reservation = self._tables.reservations.get(message.request_id)
        if reservation is None or not message.finished:
            return
        settlement = Settlement(
            reservation.request_id,
            reservation.budget,
            self._tables.holder,
            min(message.tokens, reservation.tokens),
            # A request that used no tokens does not claim its key, so that
            # the retry that ran is billed.
            (reservation.key if message.tokens else '')
            or reservation.request_id,
            reservation.router,
        )
        self._tables.settle(settlement, self._context.clock.now())
