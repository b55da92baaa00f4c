"""Steps that prepare a request: key, reservation and slot."""
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
from fuchsiafork.router.commands import Answer, Ask, Command, Tell
from fuchsiafork.router.request_state import Run, refusal, require_time

Steps = Generator[Command, Any, Any]

# A keeper that is silent this long is taken for dead by its peers, so the
# next question goes to its successor.
ASK_S = 2.2
ASK_ATTEMPTS = 3
# The owner may regard an older grant as lost and give the slot away.
SLOT_FRESH_S = 2.0
# The reply may name the reservation's life counted from the question, so
# the margin covers clock rates that differ between machines.
_VALID_MARGIN_S = 0.05
_SPILL_CODES = frozenset((QueueFullError.code, NoTargetError.code))


def ask(run: Run, message: Any, expects: tuple[type, ...]) -> Steps:
    """
    Return the reply to a message that may be repeated.

    :raises KeeperUnavailableError: if no reply comes.
    """
    for asked in range(ASK_ATTEMPTS):
        require_time(run)
        run.asked = asked + 1
        timeout = min(ASK_S, run.remaining_s)
        reply = yield Ask(message, expects, timeout)
        if reply is not None:
            return reply
    raise KeeperUnavailableError(
        f'no reply to {type(message).__name__!r}',
        retry_after=1,
    )


def bind(run: Run) -> Steps:
    """Return the recorded answer of the key, or None if it may run."""
    request = run.request
    if not request.key:
        if request.idempotent:
            return None
        raise KeyRequiredError('a non-idempotent call needs a key')
    run.bound = True
    reply = yield from ask(
        run,
        messages.BindKey(
            request_id=request.request_id,
            key=request.key,
            fingerprint=request.fingerprint,
            idempotent=request.idempotent,
            deadline_s=run.remaining_s,
        ),
        (messages.KeyBound, messages.KeyReplay, messages.KeyRefused),
    )
    run.bound = _is_bound(reply, run)
    return _replayed(reply, run)


def _is_bound(reply: Any, run: Run) -> bool:
    """
    Return whether the key's home must hear how the request ends.

    A refused request may have left a claim, at this home or at an earlier
    one whose answer was lost.
    """
    if isinstance(reply, messages.KeyRefused):
        repeated = run.asked > 1 and not run.request.idempotent
        return reply.claimed or repeated
    return isinstance(reply, messages.KeyBound)


@functools.singledispatch
def _replayed(reply: Any, run: Run) -> Answer | None:
    """Return the recorded answer that a reply holds, if any."""
    return None


@_replayed.register
def _(reply: messages.KeyRefused, run: Run) -> Answer | None:
    raise refusal(reply.code, reply.retry_after_s)


@_replayed.register
def _(reply: messages.KeyReplay, run: Run) -> Answer | None:
    return Answer(
        request_id=run.request.request_id,
        first_request_id=reply.first_request_id,
        status=reply.status,
        content_type=reply.content_type,
        body=reply.body,
        version=reply.version,
        tokens=0,
        relayed=False,
    )


def prepare(run: Run) -> Steps:
    """
    Hold a valid reservation and a fresh slot when this returns.

    Waiting for one can outlast the other, which is then asked for again.
    """
    while not _is_ready(run):
        require_time(run)
        if not _is_reserved(run):
            yield from cancel_reservation(run)
            yield from _reserve(run)
        if not _is_slot_fresh(run):
            yield from release(run, unsent())
            yield from _acquire(run)
    require_time(run)


def _is_ready(run: Run) -> bool:
    """Return whether the request may be sent now."""
    return _is_reserved(run) and _is_slot_fresh(run)


def _is_reserved(run: Run) -> bool:
    """Return whether the reservation is within its deadline."""
    now = run.services.clock.now()
    return run.reservation is not None and now < run.valid_until


def _is_slot_fresh(run: Run) -> bool:
    """Return whether the slot's grant is young enough to be used."""
    return run.slot is not None and run.services.clock.now() < run.slot_until


def _reserve(run: Run) -> Steps:
    """Take a reservation for the worst case under a new id."""
    request = run.request
    run.reservations += 1
    suffix = f'.r{run.reservations}' if run.reservations > 1 else ''
    asked_at = run.services.clock.now()
    reply = yield from ask(
        run,
        messages.Reserve(
            request_id=request.request_id + suffix,
            budget=request.budget,
            account=request.account,
            tokens=request.worst_case,
            deadline_s=run.remaining_s,
            exclude_vm=run.services.vm,
            key=run.settle_key,
        ),
        (messages.Reserved, messages.ReserveRefused),
    )
    if isinstance(reply, messages.ReserveRefused):
        raise refusal(reply.code, reply.retry_after_s)
    run.reservation = reply
    run.valid_until = asked_at + reply.valid_s - _VALID_MARGIN_S


def cancel_reservation(run: Run) -> Steps:
    """Give a reservation back that was not used."""
    yield from settle(run, 0, '')


def settle(run: Run, tokens: int, key: str) -> Steps:
    """
    Report the tokens used and forget the reservation.

    A settlement of nothing carries the reservation's own id as its key, so
    that it does not count as the key's one settlement.
    """
    held = run.reservation
    if held is None:
        return
    run.reservation = None
    yield Tell(
        messages.Settle(
            request_id=held.request_id,
            budget=held.budget,
            account=run.request.account,
            holder=held.holder,
            tokens=min(tokens, held.tokens),
            key=key if tokens else held.request_id,
        ),
        acknowledged_by=messages.SettleAccepted,
    )


def _acquire(run: Run) -> Steps:
    """Take a slot, from a further group if the nearer ones have no room."""
    groups = run.request.groups
    for group in groups:
        reply = yield from _ask_owner(run, group)
        if isinstance(reply, messages.SlotAcquired):
            run.slot = reply
            run.group = group
            return
        if reply.code not in _SPILL_CODES or group == groups[-1]:
            raise refusal(reply.code, reply.retry_after_s)
    raise NoTargetError('the route has no target group', retry_after=1)


def _ask_owner(run: Run, group: str) -> Steps:
    """Return the reply of a group's owner, who may queue the request."""
    run.slots += 1
    slot_id = f'{run.request.request_id}.s{run.slots}'
    try:
        return (yield from _wait_in_queue(run, group, slot_id))
    except Exception:
        yield Tell(
            messages.CancelAcquire(slot_id, run.request.route, group),
            acknowledged_by=messages.SlotReleased,
        )
        raise


def _wait_in_queue(run: Run, group: str, slot_id: str) -> Steps:
    """Return the owner's reply, asking again while the deadline allows."""
    request = run.request
    while True:
        require_time(run)
        # The grant's age counts from the question: the owner answers a
        # repeated question with a renewed grant.
        asked_at = run.services.clock.now()
        reply = yield Ask(
            messages.AcquireSlot(
                request_id=slot_id,
                route=request.route,
                group=group,
                account=request.account,
                priority=request.priority,
                deadline_s=run.remaining_s,
                prefixes=request.prefixes,
                exclude=run.excluded,
                foreign=group != request.groups[0],
            ),
            (messages.SlotAcquired, messages.SlotRefused),
            min(SLOT_FRESH_S / 2, run.remaining_s),
        )
        if reply is not None:
            run.slot_until = asked_at + SLOT_FRESH_S
            return reply


def release(run: Run, observation: messages.Observation) -> Steps:
    """Give the slot back, if one is held."""
    held = run.slot
    if held is None:
        return
    run.slot = None
    yield Tell(
        messages.ReleaseSlot(
            request_id=held.request_id,
            route=held.route,
            group=run.group,
            target=held.target,
            version=held.version,
            owner=held.owner,
            observation=observation,
        ),
        acknowledged_by=messages.SlotReleased,
    )


def unsent() -> messages.Observation:
    """Return the observation of a slot that was not used."""
    return messages.Observation(
        sent=False,
        failed=False,
        truncated=False,
        first_token_s=-1,
        token_gap_s=-1,
        tokens=0,
    )
