"""Takes the routers' reports of how requests ended."""

from fuchsiafork import messages
from fuchsiafork.kernel import Context
from fuchsiafork.outcomes.bindings import (
    ENDED_GRACE_S,
    IN_PROGRESS,
    Binding,
    BindingTable,
    State,
)
from fuchsiafork.outcomes.claiming import Claiming


class Reports:
    """Ends the requests that routers report on, each once."""

    def __init__(
        self,
        context: Context,
        table: BindingTable,
        claiming: Claiming,
    ) -> None:
        """Work on the rows of a table."""
        self._context = context
        self._table = table
        self._claiming = claiming

    def take(self, message: messages.RecordOutcome, sender: str) -> None:
        """Record an outcome and acknowledge it."""
        if message.state == 'not_run' and not message.idempotent:
            self._clear(message, sender)
            return
        row = self._table.bindings.get(message.key)
        if row is None and message.state == 'done':
            row = self._adopt(message, sender)
        if row is not None and row.request_id == message.request_id:
            self._take_end(row, message)
        self._acknowledge(message, sender)

    def end(self, row: Binding) -> None:
        """End a request without an answer to replay."""
        state = State.FREE if row.idempotent else State.UNKNOWN
        self._table.complete(row, state, self._context.clock.now())

    def _take_end(self, row: Binding, message: messages.RecordOutcome) -> None:
        """End a row's request; a repeated report changes nothing."""
        if message.state == 'done' and row.state is not State.DONE:
            now = self._context.clock.now()
            self._table.complete(row, State.DONE, now, message)
        elif row.state in IN_PROGRESS:
            self.end(row)

    def _clear(self, message: messages.RecordOutcome, sender: str) -> None:
        """Remove the claim of a call that was not run, then acknowledge."""
        row = self._table.bindings.get(message.key)
        if row is None:
            row = self._adopt(message, sender)
        if row is None:
            return
        if row.request_id == message.request_id:
            row.router = sender
            self._claiming.clear(row)
        elif row.state is State.FREE:
            row.request_id = message.request_id
            row.router = sender
            row.state = State.RUNNING
            self._claiming.clear(row)
        elif row.state not in {State.CLAIMING, State.CLEARING}:
            # Another request holds the claim.
            self._acknowledge(message, sender)

    def _adopt(
        self,
        message: messages.RecordOutcome,
        sender: str,
    ) -> Binding | None:
        """Return a row for an outcome whose key moved here."""
        if not self._table.has_room():
            return None
        row = Binding(
            key=message.key,
            fingerprint=message.fingerprint,
            idempotent=message.idempotent,
            request_id=message.request_id,
            router=sender,
            state=State.RUNNING,
            expires_at=self._context.clock.now() + ENDED_GRACE_S,
        )
        self._table.add(row)
        return row

    def _acknowledge(
        self,
        message: messages.RecordOutcome,
        sender: str,
    ) -> None:
        """Tell a router that its report has arrived."""
        self._context.outbox.send(
            sender,
            messages.OutcomeRecorded(message.request_id, message.key),
        )
