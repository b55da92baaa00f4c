"""Steps that acquire and release a request's key, reservation and slot."""
# A generator's return value is its result here.
# ruff: file-ignore[return-in-generator]

import functools
from collections.abc import Generator
from typing import Any

from fuchsiafork import messages
from fuchsiafork.kernel.errors import (
    KeeperUnavailableError,
    KeyRequiredError,
    NoTargetError,
    QueueFullError,
)
from fuchsiafork.router.commands import (
    Answer,
    Command,
    RequestReply,
    SendMessage,
)
from fuchsiafork.router.request_state import (
    RequestState,
    check_deadline,
    refusal_error,
)

Steps = Generator[Command, Any, Any]

# Peers regard a keeper as dead after this time without a message, so the next
# send goes to its successor.
REPLY_TIMEOUT_S = 2.2
MAX_SENDS = 3
# The group owner may regard an older grant as lost and reassign the slot.
MAX_GRANT_AGE_S = 2.0
# The reservation's lifetime may count from the send of the request, so the
# margin covers clock rates that differ between VMs.
_EXPIRY_MARGIN_S = 0.05
_SPILL_CODES = frozenset((QueueFullError.code, NoTargetError.code))


def request_reply(
    state: RequestState, message: Any, expects: tuple[type, ...]
) -> Steps:
    """
    Return the reply to a message that may be sent several times.

    :raises KeeperUnavailableError: if no reply arrives.
    """
    for attempt in range(MAX_SENDS):
        check_deadline(state)
        state.send_count = attempt + 1
        timeout = min(REPLY_TIMEOUT_S, state.remaining_s)
        reply = yield RequestReply(message, expects, timeout)
        if reply is not None:
            return reply
    raise KeeperUnavailableError(
        f'no reply to {type(message).__name__!r}',
        retry_after=1,
    )


def bind_key(state: RequestState) -> Steps:
    """Return the recorded answer of the key, or None if the call may run."""
    request = state.request
    if not request.key:
        if request.idempotent:
            return None
        raise KeyRequiredError('a non-idempotent call needs a key')
    state.must_report_outcome = True
    reply = yield from request_reply(
        state,
        messages.BindKey(
            request_id=request.request_id,
            key=request.key,
            fingerprint=request.fingerprint,
            idempotent=request.idempotent,
            deadline_s=state.remaining_s,
        ),
        (messages.KeyBound, messages.KeyReplay, messages.KeyRefused),
    )
    state.must_report_outcome = _must_report_outcome(reply, state)
    return _recorded_answer(reply, state)


def _must_report_outcome(reply: Any, state: RequestState) -> bool:
    """
    Return whether the key's owner must receive the outcome.

    A refused request may have left a claim at this owner, or at an earlier
    owner whose reply was lost.
    """
    if isinstance(reply, messages.KeyRefused):
        resent = state.send_count > 1 and not state.request.idempotent
        return reply.claimed or resent
    return isinstance(reply, messages.KeyBound)


@functools.singledispatch
def _recorded_answer(reply: Any, state: RequestState) -> Answer | None:
    """Return the recorded answer in a reply, if any."""
    return None


@_recorded_answer.register
def _(reply: messages.KeyRefused, state: RequestState) -> Answer | None:
    raise refusal_error(reply.code, reply.retry_after_s)


@_recorded_answer.register
def _(reply: messages.KeyReplay, state: RequestState) -> Answer | None:
    return Answer(
        request_id=state.request.request_id,
        first_request_id=reply.first_request_id,
        status=reply.status,
        content_type=reply.content_type,
        body=reply.body,
        version=reply.version,
        tokens=0,
        relayed=False,
    )


def acquire_resources(state: RequestState) -> Steps:
    """
    Acquire a valid reservation and a fresh slot.

    One can expire during the wait for the other and is then acquired again.
    """
    while not _is_ready(state):
        check_deadline(state)
        if not _has_valid_reservation(state):
            yield from cancel_reservation(state)
            yield from _reserve(state)
        if not _has_fresh_slot(state):
            yield from release_slot(state, unused_observation())
            yield from _acquire_slot(state)
    check_deadline(state)


def _is_ready(state: RequestState) -> bool:
    """Return whether the request may be sent now."""
    return _has_valid_reservation(state) and _has_fresh_slot(state)


def _has_valid_reservation(state: RequestState) -> bool:
    """Return whether a reservation is held that has not expired."""
    now = state.shared.clock.now()
    return state.reservation is not None and now < state.reservation_expires_at


def _has_fresh_slot(state: RequestState) -> bool:
    """Return whether a slot is held whose grant is recent enough to use."""
    return (
        state.slot is not None
        and state.shared.clock.now() < state.slot_expires_at
    )


def _reserve(state: RequestState) -> Steps:
    """Reserve the worst-case tokens under a new reservation id."""
    request = state.request
    state.reservation_count += 1
    suffix = (
        f'.r{state.reservation_count}' if state.reservation_count > 1 else ''
    )
    sent_at = state.shared.clock.now()
    reply = yield from request_reply(
        state,
        messages.Reserve(
            request_id=request.request_id + suffix,
            budget=request.budget,
            account=request.account,
            tokens=request.worst_case,
            deadline_s=state.remaining_s,
            exclude_vm=state.shared.vm,
            key=state.settle_key,
        ),
        (messages.Reserved, messages.ReserveRefused),
    )
    if isinstance(reply, messages.ReserveRefused):
        raise refusal_error(reply.code, reply.retry_after_s)
    state.reservation = reply
    state.reservation_expires_at = sent_at + reply.valid_s - _EXPIRY_MARGIN_S


def cancel_reservation(state: RequestState) -> Steps:
    """Cancel an unused reservation by settling it with 0 tokens."""
    yield from settle(state, 0, '')


def settle(state: RequestState, tokens: int, key: str) -> Steps:
    """
    Report the tokens used and clear the reservation.

    A settlement of 0 tokens carries the reservation's own id as its key, so
    that it does not count as the key's one settlement.
    """
    reservation = state.reservation
    if reservation is None:
        return
    state.reservation = None
    yield SendMessage(
        messages.Settle(
            request_id=reservation.request_id,
            budget=reservation.budget,
            account=state.request.account,
            holder=reservation.holder,
            tokens=min(tokens, reservation.tokens),
            key=key if tokens else reservation.request_id,
        ),
        acknowledged_by=messages.SettleAccepted,
    )


def _acquire_slot(state: RequestState) -> Steps:
    """Acquire a slot; later groups are tried if earlier ones are full."""
    groups = state.request.groups
    for group in groups:
        reply = yield from _request_slot(state, group)
        if isinstance(reply, messages.SlotAcquired):
            state.slot = reply
            state.group = group
            return
        if reply.code not in _SPILL_CODES or group == groups[-1]:
            raise refusal_error(reply.code, reply.retry_after_s)
    raise NoTargetError('the route has no target group', retry_after=1)


def _request_slot(state: RequestState, group: str) -> Steps:
    """Request a slot from a group's owner, which may queue the request."""
    state.slot_count += 1
    slot_id = f'{state.request.request_id}.s{state.slot_count}'
    try:
        return (yield from _await_slot_reply(state, group, slot_id))
    except Exception:
        yield SendMessage(
            messages.CancelAcquire(slot_id, state.request.route, group),
            acknowledged_by=messages.SlotReleased,
        )
        raise


def _await_slot_reply(state: RequestState, group: str, slot_id: str) -> Steps:
    """Return the owner's reply, resending the request until the deadline."""
    request = state.request
    while True:
        check_deadline(state)
        # The grant's age counts from the send of the request: the owner
        # answers a resent request with a renewed grant.
        sent_at = state.shared.clock.now()
        reply = yield RequestReply(
            messages.AcquireSlot(
                request_id=slot_id,
                route=request.route,
                group=group,
                account=request.account,
                priority=request.priority,
                deadline_s=state.remaining_s,
                prefixes=request.prefixes,
                exclude=state.excluded_targets,
                foreign=group != request.groups[0],
            ),
            (messages.SlotAcquired, messages.SlotRefused),
            min(MAX_GRANT_AGE_S / 2, state.remaining_s),
        )
        if reply is not None:
            state.slot_expires_at = sent_at + MAX_GRANT_AGE_S
            return reply


def release_slot(
    state: RequestState, observation: messages.Observation
) -> Steps:
    """Release the slot, if one is held."""
    reservation = state.slot
    if reservation is None:
        return
    state.slot = None
    yield SendMessage(
        messages.ReleaseSlot(
            request_id=reservation.request_id,
            route=reservation.route,
            group=state.group,
            target=reservation.target,
            version=reservation.version,
            owner=reservation.owner,
            observation=observation,
        ),
        acknowledged_by=messages.SlotReleased,
    )


def unused_observation() -> messages.Observation:
    """Return the observation of a slot that was not used."""
    return messages.Observation(
        sent=False,
        failed=False,
        truncated=False,
        first_token_s=-1,
        token_gap_s=-1,
        tokens=0,
    )
