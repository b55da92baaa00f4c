"""
The life of one request, as a generator of commands.

A worker thread and a virtual-time driver run the same generator: each sends
the reply to the last command in and gets the next command out.
"""
# A generator's return value is the answer here.
# ruff: file-ignore[return-in-generator]

import dataclasses
from collections.abc import Generator
from typing import Any

from fuchsiafork import messages
from fuchsiafork.kernel import FuchsiaforkError
from fuchsiafork.kernel.errors import (
    OutcomeUnknownError,
    SlowCallerError,
    StreamTruncatedError,
    TargetFailedError,
)
from fuchsiafork.router import resources
from fuchsiafork.router.commands import (
    REPLAY_BYTES,
    Answer,
    CallTarget,
    Command,
    ConnectFailed,
    DropAnswer,
    Relayed,
    RelayStream,
    Request,
    Services,
    Sleep,
    TargetHead,
    Tell,
)
from fuchsiafork.router.completion import conclude, conclude_failure
from fuchsiafork.router.request_state import Run, true_error
from fuchsiafork.router.retry_budget import MAX_ATTEMPTS, backoff_s
from fuchsiafork.router.target_request import (
    REQUEST_ID,
    target_body,
    target_headers,
)

_SERVER_ERROR = 500
_TOO_MANY = 429
_HIDDEN = frozenset((
    'connection',
    'content-length',
    'keep-alive',
    'transfer-encoding',
    'x-request-id',
))


class _AttemptFailedError(Exception):
    """An attempt failed and another one is allowed by its kind."""

    def __init__(self, error: FuchsiaforkError) -> None:
        """Keep the error that ends the request if there is no other try."""
        super().__init__(str(error))
        self.error = error


def serve_request(
    request: Request,
    services: Services,
) -> Generator[Command, Any, Answer]:
    """
    Return the answer to a request.

    :raises FuchsiaforkError: with a run state that is true of the request.
    """
    run = Run(request, services)
    services.retries.earn()
    try:
        answer = yield from _attempts(run)
    except FuchsiaforkError as error:
        yield from conclude_failure(run)
        raise true_error(run, error) from error
    except Exception:
        yield from conclude_failure(run)
        raise
    return answer


def _attempts(run: Run) -> resources.Steps:
    """Return the answer of the first attempt that succeeds."""
    body = target_body(run.request)
    replay = yield from resources.bind(run)
    if replay is not None:
        return replay
    attempt = 0
    while True:
        try:
            answer = yield from _attempt(run, body)
        except _AttemptFailedError as failure:
            attempt += 1
            if not _may_retry(run, attempt):
                raise failure.error from None
            wait = backoff_s(attempt, run.services.random)
            yield Sleep(min(wait, max(0.0, run.remaining_s)))
        else:
            return answer


def _may_retry(run: Run, attempt: int) -> bool:
    """Return whether another attempt is allowed."""
    if run.sent and not run.request.idempotent:
        return False
    if run.reached_caller or run.remaining_s <= 0:
        return False
    return attempt < MAX_ATTEMPTS and run.services.retries.spend()


def _attempt(run: Run, body: bytes) -> resources.Steps:
    """Return the answer of one call to one target."""
    yield from resources.prepare(run)
    slot, reservation = run.slot, run.reservation
    assert slot is not None and reservation is not None  # ruff: ignore[assert]
    yield Tell(
        messages.StartUse(
            request_id=reservation.request_id,
            budget=reservation.budget,
            holder=reservation.holder,
            target=slot.target,
        ),
    )
    call = CallTarget(
        target=slot.target,
        url=slot.url,
        method=run.request.method,
        path=run.request.path,
        headers=target_headers(
            run.request,
            run.services,
            reservation.request_id,
        ),
        body=body,
        deadline=run.request.deadline,
    )
    # The yield above can take any time, so both deadlines are read again
    # right before the call.
    yield from resources.prepare(run)
    if run.slot is not slot or run.reservation is not reservation:
        return (yield from _attempt(run, body))
    reply = yield call
    return (yield from _take_reply(run, reply, call))


def _take_reply(run: Run, reply: Any, call: CallTarget) -> resources.Steps:
    """Return the answer that a target's reply leads to."""
    if isinstance(reply, ConnectFailed):
        yield from _fail(run, 'connect failed')
    run.sent = True
    run.last_used = run.slot
    run.relayed = None
    if not isinstance(reply, TargetHead):
        yield from _fail(run, 'the connection broke')
    if not _is_own_answer(call, reply):
        run.services.events.record(
            'crossed_answer',
            request_id=run.request.request_id,
            target=call.target,
        )
        yield DropAnswer()
        yield from _fail(run, 'the answer belongs to another request')
    if _is_retryable(run, reply.status):
        yield DropAnswer()
        yield from _fail(run, f'status {reply.status}')
    return (yield from _relay(run, reply))


def _is_own_answer(call: CallTarget, head: TargetHead) -> bool:
    """Return whether an answer names the request that was sent."""
    return head.headers.get(REQUEST_ID.lower()) == call.headers[REQUEST_ID]


def _is_retryable(run: Run, status: int) -> bool:
    """Return whether a status counts as a failure of the target."""
    failed = status >= _SERVER_ERROR or status == _TOO_MANY
    # The answer of a non-idempotent call is the caller's, whatever it says.
    return failed and run.request.idempotent


def _fail(run: Run, reason: str) -> resources.Steps:
    """
    Give the slot back after a failed attempt.

    :raises _AttemptFailedError: always.
    """
    slot = run.slot
    if slot is not None:
        run.excluded = (*run.excluded, slot.target)
    yield from resources.release(
        run,
        dataclasses.replace(resources.unsent(), sent=run.sent, failed=True),
    )
    raise _AttemptFailedError(_failure(run, reason))


def _failure(run: Run, reason: str) -> FuchsiaforkError:
    """Return the error of a request whose last attempt failed."""
    if not run.sent:
        return resources.NoTargetError(reason, retry_after=1)
    if run.request.idempotent:
        return TargetFailedError(reason, retry_after=1)
    return OutcomeUnknownError(reason)


def _relay(run: Run, head: TargetHead) -> resources.Steps:
    """Return the answer after it was relayed to the caller."""
    request, slot, reservation = run.request, run.slot, run.reservation
    assert slot is not None and reservation is not None  # ruff: ignore[assert]
    headers = {
        name: value
        for name, value in head.headers.items()
        if name not in _HIDDEN
    }
    headers['x-request-id'] = request.request_id
    headers['x-target-version'] = slot.version
    relayed = yield RelayStream(
        status=head.status,
        headers=headers,
        prompt_tokens=request.prompt_tokens if request.engine else 0,
        token_limit=reservation.tokens if request.engine else 0,
        keep_bytes=REPLAY_BYTES,
        drain=not request.idempotent,
        deadline=request.deadline,
    )
    run.relayed = relayed
    yield from resources.release(run, _observe(relayed, head))
    if relayed.cut:
        run.services.events.record(
            'target_over_limit',
            request_id=request.request_id,
            target=slot.target,
        )
    if not relayed.complete and not relayed.cut:
        _raise_truncated(run, relayed)
    answer = Answer(
        request_id=request.request_id,
        first_request_id=request.request_id,
        status=head.status,
        content_type=head.headers.get('content-type', ''),
        body=relayed.body,
        version=slot.version,
        tokens=relayed.tokens,
        relayed=True,
    )
    yield from conclude(run, answer)
    if relayed.caller_gone:
        raise SlowCallerError('the caller left before the answer ended')
    return answer


def _observe(relayed: Relayed, head: TargetHead) -> messages.Observation:
    """Return what the stream says of its target."""
    broken = not (relayed.complete or relayed.cut or relayed.caller_gone)
    return messages.Observation(
        sent=True,
        failed=broken or relayed.cut or head.status >= _SERVER_ERROR,
        truncated=broken,
        first_token_s=relayed.first_token_s,
        token_gap_s=relayed.token_gap_s,
        tokens=relayed.tokens,
    )


def _raise_truncated(run: Run, relayed: Relayed) -> None:
    """
    End an attempt whose answer is not whole.

    :raises FuchsiaforkError: if the caller has seen a part of it or is gone.
    :raises _AttemptFailedError: if the caller has seen nothing.
    """
    if not run.request.idempotent:
        raise OutcomeUnknownError('the answer ended early')
    if relayed.caller_gone:
        raise SlowCallerError('the caller left before the answer ended')
    if relayed.reached_caller:
        raise StreamTruncatedError('the answer ended early', retry_after=1)
    raise _AttemptFailedError(TargetFailedError('the answer ended early'))
