"""Detection of pauses of this process, and resumption after them."""

from fuchsiafork import messages
from fuchsiafork.budgets.close_out import CloseOutManager
from fuchsiafork.budgets.ledger_sync import LedgerSync
from fuchsiafork.budgets.tables import HolderTables
from fuchsiafork.kernel import Context
from fuchsiafork.membership import MembershipSystem

MAX_TICK_GAP_S = 2.0
_QUESTION_INTERVAL_S = 0.5


class PauseGuard:
    """
    Suspends a holder after a pause until it is known not closed out.

    A process that was paused may have been declared dead, and its grant may
    have been returned to the budget.
    """

    def __init__(
        self,
        context: Context,
        tables: HolderTables,
        membership: MembershipSystem,
        ledger_sync: LedgerSync,
        close_out: CloseOutManager,
    ) -> None:
        """Start without a pause."""
        self._context = context
        self._tables = tables
        self._membership = membership
        self._ledger_sync = ledger_sync
        self._close_out = close_out
        self._last_tick_at = context.clock.now()
        self._question_number = 0
        self._answers: dict[str, bool] = {}
        self._next_question_at = 0.0

    def reset(self, tables: HolderTables) -> None:
        """Switch to the tables of a new holder id."""
        self._tables = tables

    def check(self) -> None:
        """Suspend reservations if the last tick is too long ago."""
        now = self._context.clock.now()
        gap = now - self._last_tick_at
        if gap <= MAX_TICK_GAP_S:
            return
        self._context.events.record('holder_paused', gap=gap)
        self._last_tick_at = now
        self._close_out.running_since = now
        self._ledger_sync.suspended = True
        self._ledger_sync.require_reread()
        self._question_number += 1
        self._answers = {}
        self._next_question_at = now

    def tick(self) -> None:
        """Record the time of this tick; resume if that is safe."""
        now = self._context.clock.now()
        self._last_tick_at = now
        if self._ledger_sync.suspended:
            self._try_resume(now)

    def record_answer(self, message: messages.ClosedOutKnown) -> None:
        """Record a keeper's answer to the latest question."""
        if message.number == self._question_number:
            self._answers[message.keeper] = message.closed

    def _try_resume(self, now: float) -> None:
        """Resume once the ledger or all live keepers of the domain confirm."""
        peers = set(self._membership.live()) - {self._context.identity.node}
        peers_answered = bool(peers) and peers <= self._answers.keys()
        if self._ledger_sync.all_reread or (
            peers_answered and not any(self._answers.values())
        ):
            self._ledger_sync.suspended = False
            self._context.events.record('holder_resumed')
            return
        if now >= self._next_question_at:
            self._next_question_at = now + _QUESTION_INTERVAL_S
            question = messages.AskClosedOut(
                self._tables.holder,
                self._question_number,
            )
            for peer in peers:
                self._context.outbox.send(peer, question)
