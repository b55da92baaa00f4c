"""The end of a request: what is billed and what its key remembers."""

from typing import Any

from fuchsiafork import messages
from fuchsiafork.router import resources
from fuchsiafork.router.commands import (
    Answer,
    ReadRecord,
    Sleep,
    Spawn,
    TargetRecord,
    Tell,
)
from fuchsiafork.router.request_state import Run

_RECORD_S = 1.0
_FIRST_WAIT_S = 1.0
_LONGEST_WAIT_S = 30.0
# A target that is gone for longer has most likely been returned.
_GIVE_UP_S = 600.0
_CLIENT_ERROR = 400
_SERVER_ERROR = 500


def conclude(run: Run, answer: Answer) -> resources.Steps:
    """Settle and record a request whose answer is whole."""
    relayed = run.relayed
    if answer.status >= _SERVER_ERROR and not run.request.idempotent:
        # Such an answer does not say whether the call took effect.
        yield from _settle_unknown(run)
    else:
        yield from resources.settle(run, _price(run, answer), run.settle_key)
    yield from _record(
        run,
        state='done',
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
        replayable=relayed is not None and relayed.replayable,
        version=answer.version,
    )


def _price(run: Run, answer: Answer) -> int:
    """Return the tokens to bill for a whole answer."""
    if run.request.engine:
        return answer.tokens if answer.status < _CLIENT_ERROR else 0
    return run.request.flat_tokens


def conclude_failure(run: Run) -> resources.Steps:
    """Release, settle or cancel, and record a request that failed."""
    yield from resources.release(run, resources.unsent())
    if not run.request.idempotent and run.sent:
        yield from _settle_unknown(run)
    elif run.reached_caller and run.relayed is not None:
        yield from resources.settle(run, run.relayed.tokens, run.settle_key)
    else:
        yield from resources.cancel_reservation(run)
    yield from _record(run, state='unknown' if run.sent else 'not_run')


def _settle_unknown(run: Run) -> resources.Steps:
    """
    Bill a non-idempotent call without an answer by its target's record.

    The caller is not kept waiting for a target that can't be reached; its
    record is then read in the background.
    """
    used, held = run.last_used, run.reservation
    if used is None or held is None:
        return
    read = ReadRecord(used.target, used.url, held.request_id, _RECORD_S)
    record = yield read
    if record is None:
        yield Spawn(run.request.request_id, _settle_later(run, read))
        return
    yield from _settle_by(run, record)


def _settle_later(run: Run, read: ReadRecord) -> resources.Steps:
    """
    Read a record again until the target answers, then settle.

    After the last try the call counts as run, since it can't be repeated and
    its effect stands if there was one.
    """
    wait = _FIRST_WAIT_S
    waited = 0.0
    record = None
    while record is None and waited < _GIVE_UP_S:
        yield Sleep(wait)
        waited += wait
        wait = min(2 * wait, _LONGEST_WAIT_S)
        record = yield read
    yield from _settle_by(run, record)


def _settle_by(run: Run, record: TargetRecord | None) -> resources.Steps:
    """Settle a call by its target's record, or as run without one."""
    if record is not None and not record.found:
        yield from resources.cancel_reservation(run)
    else:
        yield from resources.settle(
            run, run.request.flat_tokens, run.settle_key
        )


def _record(run: Run, state: str, **answer: Any) -> resources.Steps:
    """Tell the key's home how the request ended."""
    if not run.bound:
        return
    run.bound = False
    fields = {
        'status': 0,
        'content_type': '',
        'body': b'',
        'replayable': False,
        'version': '',
        **answer,
    }
    yield Tell(
        messages.RecordOutcome(
            request_id=run.request.request_id,
            key=run.request.key,
            fingerprint=run.request.fingerprint,
            idempotent=run.request.idempotent,
            state=state,
            **fields,
        ),
        acknowledged_by=messages.OutcomeRecorded,
    )
