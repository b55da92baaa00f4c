"""Claims a non-idempotent call in the key-value service, or gives it back."""

import functools
import itertools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.kernel import Context
from fuchsiafork.kernel.errors import (
    AlreadyRunError,
    ClaimUnavailableError,
    KeyInProgressError,
    KeyMismatchError,
)
from fuchsiafork.kernel.outbox import KeyRead, StoreFailed, SwapDone
from fuchsiafork.outcomes.bindings import (
    ENDED_GRACE_S,
    Binding,
    BindingTable,
    State,
)
from fuchsiafork.outcomes.claims import (
    TAG,
    Claim,
    claim_of,
    make_claim,
    read_claim,
    remove_claim,
)

RETRY_AFTER_S = 1.0
# Write, read back, write again: a claim that is still unsettled after these
# is refused, so that a caller is not kept waiting through an outage.
MAX_OPERATIONS = 5
_CLEAR_RETRY_S = 0.5
_CLEAR_LONGEST_S = 30.0


class Claiming:
    """
    Store operations of the rows in the states CLAIMING and CLEARING.

    A row waits for one operation at a time; its tag is unique among all
    starts of all keepers, and an answer with another tag is ignored. A number
    counted by row would match the answer to a claim of an earlier row of the
    same key, which another request made.
    """

    def __init__(self, context: Context, table: BindingTable) -> None:
        """Work on the rows of a table."""
        self._context = context
        self._table = table
        self._numbers = itertools.count(1)

    def claim(self, row: Binding, deadline_s: float) -> None:
        """Start the claim of a row for its request."""
        row.state = State.CLAIMING
        row.attempts = 0
        row.claiming = True
        self._write(row, deadline_s)

    def clear(self, row: Binding) -> None:
        """Start the removal of the claim of a request that was not run."""
        if row.state is State.FREE:
            self._acknowledge_row(row)
        elif row.state is State.CLAIMING:
            # The read must not overtake the write that is under way.
            row.state = State.CLEARING
        elif row.state is not State.CLEARING:
            self._table.reopen(row)
            row.state = State.CLEARING
            row.attempts = 0
            self._read(row)

    def retry_clear(self, row: Binding) -> None:
        """Read the claim again if its removal got no answer."""
        if row.retry_at and self._context.clock.now() >= row.retry_at:
            row.retry_at = 0
            self._read(row)

    def take(self, answer: Any) -> None:
        """Take the store's answer to an operation of a row."""
        key = answer.tag.removeprefix(TAG).partition(':')[0]
        row = self._table.bindings.get(key)
        if row is None or row.operation != answer.tag:
            return
        if row.state is State.CLAIMING:
            self._advance_claim(answer, row)
        elif row.state is State.CLEARING and row.claiming:
            row.claiming = False
            self._read(row)
        elif row.state is State.CLEARING:
            self._advance_clear(answer, row)

    @functools.singledispatchmethod
    def _advance_claim(self, answer: Any, row: Binding) -> None:
        """Go on with a claim after a store answer."""

    @_advance_claim.register
    def _(self, answer: SwapDone, row: Binding) -> None:
        if answer.succeeded:
            self._grant(row)
        else:
            self._read(row)

    @_advance_claim.register
    def _(self, answer: StoreFailed, row: Binding) -> None:
        if answer.outcome_unknown and row.attempts < MAX_OPERATIONS:
            self._read(row)
        else:
            # A first write that failed without effect leaves no claim.
            lone = row.attempts == 1 and not answer.outcome_unknown
            self._give_up(row, claimed=not lone)

    @_advance_claim.register
    def _(self, answer: KeyRead, row: Binding) -> None:
        if answer.value is None:
            self._write_again(row)
            return
        claim = claim_of(answer)
        if claim is not None and claim.request_id == row.request_id:
            self._grant(row)
            return
        # Another request holds the claim, so this one has none to remove.
        self._refuse(row, self._code(claim, row))
        self._table.drop(row.key)

    @functools.singledispatchmethod
    def _advance_clear(self, answer: Any, row: Binding) -> None:
        """Go on with a removal after a store answer."""

    @_advance_clear.register
    def _(self, answer: KeyRead, row: Binding) -> None:
        claim = claim_of(answer)
        if claim is None or claim.request_id != row.request_id:
            self._free(row)
            return
        self._context.outbox.store(
            remove_claim(row.key, answer.revision, self._tag(row)),
        )

    @_advance_clear.register
    def _(self, answer: SwapDone, row: Binding) -> None:
        if answer.succeeded:
            self._free(row)
        else:
            self._read(row)

    @_advance_clear.register
    def _(self, answer: StoreFailed, row: Binding) -> None:
        # After an outage the rows must not all read at once.
        wait = min(_CLEAR_LONGEST_S, _CLEAR_RETRY_S * 2**row.attempts)
        wait *= self._context.random.uniform(0.5, 1)
        row.retry_at = self._context.clock.now() + wait

    def _code(self, claim: Claim | None, row: Binding) -> int:
        """Return the code for a key that another request has claimed."""
        if claim is None:
            return AlreadyRunError.code
        if claim.fingerprint != row.fingerprint:
            return KeyMismatchError.code
        ends = claim.wall + claim.deadline_s + ENDED_GRACE_S
        if self._context.clock.wall() < ends:
            return KeyInProgressError.code
        return AlreadyRunError.code

    def _grant(self, row: Binding) -> None:
        """Let the request run that holds the claim."""
        row.state = State.RUNNING
        row.claiming = False
        self._context.outbox.send(
            row.router,
            messages.KeyBound(row.request_id, row.key),
        )

    def _give_up(self, row: Binding, *, claimed: bool = True) -> None:
        """
        Refuse a request whose claim can't be settled.

        Only the router's report that the request was not run removes a
        claim that was stored after all: the refusal may be lost, and the
        request then be bound by another keeper under that same claim.
        """
        self._refuse(row, ClaimUnavailableError.code, claimed=claimed)
        self._table.drop(row.key)

    def _free(self, row: Binding) -> None:
        """Let the next request of the key run."""
        self._acknowledge_row(row)
        now = self._context.clock.now()
        self._table.complete(row, State.FREE, now)
        # Nothing was run under the key, so it may take another body.
        row.fingerprint = ''

    def _acknowledge_row(self, row: Binding) -> None:
        """Acknowledge the report that led to a removal, if there was one."""
        if row.router:
            self._context.outbox.send(
                row.router,
                messages.OutcomeRecorded(row.request_id, row.key),
            )

    def _refuse(
        self,
        row: Binding,
        code: int,
        *,
        claimed: bool = False,
    ) -> None:
        """Refuse the request that waits for a claim."""
        final = code in {AlreadyRunError.code, KeyMismatchError.code}
        self._context.outbox.send(
            row.router,
            messages.KeyRefused(
                row.request_id,
                row.key,
                code,
                0 if final else RETRY_AFTER_S,
                claimed,
            ),
        )

    def _write_again(self, row: Binding) -> None:
        """Write a claim that the read-back did not find."""
        if row.attempts >= MAX_OPERATIONS:
            self._give_up(row)
        else:
            self._write(row, row.expires_at - self._context.clock.now())

    def _write(self, row: Binding, deadline_s: float) -> None:
        """Send the write of a claim."""
        claim = Claim(
            request_id=row.request_id,
            fingerprint=row.fingerprint,
            wall=self._context.clock.wall(),
            deadline_s=deadline_s,
        )
        self._context.outbox.store(
            make_claim(row.key, claim, self._tag(row)),
        )

    def _read(self, row: Binding) -> None:
        """Send the read of a claim."""
        self._context.outbox.store(read_claim(row.key, self._tag(row)))

    def _tag(self, row: Binding) -> str:
        """Return the tag of the row's next operation."""
        incarnation = self._context.identity.incarnation
        number = next(self._numbers)
        row.operation = f'{TAG}{row.key}:{incarnation}:{number}'
        row.attempts += 1
        return row.operation
