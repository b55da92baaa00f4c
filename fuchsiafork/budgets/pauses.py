"""Detects pauses of the own process and decides when to spend again."""

from fuchsiafork import messages
from fuchsiafork.budgets.closing import CloseOut
from fuchsiafork.budgets.sync import LedgerSync
from fuchsiafork.budgets.tables import HolderTables
from fuchsiafork.kernel import Context
from fuchsiafork.membership import MembershipSystem

PAUSE_LIMIT_S = 2.0
_ASK_CLOSED_S = 0.5


class PauseGuard:
    """Suspends a holder after a pause until it is known not closed out."""

    def __init__(
        self,
        context: Context,
        tables: HolderTables,
        membership: MembershipSystem,
        sync: LedgerSync,
        closing: CloseOut,
    ) -> None:
        """Start running."""
        self._context = context
        self._tables = tables
        self._membership = membership
        self._sync = sync
        self._closing = closing
        self._last_tick = context.clock.now()
        self._question = 0
        self._answers: dict[str, bool] = {}
        self._next_question = 0.0

    def reset(self, tables: HolderTables) -> None:
        """Go on under a new holder id."""
        self._tables = tables

    def notice(self) -> None:
        """Stop spending when this process stood still for too long."""
        now = self._context.clock.now()
        gap = now - self._last_tick
        if gap <= PAUSE_LIMIT_S:
            return
        self._context.events.record('holder_paused', gap=gap)
        self._last_tick = now
        self._closing.awake_since = now
        self._sync.suspended = True
        self._sync.verify()
        self._question += 1
        self._answers = {}
        self._next_question = now

    def tick(self) -> None:
        """Note that the process runs; go on when that is allowed."""
        now = self._context.clock.now()
        self._last_tick = now
        if self._sync.suspended:
            self._try_resume(now)

    def take_answer(self, message: messages.ClosedOutKnown) -> None:
        """Take a keeper's answer to the last question."""
        if message.number == self._question:
            self._answers[message.keeper] = message.closed

    def _try_resume(self, now: float) -> None:
        """Go on when the ledger, or the whole domain, allows it."""
        peers = set(self._membership.live()) - {self._context.identity.node}
        asked = bool(peers) and peers <= self._answers.keys()
        if self._sync.verified or (asked and not any(self._answers.values())):
            self._sync.suspended = False
            self._context.events.record('holder_resumed')
            return
        if now >= self._next_question:
            self._next_question = now + _ASK_CLOSED_S
            question = messages.AskClosedOut(
                self._tables.holder,
                self._question,
            )
            for peer in peers:
                self._context.outbox.send(peer, question)
