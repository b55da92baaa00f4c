"""Detects pauses of the own process and decides when to spend again."""

from fuchsiafork import messages
from fuchsiafork.budgets.close_out import CloseOutManager
from fuchsiafork.budgets.ledger_sync import LedgerSync
from fuchsiafork.budgets.tables import HolderTables
from fuchsiafork.kernel import Context
from fuchsiafork.membership import MembershipSystem

MAX_TICK_GAP_S = 2.0
_QUESTION_INTERVAL_S = 0.5


class PauseGuard:
    """Suspends a holder after a pause until it is known not closed out."""

    def __init__(
        self,
        context: Context,
        tables: HolderTables,
        membership: MembershipSystem,
        ledger_sync: LedgerSync,
        close_out: CloseOutManager,
    ) -> None:
        """Start running."""
        self._context = context
        self._tables = tables
        self._membership = membership
        self._sync = ledger_sync
        self._close_out = close_out
        self._last_tick_at = context.clock.now()
        self._question_number = 0
        self._answers: dict[str, bool] = {}
        self._next_question_at = 0.0

    def reset(self, tables: HolderTables) -> None:
        """Go on under a new holder id."""
        self._tables = tables

    def check(self) -> None:
        """Stop spending when this process stood still for too long."""
        now = self._context.clock.now()
        gap = now - self._last_tick_at
        if gap <= MAX_TICK_GAP_S:
            return
        self._context.events.record('holder_paused', gap=gap)
        self._last_tick_at = now
        self._close_out.running_since = now
        self._sync.suspended = True
        self._sync.require_reread()
        self._question_number += 1
        self._answers = {}
        self._next_question_at = now

    def tick(self) -> None:
        """Note that the process runs; go on when that is allowed."""
        now = self._context.clock.now()
        self._last_tick_at = now
        if self._sync.suspended:
            self._try_resume(now)

    def record_answer(self, message: messages.ClosedOutKnown) -> None:
        """Take a keeper's answer to the last question."""
        if message.number == self._question_number:
            self._answers[message.keeper] = message.closed

    def _try_resume(self, now: float) -> None:
        """Go on when the ledger, or the whole domain, allows it."""
        peers = set(self._membership.live()) - {self._context.identity.node}
        peers_answered = bool(peers) and peers <= self._answers.keys()
        if self._sync.all_reread or (
            peers_answered and not any(self._answers.values())
        ):
            self._sync.suspended = False
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
