"""Store operations that claim non-idempotent calls and remove claims."""

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
    TAG_PREFIX,
    Claim,
    claim_in_answer,
    create_claim,
    read_claim,
    remove_claim,
)

RETRY_AFTER_S = 1.0
# Writes and read-backs of one claim. If they don't show whether the claim is
# stored, the request is refused, so that a caller doesn't wait for the end of
# a store outage.
MAX_OPERATIONS = 5
_CLEAR_RETRY_DELAY_S = 0.5
_MAX_CLEAR_RETRY_DELAY_S = 30.0


class ClaimOperations:
    """
    Store operations of the bindings in the states CLAIMING and CLEARING.

    A binding waits for one operation at a time. Its tag is unique among all
    runs of all keepers, and an answer with another tag is ignored. With a
    number counted by binding, the answer to a claim of an earlier binding of
    the same key, made by another request, would be accepted.
    """

    def __init__(self, context: Context, table: BindingTable) -> None:
        """Start without operations for the bindings of a table."""
        self._context = context
        self._table = table
        self._numbers = itertools.count(1)

    def claim(self, binding: Binding, deadline_s: float) -> None:
        """Start to claim a key for the request of its binding."""
        binding.state = State.CLAIMING
        binding.operation_count = 0
        binding.is_claim_operation = True
        self._send_write(binding, deadline_s)

    def clear(self, binding: Binding) -> None:
        """Start to remove the claim of a request that was not run."""
        if binding.state is State.FREE:
            self._acknowledge_report(binding)
        elif binding.state is State.CLAIMING:
            # The read must not overtake the pending write.
            binding.state = State.CLEARING
        elif binding.state is not State.CLEARING:
            self._table.reopen(binding)
            binding.state = State.CLEARING
            binding.operation_count = 0
            self._send_read(binding)

    def retry_clear(self, binding: Binding) -> None:
        """Read the claim again if an attempt to remove it failed."""
        if (
            binding.clear_retry_at
            and self._context.clock.now() >= binding.clear_retry_at
        ):
            binding.clear_retry_at = 0
            self._send_read(binding)

    def handle_answer(self, answer: Any) -> None:
        """Handle the store's answer to an operation of a binding."""
        key = answer.tag.removeprefix(TAG_PREFIX).partition(':')[0]
        binding = self._table.bindings.get(key)
        if binding is None or binding.operation_tag != answer.tag:
            return
        if binding.state is State.CLAIMING:
            self._advance_claim(answer, binding)
        elif binding.state is State.CLEARING and binding.is_claim_operation:
            binding.is_claim_operation = False
            self._send_read(binding)
        elif binding.state is State.CLEARING:
            self._advance_clear(answer, binding)

    @functools.singledispatchmethod
    def _advance_claim(self, answer: Any, binding: Binding) -> None:
        """Continue a claim after an answer of the store."""

    @_advance_claim.register
    def _(self, answer: SwapDone, binding: Binding) -> None:
        if answer.succeeded:
            self._grant(binding)
        else:
            self._send_read(binding)

    @_advance_claim.register
    def _(self, answer: StoreFailed, binding: Binding) -> None:
        if answer.outcome_unknown and binding.operation_count < MAX_OPERATIONS:
            self._send_read(binding)
        else:
            # A first write that failed without effect leaves no claim.
            left_no_claim = (
                binding.operation_count == 1 and not answer.outcome_unknown
            )
            self._refuse_unsettled(binding, claimed=not left_no_claim)

    @_advance_claim.register
    def _(self, answer: KeyRead, binding: Binding) -> None:
        if answer.value is None:
            self._retry_write(binding)
            return
        claim = claim_in_answer(answer)
        if claim is not None and claim.request_id == binding.request_id:
            self._grant(binding)
            return
        # Another request holds the claim, so this one has none to remove.
        self._refuse(binding, self._refusal_code(claim, binding))
        self._table.drop(binding.key)

    @functools.singledispatchmethod
    def _advance_clear(self, answer: Any, binding: Binding) -> None:
        """Continue a removal after an answer of the store."""

    @_advance_clear.register
    def _(self, answer: KeyRead, binding: Binding) -> None:
        claim = claim_in_answer(answer)
        if claim is None or claim.request_id != binding.request_id:
            self._complete_clear(binding)
            return
        self._context.outbox.store(
            remove_claim(binding.key, answer.revision, self._next_tag(binding)),
        )

    @_advance_clear.register
    def _(self, answer: SwapDone, binding: Binding) -> None:
        if answer.succeeded:
            self._complete_clear(binding)
        else:
            self._send_read(binding)

    @_advance_clear.register
    def _(self, answer: StoreFailed, binding: Binding) -> None:
        # After an outage the bindings must not all read at once.
        delay_s = min(
            _MAX_CLEAR_RETRY_DELAY_S,
            _CLEAR_RETRY_DELAY_S * 2**binding.operation_count,
        )
        delay_s *= self._context.random.uniform(0.5, 1)
        binding.clear_retry_at = self._context.clock.now() + delay_s

    def _refusal_code(self, claim: Claim | None, binding: Binding) -> int:
        """Return the error code for a key claimed by another request."""
        if claim is None:
            return AlreadyRunError.code
        if claim.fingerprint != binding.fingerprint:
            return KeyMismatchError.code
        ends_at = claim.wall + claim.deadline_s + ENDED_GRACE_S
        if self._context.clock.wall() < ends_at:
            return KeyInProgressError.code
        return AlreadyRunError.code

    def _grant(self, binding: Binding) -> None:
        """Allow the request that holds the claim to run."""
        binding.state = State.RUNNING
        binding.is_claim_operation = False
        self._context.outbox.send(
            binding.router,
            messages.KeyBound(binding.request_id, binding.key),
        )

    def _refuse_unsettled(
        self, binding: Binding, *, claimed: bool = True
    ) -> None:
        """
        Refuse a request if it is unknown whether its claim is stored.

        If the claim is stored, only the router's report that the request was
        not run removes it: the refusal may be lost, and another keeper may
        then bind the request under the same claim.
        """
        self._refuse(binding, ClaimUnavailableError.code, claimed=claimed)
        self._table.drop(binding.key)

    def _complete_clear(self, binding: Binding) -> None:
        """End a removal, so that the next request of the key may run."""
        self._acknowledge_report(binding)
        now = self._context.clock.now()
        self._table.complete(binding, State.FREE, now)
        # No call was run under the key, so the next request may differ.
        binding.fingerprint = ''

    def _acknowledge_report(self, binding: Binding) -> None:
        """Acknowledge the report that led to a removal, if any."""
        if binding.router:
            self._context.outbox.send(
                binding.router,
                messages.OutcomeRecorded(binding.request_id, binding.key),
            )

    def _refuse(
        self,
        binding: Binding,
        code: int,
        *,
        claimed: bool = False,
    ) -> None:
        """Send a refusal to the router that waits for a claim."""
        is_final = code in {AlreadyRunError.code, KeyMismatchError.code}
        self._context.outbox.send(
            binding.router,
            messages.KeyRefused(
                binding.request_id,
                binding.key,
                code,
                0 if is_final else RETRY_AFTER_S,
                claimed,
            ),
        )

    def _retry_write(self, binding: Binding) -> None:
        """Write a claim again after a read-back that did not find it."""
        if binding.operation_count >= MAX_OPERATIONS:
            self._refuse_unsettled(binding)
        else:
            self._send_write(
                binding, binding.expires_at - self._context.clock.now()
            )

    def _send_write(self, binding: Binding, deadline_s: float) -> None:
        """Send the write of a claim."""
        claim = Claim(
            request_id=binding.request_id,
            fingerprint=binding.fingerprint,
            wall=self._context.clock.wall(),
            deadline_s=deadline_s,
        )
        self._context.outbox.store(
            create_claim(binding.key, claim, self._next_tag(binding)),
        )

    def _send_read(self, binding: Binding) -> None:
        """Send the read of a claim."""
        self._context.outbox.store(
            read_claim(binding.key, self._next_tag(binding))
        )

    def _next_tag(self, binding: Binding) -> str:
        """Return the tag of the binding's next operation."""
        incarnation = self._context.identity.incarnation
        number = next(self._numbers)
        binding.operation_tag = (
            f'{TAG_PREFIX}{binding.key}:{incarnation}:{number}'
        )
        binding.operation_count += 1
        return binding.operation_tag
