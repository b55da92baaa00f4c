"""Decides for each idempotency key whether a request may run."""

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
from fuchsiafork.outcomes.claim_operations import ClaimOperations
from fuchsiafork.outcomes.claims import ClaimSweeper
from fuchsiafork.outcomes.outcome_reports import OutcomeReportHandler
from fuchsiafork.outcomes.router_monitor import RouterMonitor
from fuchsiafork.router.request_ids import is_router_restart

RETRY_AFTER_S = 1.0
_MAINTENANCE_INTERVAL_S = 0.5
_SWEEP_ROUTING_KEY = 'claims-sweep'


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
        self.claim_operations = ClaimOperations(context, self.table)
        self.report_handler = OutcomeReportHandler(
            context, self.table, self.claim_operations
        )
        self.sweeper = ClaimSweeper(context)
        self.router_monitor = RouterMonitor(membership, context.clock)
        self._membership = membership
        self._next_maintenance = 0.0

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Handle a message or an answer of the store."""

    @handle.register
    def _(self, message: messages.BindKey, sender: str) -> None:
        self._abandon_if_ended(message)
        binding = self.table.bindings.get(message.key)
        if binding is None:
            self._bind_new_key(message, sender)
        elif message.request_id in binding.ended_request_ids:
            # A delayed copy from a request that has ended; no router waits.
            return
        elif binding.fingerprint not in {'', message.fingerprint}:
            self._refuse(message, sender, KeyMismatchError.code)
        else:
            self._answer_known_key(binding, message, sender)

    @handle.register
    def _(self, message: messages.RecordOutcome, sender: str) -> None:
        self.report_handler.handle_report(message, sender)

    @handle.register(KeyRead)
    @handle.register(SwapDone)
    @handle.register(StoreFailed)
    def _(self, message: Any, sender: str) -> None:
        self.claim_operations.handle_answer(message)

    @handle.register
    def _(self, message: KeysListed, sender: str) -> None:
        self.sweeper.queue_expired(message.rows)

    def tick(self) -> None:
        """Drop expired keys, abandon ended requests and sweep claims."""
        now = self._context.clock.now()
        if now < self._next_maintenance:
            return
        self._next_maintenance = now + _MAINTENANCE_INTERVAL_S
        self.router_monitor.update()
        self.table.expire(now)
        for binding in self.table.open_bindings():
            if binding.state is State.CLEARING:
                self.claim_operations.retry_clear(binding)
            elif self._has_ended(binding):
                self._abandon(binding)
        self.sweeper.tick(is_leader=self._is_sweep_leader())

    def _bind_new_key(self, message: messages.BindKey, sender: str) -> None:
        """Bind a key that is not in the table."""
        if not self.table.make_room():
            self._refuse(message, sender, KeeperUnavailableError.code)
            return
        binding = Binding(
            key=message.key,
            fingerprint=message.fingerprint,
            idempotent=message.idempotent,
            request_id=message.request_id,
            router=sender,
            state=State.FREE,
            expires_at=0,
        )
        self.table.add(binding)
        self._start_request(binding, message, sender)

    def _start_request(
        self,
        binding: Binding,
        message: messages.BindKey,
        sender: str,
    ) -> None:
        """Bind a key to a request; claim it first if not idempotent."""
        self.table.reopen(binding)
        binding.request_id = message.request_id
        binding.fingerprint = message.fingerprint
        binding.idempotent = message.idempotent
        binding.router = sender
        now = self._context.clock.now()
        binding.expires_at = now + message.deadline_s + ENDED_GRACE_S
        if binding.idempotent:
            binding.state = State.RUNNING
            self._confirm_bound(message, sender)
        else:
            self.claim_operations.claim(binding, message.deadline_s)

    def _abandon_if_ended(self, message: messages.BindKey) -> None:
        """Abandon the key's previous request if it must have ended."""
        binding = self.table.bindings.get(message.key)
        if binding is None or message.request_id == binding.request_id:
            return
        # A restarted router has lost the requests that it was running.
        restarted = is_router_restart(binding.request_id, message.request_id)
        if restarted or self._has_ended(binding):
            self._abandon(binding)

    def _answer_known_key(
        self,
        binding: Binding,
        message: messages.BindKey,
        sender: str,
    ) -> None:
        """Answer a request for a key in the table."""
        if binding.state in _OPEN_STATES:
            self._answer_open_key(binding, message, sender)
        elif _is_replayable(binding):
            self._replay(binding, message, sender)
        elif binding.idempotent or binding.state is State.FREE:
            self._start_request(binding, message, sender)
        else:
            self._refuse(message, sender, AlreadyRunError.code)

    def _answer_open_key(
        self,
        binding: Binding,
        message: messages.BindKey,
        sender: str,
    ) -> None:
        """Answer a request for a key that is in progress."""
        is_own = message.request_id == binding.request_id
        if binding.state is State.RUNNING and is_own:
            self._confirm_bound(message, sender)
        elif binding.state is State.CLAIMING and is_own:
            binding.router = sender
        elif binding.state is State.CLEARING:
            # No call runs; the next one must wait for the claim's removal.
            self._refuse(message, sender, KeyClearingError.code)
        else:
            self._refuse(message, sender, KeyInProgressError.code)

    def _replay(
        self,
        binding: Binding,
        message: messages.BindKey,
        sender: str,
    ) -> None:
        """Send the recorded outcome."""
        outcome = binding.outcome
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

    def _abandon(self, binding: Binding) -> None:
        """
        End a request whose router did not report its outcome.

        A pending claim is left in the store, where the next attempt finds it.
        """
        if binding.state not in {State.RUNNING, State.CLAIMING}:
            return
        self._context.events.record(
            'key_abandoned',
            request_id=binding.request_id,
            router=binding.router,
            idempotent=binding.idempotent,
        )
        if binding.state is State.CLAIMING:
            self.table.drop(binding.key)
        else:
            self.report_handler.end_without_answer(binding)

    def _has_ended(self, binding: Binding) -> bool:
        """Return whether a request in progress must have ended."""
        now = self._context.clock.now()
        return now > binding.expires_at or self.router_monitor.is_gone(
            binding.router
        )

    def _is_sweep_leader(self) -> bool:
        """Return whether this keeper sweeps the claims of the fleet."""
        membership = self._membership
        identity = self._context.identity
        domains = membership.domains()
        if identity.domain != min(domains):
            return False
        return membership.ranked_keepers(_SWEEP_ROUTING_KEY)[0] == identity.node

    def _confirm_bound(self, message: messages.BindKey, sender: str) -> None:
        """Notify the router that the request may run."""
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
        """Refuse the request with an error code."""
        self._context.outbox.send(
            sender,
            messages.KeyRefused(
                message.request_id,
                message.key,
                code,
                RETRY_AFTER_S if code in _RETRYABLE_CODES else 0,
            ),
        )


_OPEN_STATES = frozenset((State.RUNNING, State.CLAIMING, State.CLEARING))
_RETRYABLE_CODES = frozenset((
    KeyClearingError.code,
    KeyInProgressError.code,
    KeeperUnavailableError.code,
))


def _is_replayable(binding: Binding) -> bool:
    """Return whether a binding has a stored answer to replay."""
    outcome = binding.outcome
    return outcome is not None and outcome.replayable
