"""
State machine of one request, as a generator that yields commands.

A worker thread and a virtual-time driver run the same generator: each sends
the reply to the last command and receives the next command.
"""
# The return value of each generator is its result.
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
    RelayResult,
    RelayStream,
    Request,
    SendMessage,
    SharedState,
    Sleep,
    TargetHead,
)
from fuchsiafork.router.completion import complete_answered, complete_failed
from fuchsiafork.router.request_state import RequestState, with_true_run_state
from fuchsiafork.router.retry_budget import MAX_ATTEMPTS, backoff_s
from fuchsiafork.router.target_request import (
    REQUEST_ID_HEADER,
    target_body,
    target_headers,
)

_SERVER_ERROR = 500
_TOO_MANY_REQUESTS = 429
_REPLACED_HEADERS = frozenset((
    'connection',
    'content-length',
    'keep-alive',
    'transfer-encoding',
    'x-request-id',
))


class _AttemptFailedError(Exception):
    """An attempt failed in a way that permits another attempt."""

    def __init__(self, error: FuchsiaforkError) -> None:
        """Keep the error to raise if no further attempt is made."""
        super().__init__(str(error))
        self.error = error


def serve_request(
    request: Request,
    shared: SharedState,
) -> Generator[Command, Any, Answer]:
    """
    Return the answer to a request.

    :raises FuchsiaforkError: with the run state of the whole request.
    """
    state = RequestState(request, shared)
    shared.retry_budget.count_request()
    try:
        answer = yield from _run_attempts(state)
    except FuchsiaforkError as error:
        yield from complete_failed(state)
        raise with_true_run_state(state, error) from error
    except Exception:
        yield from complete_failed(state)
        raise
    return answer


def _run_attempts(state: RequestState) -> resources.Steps:
    """Return the answer of the first attempt that succeeds."""
    body = target_body(state.request)
    replay = yield from resources.bind_key(state)
    if replay is not None:
        return replay
    attempt = 0
    while True:
        try:
            answer = yield from _run_attempt(state, body)
        except _AttemptFailedError as failure:
            attempt += 1
            if not _may_retry(state, attempt):
                raise failure.error from None
            wait = backoff_s(attempt, state.shared.random)
            yield Sleep(min(wait, max(0.0, state.remaining_s)))
        else:
            return answer


def _may_retry(state: RequestState, attempt: int) -> bool:
    """Return whether another attempt is allowed."""
    if state.sent and not state.request.idempotent:
        return False
    if state.reached_caller or state.remaining_s <= 0:
        return False
    return attempt < MAX_ATTEMPTS and state.shared.retry_budget.try_acquire()


def _run_attempt(state: RequestState, body: bytes) -> resources.Steps:
    """Return the answer of one call to one target."""
    yield from resources.acquire_resources(state)
    slot, reservation = state.slot, state.reservation
    assert slot is not None and reservation is not None  # ruff: ignore[assert]
    yield SendMessage(
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
        method=state.request.method,
        path=state.request.path,
        headers=target_headers(
            state.request,
            state.shared,
            reservation.request_id,
        ),
        body=body,
        deadline=state.request.deadline,
    )
    # The yield above can take arbitrarily long, so both expiry times are
    # checked again immediately before the call.
    yield from resources.acquire_resources(state)
    if state.slot is not slot or state.reservation is not reservation:
        return (yield from _run_attempt(state, body))
    reply = yield call
    return (yield from _handle_target_reply(state, reply, call))


def _handle_target_reply(
    state: RequestState, reply: Any, call: CallTarget
) -> resources.Steps:
    """Relay a target's answer, or fail the attempt."""
    if isinstance(reply, ConnectFailed):
        yield from _fail_attempt(state, 'connection to the target failed')
    state.sent = True
    state.last_sent_slot = state.slot
    state.relayed = None
    if not isinstance(reply, TargetHead):
        yield from _fail_attempt(state, 'the connection to the target broke')
    if not _matches_request(call, reply):
        state.shared.events.record(
            'crossed_answer',
            request_id=state.request.request_id,
            target=call.target,
        )
        yield DropAnswer()
        yield from _fail_attempt(state, 'the answer belongs to another request')
    if _is_retryable(state, reply.status):
        yield DropAnswer()
        yield from _fail_attempt(state, f'the target answered {reply.status}')
    return (yield from _relay_answer(state, reply))


def _matches_request(call: CallTarget, head: TargetHead) -> bool:
    """Return whether an answer's request id is that of the call."""
    return (
        head.headers.get(REQUEST_ID_HEADER.lower())
        == call.headers[REQUEST_ID_HEADER]
    )


def _is_retryable(state: RequestState, status: int) -> bool:
    """Return whether a status permits another attempt."""
    failed = status >= _SERVER_ERROR or status == _TOO_MANY_REQUESTS
    # Every answer of a non-idempotent call is passed to the caller.
    return failed and state.request.idempotent


def _fail_attempt(state: RequestState, reason: str) -> resources.Steps:
    """
    Release the slot after a failed attempt.

    :raises _AttemptFailedError: always.
    """
    slot = state.slot
    if slot is not None:
        state.excluded_targets = (*state.excluded_targets, slot.target)
    yield from resources.release_slot(
        state,
        dataclasses.replace(
            resources.unused_observation(), sent=state.sent, failed=True
        ),
    )
    raise _AttemptFailedError(_make_error(state, reason))


def _make_error(state: RequestState, reason: str) -> FuchsiaforkError:
    """Return the error for a failed attempt."""
    if not state.sent:
        return resources.NoTargetError(reason, retry_after=1)
    if state.request.idempotent:
        return TargetFailedError(reason, retry_after=1)
    return OutcomeUnknownError(reason)


def _relay_answer(state: RequestState, head: TargetHead) -> resources.Steps:
    """Relay the answer to the caller and return it."""
    request, slot, reservation = state.request, state.slot, state.reservation
    assert slot is not None and reservation is not None  # ruff: ignore[assert]
    headers = {
        name: value
        for name, value in head.headers.items()
        if name not in _REPLACED_HEADERS
    }
    headers['x-request-id'] = request.request_id
    headers['x-target-version'] = slot.version
    relayed = yield RelayStream(
        status=head.status,
        headers=headers,
        prompt_tokens=request.prompt_tokens if request.engine else 0,
        token_limit=reservation.tokens if request.engine else 0,
        max_body_bytes=REPLAY_BYTES,
        drain=not request.idempotent,
        deadline=request.deadline,
    )
    state.relayed = relayed
    yield from resources.release_slot(state, _make_observation(relayed, head))
    if relayed.over_limit:
        state.shared.events.record(
            'target_over_limit',
            request_id=request.request_id,
            target=slot.target,
        )
    if not relayed.complete and not relayed.over_limit:
        _raise_truncated(state, relayed)
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
    yield from complete_answered(state, answer)
    if relayed.caller_gone:
        raise SlowCallerError('the caller left before the answer ended')
    return answer


def _make_observation(
    relayed: RelayResult, head: TargetHead
) -> messages.Observation:
    """Return the observation of the target's answer."""
    broken = not (relayed.complete or relayed.over_limit or relayed.caller_gone)
    return messages.Observation(
        sent=True,
        failed=broken or relayed.over_limit or head.status >= _SERVER_ERROR,
        truncated=broken,
        first_token_s=relayed.first_token_s,
        token_gap_s=relayed.token_gap_s,
        tokens=relayed.tokens,
    )


def _raise_truncated(state: RequestState, relayed: RelayResult) -> None:
    """
    End an attempt whose answer is incomplete.

    :raises FuchsiaforkError: if the call is not idempotent, or the caller
        has received a part of the answer or disconnected.
    :raises _AttemptFailedError: if the caller has received nothing.
    """
    if not state.request.idempotent:
        raise OutcomeUnknownError('the answer ended early')
    if relayed.caller_gone:
        raise SlowCallerError('the caller left before the answer ended')
    if relayed.reached_caller:
        raise StreamTruncatedError('the answer ended early', retry_after=1)
    raise _AttemptFailedError(TargetFailedError('the answer ended early'))
