"""Handles the routers' reports of request outcomes."""

from fuchsiafork import messages
from fuchsiafork.kernel import Context
from fuchsiafork.outcomes.bindings import (
    ENDED_GRACE_S,
    IN_PROGRESS,
    Binding,
    BindingTable,
    State,
)
from fuchsiafork.outcomes.claim_operations import ClaimOperations


class OutcomeReportHandler:
    """Ends each request once, when its router reports the outcome."""

    def __init__(
        self,
        context: Context,
        table: BindingTable,
        claim_operations: ClaimOperations,
    ) -> None:
        """Handle reports for the bindings of a table."""
        self._context = context
        self._table = table
        self._claim_operations = claim_operations

    def handle_report(
        self, message: messages.RecordOutcome, sender: str
    ) -> None:
        """Record an outcome and acknowledge the report."""
        if message.state == 'not_run' and not message.idempotent:
            self._clear_claim(message, sender)
            return
        binding = self._table.bindings.get(message.key)
        if binding is None and message.state == 'done':
            binding = self._add_moved_key(message, sender)
        if binding is not None and binding.request_id == message.request_id:
            self._record_end(binding, message)
        self._acknowledge(message, sender)

    def end_without_answer(self, binding: Binding) -> None:
        """End a request without an answer to replay."""
        state = State.FREE if binding.idempotent else State.UNKNOWN
        self._table.complete(binding, state, self._context.clock.now())

    def _record_end(
        self, binding: Binding, message: messages.RecordOutcome
    ) -> None:
        """End a binding's request; repeated reports have no effect."""
        if message.state == 'done' and binding.state is not State.DONE:
            now = self._context.clock.now()
            self._table.complete(binding, State.DONE, now, message)
        elif binding.state in IN_PROGRESS:
            self.end_without_answer(binding)

    def _clear_claim(
        self, message: messages.RecordOutcome, sender: str
    ) -> None:
        """Remove the claim of a call that was not run, then acknowledge."""
        binding = self._table.bindings.get(message.key)
        if binding is None:
            binding = self._add_moved_key(message, sender)
        if binding is None:
            return
        if binding.request_id == message.request_id:
            binding.router = sender
            self._claim_operations.clear(binding)
        elif binding.state is State.FREE:
            binding.request_id = message.request_id
            binding.router = sender
            binding.state = State.RUNNING
            self._claim_operations.clear(binding)
        elif binding.state not in {State.CLAIMING, State.CLEARING}:
            # Another request holds the claim.
            self._acknowledge(message, sender)

    def _add_moved_key(
        self,
        message: messages.RecordOutcome,
        sender: str,
    ) -> Binding | None:
        """Add a binding for a reported key whose ownership moved here."""
        if not self._table.make_room():
            return None
        binding = Binding(
            key=message.key,
            fingerprint=message.fingerprint,
            idempotent=message.idempotent,
            request_id=message.request_id,
            router=sender,
            state=State.RUNNING,
            expires_at=self._context.clock.now() + ENDED_GRACE_S,
        )
        self._table.add(binding)
        return binding

    def _acknowledge(
        self,
        message: messages.RecordOutcome,
        sender: str,
    ) -> None:
        """Acknowledge a router's report."""
        self._context.outbox.send(
            sender,
            messages.OutcomeRecorded(message.request_id, message.key),
        )
