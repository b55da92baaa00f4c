"""Ends a request: settles its tokens and records its key's outcome."""

from typing import Any

from fuchsiafork import messages
from fuchsiafork.router import resources
from fuchsiafork.router.commands import (
    Answer,
    ReadTargetRecord,
    SendMessage,
    Sleep,
    Spawn,
    TargetRecord,
)
from fuchsiafork.router.request_state import RequestState

_READ_TIMEOUT_S = 1.0
_MIN_BACKOFF_S = 1.0
_MAX_BACKOFF_S = 30.0
# A target that is unreachable for longer has most likely been returned.
_MAX_WAIT_S = 600.0
_CLIENT_ERROR = 400
_SERVER_ERROR = 500


def complete_answered(state: RequestState, answer: Answer) -> resources.Steps:
    """Settle and record a request whose answer is complete."""
    relayed = state.relayed
    if answer.status >= _SERVER_ERROR and not state.request.idempotent:
        # Such an answer does not tell whether the call took effect.
        yield from _settle_unknown(state)
    else:
        yield from resources.settle(
            state, _billable_tokens(state, answer), state.settle_key
        )
    yield from _record_outcome(
        state,
        outcome='done',
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
        replayable=relayed is not None and relayed.replayable,
        version=answer.version,
    )


def _billable_tokens(state: RequestState, answer: Answer) -> int:
    """Return the tokens to bill for a complete answer."""
    if state.request.engine:
        return answer.tokens if answer.status < _CLIENT_ERROR else 0
    return state.request.flat_tokens


def complete_failed(state: RequestState) -> resources.Steps:
    """Release, settle or cancel, and record a request that failed."""
    yield from resources.release_slot(state, resources.unused_observation())
    if not state.request.idempotent and state.sent:
        yield from _settle_unknown(state)
    elif state.reached_caller and state.relayed is not None:
        yield from resources.settle(
            state, state.relayed.tokens, state.settle_key
        )
    else:
        yield from resources.cancel_reservation(state)
    yield from _record_outcome(
        state, outcome='unknown' if state.sent else 'not_run'
    )


def _settle_unknown(state: RequestState) -> resources.Steps:
    """
    Bill an unanswered non-idempotent call according to its target's record.

    If the target can't be reached, its record is read in the background so
    that the caller need not wait.
    """
    sent_slot, reservation = state.last_sent_slot, state.reservation
    if sent_slot is None or reservation is None:
        return
    read = ReadTargetRecord(
        sent_slot.target, sent_slot.url, reservation.request_id, _READ_TIMEOUT_S
    )
    record = yield read
    if record is None:
        yield Spawn(state.request.request_id, _settle_later(state, read))
        return
    yield from _settle_by_record(state, record)


def _settle_later(
    state: RequestState, read: ReadTargetRecord
) -> resources.Steps:
    """
    Poll the target's record until the target answers, then settle.

    After the last attempt the call counts as run, since it can't be retried
    and any effect that it had remains.
    """
    wait = _MIN_BACKOFF_S
    waited = 0.0
    record = None
    while record is None and waited < _MAX_WAIT_S:
        yield Sleep(wait)
        waited += wait
        wait = min(2 * wait, _MAX_BACKOFF_S)
        record = yield read
    yield from _settle_by_record(state, record)


def _settle_by_record(
    state: RequestState, record: TargetRecord | None
) -> resources.Steps:
    """Settle a call by its target's record; without one it counts as run."""
    if record is not None and not record.found:
        yield from resources.cancel_reservation(state)
    else:
        yield from resources.settle(
            state, state.request.flat_tokens, state.settle_key
        )


def _record_outcome(
    state: RequestState, outcome: str, **answer: Any
) -> resources.Steps:
    """Report the request's outcome to the key's owner."""
    if not state.must_report_outcome:
        return
    state.must_report_outcome = False
    fields = {
        'status': 0,
        'content_type': '',
        'body': b'',
        'replayable': False,
        'version': '',
        **answer,
    }
    yield SendMessage(
        messages.RecordOutcome(
            request_id=state.request.request_id,
            key=state.request.key,
            fingerprint=state.request.fingerprint,
            idempotent=state.request.idempotent,
            state=outcome,
            **fields,
        ),
        acknowledged_by=messages.OutcomeRecorded,
    )
