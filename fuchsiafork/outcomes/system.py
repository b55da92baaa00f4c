"""Decides for each key whether its request may run."""

import functools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.kernel import Context, System
from fuchsiafork.kernel.errors import (
    AlreadyRunError,
    KeeperUnavailableError,
    KeyClearingError,
    KeyInProgressError,
    KeyMismatchError,
)
from fuchsiafork.kernel.outbox import (
    KeyRead,
    KeysListed,
    StoreFailed,
    SwapDone,
)
from fuchsiafork.membership import MembershipSystem
from fuchsiafork.outcomes.bindings import (
    ENDED_GRACE_S,
    Binding,
    BindingTable,
    State,
)
from fuchsiafork.outcomes.claiming import Claiming
from fuchsiafork.outcomes.claims import ClaimSweeper
from fuchsiafork.outcomes.reports import Reports
from fuchsiafork.outcomes.routers import RouterView
from fuchsiafork.router.request_ids import is_router_restart

RETRY_AFTER_S = 1.0
_UPKEEP_S = 0.5
_SWEEP_KEY = 'claims-sweep'


class OutcomeSystem(System):
    """Binds keys, claims non-idempotent calls and replays answers."""

    accepts = (messages.BindKey, messages.RecordOutcome)

    def __init__(
        self,
        context: Context,
        membership: MembershipSystem,
        table: BindingTable | None = None,
    ) -> None:
        """Start without bindings."""
        super().__init__(context)
        self.table = table or BindingTable()
        self.claiming = Claiming(context, self.table)
        self.reports = Reports(context, self.table, self.claiming)
        self.sweeper = ClaimSweeper(context)
        self.routers = RouterView(membership, context.clock)
        self._membership = membership
        self._next_upkeep = 0.0

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Take a message or a store answer."""

    @handle.register
    def _(self, message: messages.BindKey, sender: str) -> None:
        self._end_if_over(message)
        row = self.table.rows.get(message.key)
        if row is None:
            self._add(message, sender)
        elif message.request_id in row.ended:
            # A late copy from a request that is over; nobody waits for it.
            return
        elif row.fingerprint not in {'', message.fingerprint}:
            self._refuse(message, sender, KeyMismatchError.code)
        else:
            self._answer(row, message, sender)

    @handle.register
    def _(self, message: messages.RecordOutcome, sender: str) -> None:
        self.reports.take(message, sender)

    @handle.register(KeyRead)
    @handle.register(SwapDone)
    @handle.register(StoreFailed)
    def _(self, message: Any, sender: str) -> None:
        self.claiming.take(message)

    @handle.register
    def _(self, message: KeysListed, sender: str) -> None:
        self.sweeper.take(message.rows)

    def tick(self) -> None:
        """Drop old rows, end requests that are over, sweep claims."""
        now = self._context.clock.now()
        if now < self._next_upkeep:
            return
        self._next_upkeep = now + _UPKEEP_S
        self.routers.update()
        self.table.expire(now)
        for row in self.table.open_rows():
            if row.state is State.CLEARING:
                self.claiming.retry_clear(row)
            elif self._is_over(row):
                self._abandon(row)
        self.sweeper.tick(first_ranked=self._is_first_ranked())

    def _add(self, message: messages.BindKey, sender: str) -> None:
        """Bind a key that is new here."""
        if not self.table.has_room():
            self._refuse(message, sender, KeeperUnavailableError.code)
            return
        row = Binding(
            key=message.key,
            fingerprint=message.fingerprint,
            idempotent=message.idempotent,
            request_id=message.request_id,
            router=sender,
            state=State.FREE,
            until=0,
        )
        self.table.add(row)
        self._begin(row, message, sender)

    def _begin(
        self,
        row: Binding,
        message: messages.BindKey,
        sender: str,
    ) -> None:
        """Bind a row to a request, after a claim if it needs one."""
        self.table.reopen(row)
        row.request_id = message.request_id
        row.fingerprint = message.fingerprint
        row.idempotent = message.idempotent
        row.router = sender
        now = self._context.clock.now()
        row.until = now + message.deadline_s + ENDED_GRACE_S
        if row.idempotent:
            row.state = State.RUNNING
            self._bound(message, sender)
        else:
            self.claiming.claim(row, message.deadline_s)

    def _end_if_over(self, message: messages.BindKey) -> None:
        """End a request that can't be running when its key is used again."""
        row = self.table.rows.get(message.key)
        if row is None or message.request_id == row.request_id:
            return
        # A router that speaks from another start has lost what it ran.
        restarted = is_router_restart(row.request_id, message.request_id)
        if restarted or self._is_over(row):
            self._abandon(row)

    def _answer(
        self,
        row: Binding,
        message: messages.BindKey,
        sender: str,
    ) -> None:
        """Answer a request for a key that is known here."""
        if row.state in _OPEN:
            self._answer_open(row, message, sender)
        elif _is_replayable(row):
            self._replay(row, message, sender)
        elif row.idempotent or row.state is State.FREE:
            self._begin(row, message, sender)
        else:
            self._refuse(message, sender, AlreadyRunError.code)

    def _answer_open(
        self,
        row: Binding,
        message: messages.BindKey,
        sender: str,
    ) -> None:
        """Answer a request for a key that is in progress."""
        own = message.request_id == row.request_id
        if row.state is State.RUNNING and own:
            self._bound(message, sender)
        elif row.state is State.CLAIMING and own:
            row.router = sender
        elif row.state is State.CLEARING:
            # Nothing runs; only the store keeps the key from its next run.
            self._refuse(message, sender, KeyClearingError.code)
        else:
            self._refuse(message, sender, KeyInProgressError.code)

    def _replay(
        self,
        row: Binding,
        message: messages.BindKey,
        sender: str,
    ) -> None:
        """Answer with the recorded outcome."""
        outcome = row.outcome
        if outcome is None:
            return
        self._context.outbox.send(
            sender,
            messages.KeyReplay(
                request_id=message.request_id,
                key=message.key,
                first_request_id=outcome.request_id,
                status=outcome.status,
                content_type=outcome.content_type,
                body=outcome.body,
                version=outcome.version,
            ),
        )

    def _abandon(self, row: Binding) -> None:
        """
        End a request whose router did not report its outcome.

        A claim under way is left to the store, which decides the next try.
        """
        if row.state not in {State.RUNNING, State.CLAIMING}:
            return
        self._context.events.record(
            'key_abandoned',
            request_id=row.request_id,
            router=row.router,
            idempotent=row.idempotent,
        )
        if row.state is State.CLAIMING:
            self.table.drop(row.key)
        else:
            self.reports.end(row)

    def _is_over(self, row: Binding) -> bool:
        """Return whether a request in progress must have ended."""
        now = self._context.clock.now()
        return now > row.until or self.routers.is_gone(row.router)

    def _is_first_ranked(self) -> bool:
        """Return whether this keeper sweeps the claims of the fleet."""
        membership = self._membership
        identity = self._context.identity
        domains = membership.domains()
        if identity.domain != min(domains):
            return False
        return membership.ranked_keepers(_SWEEP_KEY)[0] == identity.node

    def _bound(self, message: messages.BindKey, sender: str) -> None:
        """Let the request run."""
        self._context.outbox.send(
            sender,
            messages.KeyBound(message.request_id, message.key),
        )

    def _refuse(
        self,
        message: messages.BindKey,
        sender: str,
        code: int,
    ) -> None:
        """Refuse the request with a code."""
        self._context.outbox.send(
            sender,
            messages.KeyRefused(
                message.request_id,
                message.key,
                code,
                RETRY_AFTER_S if code in _PASSING else 0,
            ),
        )


_OPEN = frozenset((State.RUNNING, State.CLAIMING, State.CLEARING))
_PASSING = frozenset((
    KeyClearingError.code,
    KeyInProgressError.code,
    KeeperUnavailableError.code,
))


def _is_replayable(row: Binding) -> bool:
    """Return whether a row holds a whole answer."""
    outcome = row.outcome
    return outcome is not None and outcome.replayable
