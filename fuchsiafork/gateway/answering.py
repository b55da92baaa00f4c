"""Turns the answers of targets into the one answer that a caller gets."""

import asyncio
import dataclasses
from collections.abc import Coroutine
from typing import Any, TypeVar

from fuchsiafork.gateway.call import AnswerHead, TargetCall
from fuchsiafork.gateway.catalog import Route
from fuchsiafork.gateway.events import EventRelay
from fuchsiafork.kernel import FuchsiaforkError
from fuchsiafork.kernel.errors import (
    NoTargetError,
    OutcomeUnknownError,
    QueueFullError,
    StreamTruncatedError,
    TargetFailedError,
)
from fuchsiafork.platform import headers as wire
from fuchsiafork.transport.caller import CallerConnection, CallerRequest
from fuchsiafork.transport.target import BrokenAnswerError, ConnectError

# An answer that is no event stream is held until it is whole, up to this.
WHOLE_ANSWER_BYTES = 4_194_304
# Longest silence of a target before a repeatable request goes elsewhere: as
# a multiple of the objective, and at least so many seconds.
HEAD_PATIENCE = 3.0
HEAD_PATIENCE_S = 1.0
GAP_PATIENCE = 4.0
GAP_PATIENCE_S = 1.0
# Prompt tokens by which the urgency falls by one, and the last of its ranks.
URGENCY_TOKENS = 1500
MOST_URGENCY = 9

_Read = TypeVar('_Read')
_EVENT_STREAM = 'text/event-stream'
# Statuses with which a caller is promised that its request was not run.
_PROMISES = frozenset((408, 421, 429, 503))
_SERVER_ERRORS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class HeldAnswer:
    """A whole answer that no caller has been sent yet."""

    head: AnswerHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """
    Why a target did not serve a request.

    :ivar error: what the caller is told if no other target is asked.
    :ivar held: the target's own answer, passed on in place of the error.
    :ivar counts: whether the target may have got the request.
    :ivar not_run: whether the target says that it has not run it.
    :ivar stale: whether a kept connection had ended unnoticed.
    :ivar unreachable: whether the target should be left alone for a while.
    :ivar silent: whether the target neither answered nor refused.
    :ivar blames: whether the failure speaks against the target.
    """

    error: FuchsiaforkError
    held: HeldAnswer | None = None
    counts: bool = True
    not_run: bool = False
    stale: bool = False
    unreachable: bool = False
    silent: bool = False
    blames: bool = True


class Answering:
    """
    The answer to one request, over all its attempts.

    :ivar may_have_run: whether a target may have run the request.
    """

    def __init__(
        self,
        request: CallerRequest,
        caller: CallerConnection,
        route: Route,
        facts: wire.RequestMetadata,
        account: str,
        event_tokens: int,
    ) -> None:
        """Start before the first attempt."""
        self.may_have_run = False
        self._request = request
        self._caller = caller
        self._route = route
        self._facts = facts
        self._account = account
        self._event_tokens = event_tokens
        self._relay = EventRelay()

    @property
    def affinity_key(self) -> str:
        """Name of the part of the prompt that other requests share."""
        parts = self._facts.prompt_parts
        if not self._route.affinity or not parts:
            return ''
        return parts[-2] if len(parts) > 1 else parts[0]

    @property
    def route_name(self) -> str:
        """Name of the route."""
        return self._route.name

    @property
    def cost(self) -> int:
        """Tokens that the request has cost so far."""
        delivered = self._relay.count * self._event_tokens
        most = self._facts.output_tokens
        return self._facts.prompt_tokens + min(delivered, most)

    async def attempt(
        self,
        call: TargetCall,
        remaining_s: float,
    ) -> Failure | None:
        """Return why a target did not answer, None if the caller has it."""
        try:
            await self._send(call, remaining_s)
        except ConnectError as error:
            return Failure(
                NoTargetError(str(error)),
                counts=False,
                unreachable=True,
                silent=error.silent,
            )
        except BrokenAnswerError as error:
            return self._broken(call, error)
        ran_before, self.may_have_run = self.may_have_run, True
        try:
            failure = await self._relay_answer(call)
        except BrokenAnswerError as error:
            return self._broken(call, error)
        if failure is not None and failure.not_run:
            self.may_have_run = ran_before
        return failure

    def pass_on(self, answer: HeldAnswer) -> None:
        """Send a whole answer to the caller as the target gave it."""
        headers = wire.caller_headers(answer.head.headers)
        self._caller.answer(answer.head.status, headers, answer.body)

    async def _send(self, call: TargetCall, remaining_s: float) -> None:
        """Send the request, or what is missing of its stream."""
        headers = wire.target_headers(
            self._request.headers,
            self._account,
            call.row.target.target_id,
            remaining_s,
            self._relay.last_id,
            self._urgency,
        )
        sound = not self._route.repeatable
        await call.send(self._request, headers, sound=sound)

    async def _relay_answer(self, call: TargetCall) -> Failure | None:
        """Return why the answer can't be passed on, None once it has been."""
        head = await self._read_head(call)
        content = dict(head.headers).get('content-type', '')
        if head.success:
            _require_authentic(head)
            if content.startswith(_EVENT_STREAM):
                await self._relay_events(call, head)
                return None
        body = await call.read_body(WHOLE_ANSWER_BYTES)
        answer = HeldAnswer(head, body)
        failure = judge(answer)
        if failure is None:
            self.pass_on(answer)
        return failure

    async def _read_head(self, call: TargetCall) -> AnswerHead:
        """Return the head of the answer."""
        request_id = self._facts.request_id
        if not self._may_repeat:
            return await call.read_head(request_id)
        patience = max(HEAD_PATIENCE_S, HEAD_PATIENCE * self._route.slo_s)
        return await within(patience, call.read_head(request_id))

    @property
    def _urgency(self) -> int | None:
        """Rank of the request in an engine's batch, 0 first."""
        if not self._facts.prompt_tokens:
            return None
        return rank_by_size(self._facts.prompt_tokens)

    @property
    def _may_repeat(self) -> bool:
        """Whether another target may be asked after this one."""
        return self._route.repeatable and self._route.max_targets > 1

    async def _relay_events(self, call: TargetCall, head: AnswerHead) -> None:
        """
        Pass on the events of a stream.

        :raises BrokenAnswerError: if it ends before it is whole.
        """
        piece = await self._read_piece(call)
        while piece:
            whole = self._relay.feed(piece)
            if whole:
                self._begin(head)
                self._caller.write(whole)
                await self._caller.drain()
            piece = await self._read_piece(call)
        if self._relay.drain():
            raise BrokenAnswerError('the stream ended within an event')
        self._begin(head)
        self._caller.finish()

    async def _read_piece(self, call: TargetCall) -> bytes:
        """Return the next bytes of a stream, none at its end."""
        if not self._may_repeat:
            return await call.read_piece()
        patience = max(GAP_PATIENCE_S, GAP_PATIENCE * self._route.gap_s)
        return await within(patience, call.read_piece())

    def _begin(self, head: AnswerHead) -> None:
        """Send the head of the answer, once."""
        if not self._caller.started:
            headers = wire.caller_headers(head.headers)
            self._caller.begin(head.status, headers)

    def _broken(self, call: TargetCall, error: BrokenAnswerError) -> Failure:
        """Return the failure of an answer that broke off."""
        self._relay.drain()
        found: FuchsiaforkError
        if self._caller.started:
            found = StreamTruncatedError(str(error))
        elif self._route.repeatable:
            found = TargetFailedError(str(error))
        else:
            found = OutcomeUnknownError(str(error))
        return Failure(
            found,
            stale=call.stale,
            unreachable=error.silent,
            silent=error.silent,
            blames=not call.stale,
        )


def rank_by_size(prompt_tokens: int) -> int:
    """Return the urgency of a prompt: short ones are read first."""
    return min(MOST_URGENCY, prompt_tokens // URGENCY_TOKENS)


def judge(answer: HeldAnswer) -> Failure | None:
    """Return why a whole answer is no service, None if it is to be sent."""
    head = answer.head
    if head.misdirected:
        gone = NoTargetError('another target has the address')
        return Failure(gone, not_run=True, unreachable=True)
    if head.not_run and head.status in _PROMISES:
        full = QueueFullError('the target takes no more requests')
        return Failure(full, not_run=True, blames=False)
    promise = head.status in _PROMISES
    if not promise and (head.not_run or head.status < _SERVER_ERRORS):
        return None
    failed = TargetFailedError(f'the target answered {head.status}')
    if promise:
        # The status would promise that the request has not run.
        return Failure(failed)
    return Failure(failed, held=answer)


def _require_authentic(head: AnswerHead) -> None:
    """
    Check that a success is the target's own.

    :raises BrokenAnswerError: if it isn't.
    """
    if not head.facts.authentic or head.facts.encoded:
        raise BrokenAnswerError("the answer is not the target's own")


async def within(seconds: float, reading: Coroutine[Any, Any, _Read]) -> _Read:
    """
    Return what is read, if it comes in time.

    :raises BrokenAnswerError: if it doesn't.
    """
    try:
        async with asyncio.timeout(seconds):
            return await reading
    except TimeoutError:
        raise BrokenAnswerError(
            f'silent for {seconds:.1f} s',
            silent=True,
        ) from None
