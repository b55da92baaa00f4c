"""The end of a request: what is billed and what its key remembers."""

from typing import Any

from fuchsiafork import messages
from fuchsiafork.router import machine_steps as steps
from fuchsiafork.router.machine_state import Run
from fuchsiafork.router.machine_types import Answer, ReadRecord, Tell

_RECORD_S = 1.0
_CLIENT_ERROR = 400
_SERVER_ERROR = 500


def conclude(run: Run, answer: Answer) -> steps.Steps:
    """Settle and record a request whose answer is whole."""
    relayed = run.relayed
    if answer.status >= _SERVER_ERROR and not run.request.idempotent:
        # Such an answer does not say whether the call took effect.
        yield from _settle_unknown(run)
    else:
        yield from steps.settle(run, _price(run, answer), run.settle_key)
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


def conclude_failure(run: Run) -> steps.Steps:
    """Release, settle or cancel, and record a request that failed."""
    yield from steps.release(run, steps.unsent())
    if not run.request.idempotent and run.sent:
        yield from _settle_unknown(run)
    elif run.reached_caller and run.relayed is not None:
        yield from steps.settle(run, run.relayed.tokens, run.settle_key)
    else:
        yield from steps.cancel_reservation(run)
    yield from _record(run, state='unknown' if run.sent else 'not_run')


def _settle_unknown(run: Run) -> steps.Steps:
    """
    Bill a non-idempotent call without an answer by its target's record.

    Without a record the call counts as run, since it can't be repeated and
    its effect stands if there was one.
    """
    used, held = run.last_used, run.reservation
    if used is None or held is None:
        return
    record = yield ReadRecord(
        used.target,
        used.url,
        held.request_id,
        _RECORD_S,
    )
    if record is not None and not record.found:
        yield from steps.cancel_reservation(run)
        return
    yield from steps.settle(run, run.request.flat_tokens, run.settle_key)


def _record(run: Run, state: str, **answer: Any) -> steps.Steps:
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
