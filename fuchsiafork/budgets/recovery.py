"""Reservations whose router lost them or was lost itself."""

from collections.abc import Callable

from fuchsiafork import messages
from fuchsiafork.budgets.routers import RouterWatch
from fuchsiafork.budgets.tables import HolderTables
from fuchsiafork.budgets.writes import Settlement
from fuchsiafork.kernel import Context

# A router that still lacks a reservation after this never uses it.
UNKNOWN_AFTER_S = 15.0
_ASK_TARGET_S = 2.0

AskTarget = Callable[[str, str, str], None]


class Recovery:
    """Ends the reservations that no router will settle."""

    def __init__(
        self,
        context: Context,
        tables: HolderTables,
        routers: RouterWatch,
    ) -> None:
        """Start without a way to ask targets."""
        self.ask_target: AskTarget = lambda request_id, budget, target: None
        self._context = context
        self._tables = tables
        self._routers = routers

    def reset(self, tables: HolderTables) -> None:
        """Go on under a new holder id."""
        self._tables = tables

    def reconcile(self, report: messages.OpenReservations) -> None:
        """Release old reservations that their router does not know."""
        now = self._context.clock.now()
        known = {row.request_id for row in report.rows}
        for held in list(self._tables.reservations.values()):
            old = now - held.made_at > UNKNOWN_AFTER_S
            if held.router != report.router or held.request_id in known:
                continue
            if old and not self._routers.lost_owner(
                held.router,
                held.made_at,
            ):
                self._tables.settle(
                    Settlement(
                        held.request_id,
                        held.budget,
                        self._tables.holder,
                        0,
                        '',
                        held.router,
                    ),
                    now,
                )

    def ask_targets(self) -> None:
        """Ask for the records of requests whose router was lost."""
        now = self._context.clock.now()
        for held in self._tables.reservations.values():
            due = now - held.asked_target_at > _ASK_TARGET_S
            # A target without a record of a younger one may still get it.
            old = now - held.made_at > UNKNOWN_AFTER_S
            if (
                due
                and old
                and self._routers.lost_owner(held.router, held.made_at)
            ):
                held.asked_target_at = now
                self.ask_target(held.request_id, held.budget, held.target)

    def take_record(self, message: messages.TargetRecord) -> None:
        """Settle what a target's record says of a finished request."""
        held = self._tables.reservations.get(message.request_id)
        if held is None or not message.finished:
            return
        settlement = Settlement(
            held.request_id,
            held.budget,
            self._tables.holder,
            min(message.tokens, held.tokens),
            # A request that used nothing leaves the key's one bill to
            # the retry that ran.
            (held.key if message.tokens else '') or held.request_id,
            held.router,
        )
        self._tables.settle(settlement, self._context.clock.now())
