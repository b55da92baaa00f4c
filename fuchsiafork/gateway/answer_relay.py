"""Relays the answer of a target to the caller and classifies failures."""

import dataclasses
from collections.abc import Callable

from fuchsiafork.gateway.configuration import Route
from fuchsiafork.gateway.event_stream import (
    EventStreamParser,
    OversizedEventError,
)
from fuchsiafork.gateway.observed_answer import ObservedAnswer
from fuchsiafork.gateway.silence_policy import SilencePolicy, read_with_timeout
from fuchsiafork.gateway.target_call import (
    AnswerHead,
    TargetCall,
    TargetWithdrawnError,
)
from fuchsiafork.gateway.targets import Target
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
from fuchsiafork.transport.client_connection import (
    BrokenAnswerError,
    ConnectError,
)
from fuchsiafork.transport.memory import HeldMemory

# Longest answer other than an event stream.
MAX_BODY_BYTES = 4_194_304

_EVENT_STREAM = 'text/event-stream'
# Statuses that tell the caller that its request was not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_SERVER_ERRORS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedAnswer:
    """A complete answer that has not been sent to the caller yet."""

    head: AnswerHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """
    Why a target did not serve a request.

    :ivar error: error for the caller if no other target is tried.
    :ivar answer: the target's answer, which is forwarded instead of the error.
    :ivar possibly_sent: whether the target may have received the request.
    :ivar not_run: whether the target states that it did not run the request.
    :ivar stale_connection: whether the failure came on a reused connection
        that had yielded no answer to the call.
    :ivar unreachable: whether to back off from the target.
    :ivar silent: whether the target neither answered nor refused in time.
    :ivar target_at_fault: whether the failure counts against the target.
    :ivar broken: whether the connection ended before the whole answer.
    :ivar begun: whether the target had sent an event in this attempt.
    :ivar forwarded: whether the caller has a part of a plain answer, which no
        other target can go on with.
    :ivar withdrawn: whether the target stopped accepting requests before this
        one was sent.
    """

    error: FuchsiaforkError
    answer: BufferedAnswer | None = None
    possibly_sent: bool = True
    not_run: bool = False
    stale_connection: bool = False
    unreachable: bool = False
    silent: bool = False
    target_at_fault: bool = True
    broken: bool = False
    begun: bool = False
    forwarded: bool = False
    withdrawn: bool = False


class AnswerRelay:
    """
    Relays the answer to one request across all attempts.

    :ivar may_have_run: whether a target may have run the request.
    :ivar request_part: part that stands for the whole request.
    :ivar forwarding: whether a plain answer is forwarded as it arrives.
    """

    def __init__(
        self,
        request: CallerRequest,
        caller: CallerConnection,
        route: Route,
        metadata: wire.RequestMetadata,
        account: str,
        event_tokens: int,
        request_part: str,
        memory: HeldMemory,
        on_head: Callable[[Target, wire.ResponseMetadata], None],
    ) -> None:
        """
        Start before the first attempt.

        :param request_part: part that stands for the whole request.
        :param memory: holder of the answer while it is kept.
        :param on_head: called with each target that answers, and with the
            metadata of its answer; not for another target at a reused
            address.
        """
        self._on_head = on_head
        self.may_have_run = False
        self._request = request
        self._caller = caller
        self._route = route
        self._metadata = metadata
        self._account = account
        self._event_tokens = event_tokens
        self.request_part = request_part
        self._memory = memory
        self.forwarding = False
        self._event_parser = EventStreamParser()
        self._events_before_attempt = 0
        self._silence_policy = SilencePolicy(route)
        self._urgency: int | None = None

    @property
    def affinity_key(self) -> str:
        """Id of the prompt part that other requests share, empty if none."""
        parts = self._metadata.prompt_parts
        if not self._route.affinity or not parts:
            return ''
        return parts[-2] if len(parts) > 1 else parts[0]

    @property
    def prompt_tokens(self) -> int:
        """Number of prompt tokens, 0 if the request has no prompt."""
        return self._metadata.prompt_tokens

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the prompt parts that other requests may share."""
        return self._metadata.shared_parts

    @property
    def cost(self) -> int:
        """Tokens of the prompt and of the stream events forwarded so far."""
        delivered = self._event_parser.event_count * self._event_tokens
        limit = self._metadata.output_tokens
        return self._metadata.prompt_tokens + min(delivered, limit)

    async def attempt(
        self,
        call: TargetCall,
        observed: ObservedAnswer,
        remaining_s: float,
        silence_policy: SilencePolicy,
        urgency: int | None,
    ) -> Failure | None:
        """
        Return why the attempt failed, None once the answer was sent.

        :param observed: is told how far the answer has got.
        :param silence_policy: decides how long the target may be silent.
        :param urgency: rank for an engine, None for a request without a prompt.
        """
        self._urgency = urgency
        self._silence_policy = silence_policy
        self._events_before_attempt = self._event_parser.event_count
        try:
            await self._send(call, remaining_s)
        except ConnectError as error:
            return Failure(
                NoTargetError(str(error)),
                possibly_sent=False,
                unreachable=True,
                silent=error.silent,
            )
        except TargetWithdrawnError as error:
            return Failure(
                NoTargetError(str(error)), possibly_sent=False, withdrawn=True
            )
        except BrokenAnswerError as error:
            return self._interrupted_failure(call, observed, error)
        previously_may_have_run, self.may_have_run = self.may_have_run, True
        try:
            failure = await self._relay_answer(call, observed)
        except BrokenAnswerError as error:
            return self._interrupted_failure(call, observed, error)
        if failure is not None and failure.not_run:
            self.may_have_run = previously_may_have_run
        return failure

    def close(self) -> None:
        """Release what is kept of answers, once the caller has its own."""
        self._caller.release_when_sent(self._memory)

    def forward(self, answer: BufferedAnswer) -> None:
        """Send a buffered answer to the caller unchanged."""
        headers = wire.caller_headers(answer.head.headers)
        self._caller.answer(answer.head.status, headers, answer.body)

    async def _send(self, call: TargetCall, remaining_s: float) -> None:
        """Send the request; resume a stream after its last event id."""
        headers = wire.target_headers(
            self._request.headers,
            self._account,
            call.state.target.target_id,
            remaining_s,
            self._event_parser.last_id,
            self._urgency,
        )
        require_fresh = not self._route.retryable
        await call.send(
            self._request,
            self._metadata.request_id,
            headers,
            require_fresh=require_fresh,
        )

    async def _relay_answer(
        self, call: TargetCall, observed: ObservedAnswer
    ) -> Failure | None:
        """Return why the answer is not forwarded, None once it has been."""
        head = await self._read_head(call)
        if not head.misdirected:
            self._on_head(call.state.target, head.metadata)
        content_type = dict(head.headers).get('content-type', '')
        if head.success:
            _require_unaltered(head)
            if content_type.startswith(_EVENT_STREAM):
                await self._relay_events(call, observed, head)
                return None
        return await self._relay_body(call, observed, head)

    async def _relay_body(
        self, call: TargetCall, observed: ObservedAnswer, head: AnswerHead
    ) -> Failure | None:
        """
        Forward an answer that is no event stream once it is whole.

        It may come from another target until then. One for which there is no
        memory left is forwarded as it arrives.
        """
        # Growing one buffer for each of many answers leaves holes in the heap.
        pieces: list[bytes] = []
        size = 0
        chunk = await call.read_chunk()
        while chunk:
            pieces.append(chunk)
            size += len(chunk)
            _require_bounded(size)
            if not self._memory.grow(len(chunk)):
                return await self._forward_parts(call, observed, head, pieces)
            chunk = await call.read_chunk()
        answer = BufferedAnswer(head, b''.join(pieces))
        pieces.clear()
        failure = classify_answer(head, answer)
        if failure is None or not failure.not_run:
            observed.record_whole(
                success=head.success and not self._caller.started
            )
        if self._caller.started:
            return _stream_failure(failure, head)
        if failure is None:
            self.forward(answer)
        return failure

    async def _forward_parts(
        self,
        call: TargetCall,
        observed: ObservedAnswer,
        head: AnswerHead,
        pieces: list[bytes],
    ) -> Failure | None:
        """
        Forward an answer as it arrives, at the pace of the caller.

        :param pieces: the bytes received so far.
        """
        failure = classify_answer(head)
        if self._caller.started:
            return _stream_failure(failure, head)
        if failure is not None:
            return failure
        self.forwarding = True
        self._send_head(head)
        size = 0
        pieces.reverse()
        while pieces:
            chunk = pieces.pop()
            size += len(chunk)
            _require_bounded(size)
            self._caller.write(chunk)
            await self._caller.drain()
            if not pieces:
                self._memory.release()
                pieces += filter(None, (await call.read_chunk(),))
        observed.record_whole(success=head.success)
        self._caller.finish()
        return None

    async def _read_head(self, call: TargetCall) -> AnswerHead:
        """Return the answer's head."""
        request_id = self._metadata.request_id
        return await read_with_timeout(
            lambda: call.read_head(request_id),
            self._silence_policy,
            self._silence_policy.head_timeout_s(self._event_parser.event_count),
        )

    async def _relay_events(
        self, call: TargetCall, observed: ObservedAnswer, head: AnswerHead
    ) -> None:
        """
        Forward complete events of a stream as they arrive.

        :raises BrokenAnswerError: if the stream is incomplete.
        """
        chunk = await self._read_chunk(call)
        while chunk:
            events = self._parse_events(chunk)
            if events:
                observed.record_events(
                    self._event_parser.event_count - self._events_before_attempt
                )
                self._send_head(head)
                self._caller.write(events)
                await self._caller.drain()
            chunk = await self._read_chunk(call)
        if self._event_parser.discard_partial_event():
            raise BrokenAnswerError('the stream ended within an event')
        observed.record_whole(success=True)
        self._send_head(head)
        self._caller.finish()

    def _parse_events(self, chunk: bytes) -> bytes:
        """
        Return the events that a chunk completes.

        :raises BrokenAnswerError: if the bytes are no events.
        """
        try:
            return self._event_parser.feed(chunk)
        except OversizedEventError as error:
            raise BrokenAnswerError(str(error)) from None

    async def _read_chunk(self, call: TargetCall) -> bytes:
        """Return the next bytes of a stream, empty at its end."""
        return await read_with_timeout(
            call.read_chunk,
            self._silence_policy,
            self._silence_policy.gap_timeout_s(self._event_parser.event_count),
        )

    def _send_head(self, head: AnswerHead) -> None:
        """Send the head of the answer unless it was sent already."""
        if not self._caller.started:
            headers = wire.caller_headers(head.headers)
            self._caller.begin(head.status, headers)

    def _interrupted_failure(
        self,
        call: TargetCall,
        observed: ObservedAnswer,
        error: BrokenAnswerError,
    ) -> Failure:
        """Return the failure for a connection that broke during an attempt."""
        self._event_parser.discard_partial_event()
        caller_error: FuchsiaforkError
        if self._caller.started:
            caller_error = StreamTruncatedError(str(error))
        elif self._route.retryable:
            caller_error = TargetFailedError(str(error))
        else:
            caller_error = OutcomeUnknownError(str(error))
        return Failure(
            caller_error,
            stale_connection=call.stale_connection,
            unreachable=error.silent,
            silent=error.silent,
            target_at_fault=not call.stale_connection,
            broken=not error.silent,
            begun=observed.begun,
            forwarded=self.forwarding,
        )


def classify_answer(
    head: AnswerHead, answer: BufferedAnswer | None = None
) -> Failure | None:
    """
    Return the failure that an answer represents, None to forward it.

    :param answer: the whole answer, None if it isn't kept.
    """
    if head.misdirected:
        wrong_target = NoTargetError(
            'the address now belongs to another target'
        )
        return Failure(wrong_target, not_run=True, unreachable=True)
    if head.not_run and head.status in _NOT_RUN_STATUSES:
        not_accepted = QueueFullError('the target accepts no more requests')
        return Failure(not_accepted, not_run=True, target_at_fault=False)
    implies_not_run = head.status in _NOT_RUN_STATUSES
    if not implies_not_run and (head.not_run or head.status < _SERVER_ERRORS):
        return None
    target_failed = TargetFailedError(f'the target answered {head.status}')
    if implies_not_run:
        # Forwarding the status would tell the caller that the request was
        # not run, which the target did not state.
        return Failure(target_failed)
    return Failure(target_failed, answer=answer)


def _stream_failure(failure: Failure | None, head: AnswerHead) -> Failure:
    """Return the failure for an answer that doesn't continue a stream."""
    if failure is not None:
        return dataclasses.replace(failure, answer=None)
    return Failure(
        StreamTruncatedError(
            f'the target answered {head.status} instead of further events'
        )
    )


def _require_bounded(size: int) -> None:
    """
    Check the size of an answer.

    :raises BrokenAnswerError: if it is over the bound.
    """
    if size > MAX_BODY_BYTES:
        raise BrokenAnswerError('the answer body exceeds the size limit')


def _require_unaltered(head: AnswerHead) -> None:
    """
    Check that a successful answer shows no sign of an alteration.

    The MAC must be there; its value is not verified here.

    :raises BrokenAnswerError: if the MAC is missing or the body is encoded.
    """
    if not head.metadata.has_mac or head.metadata.encoded:
        raise BrokenAnswerError(
            'the answer has no MAC or its encoding was changed'
        )
