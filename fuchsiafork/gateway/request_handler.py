"""Handles one request of a caller, from admission to settlement."""

import asyncio

from fuchsiafork.gateway.answer_relay import AnswerRelay
from fuchsiafork.gateway.configuration import Account, Configuration, Route
from fuchsiafork.gateway.place_request import PlaceRequest, acquire_place
from fuchsiafork.gateway.request_attempts import RequestAttempts
from fuchsiafork.gateway.request_matching import match_request
from fuchsiafork.gateway.request_record import RequestRecord
from fuchsiafork.gateway.shared_state import SharedState
from fuchsiafork.gateway.waiting_requests import Place
from fuchsiafork.gateway.work_estimation import estimate_work
from fuchsiafork.kernel import FuchsiaforkError
from fuchsiafork.kernel.errors import (
    BadRequestError,
    ConfigurationUnconfirmedError,
    DeadlineError,
    NotConfiguredError,
    OutcomeUnknownError,
    QuarantinedError,
    RouteNotFoundError,
    RunState,
    TargetsPausedError,
    TargetTimeoutError,
    UnauthorizedError,
    UnexpectedError,
)
from fuchsiafork.kernel.refusals import refusal_body
from fuchsiafork.platform import headers as wire
from fuchsiafork.prepaid import Reservation
from fuchsiafork.quarantine import request_part
from fuchsiafork.transport.caller import CallerConnection, CallerRequest

# Default Retry-After of a refusal with status 503.
RETRY_AFTER_S = 0.4
# Multiples of that time between which callers return.
SPREAD = (0.7, 1.3)
# The same if nothing can be served before the time.
LATER_SPREAD = (1.0, 1.6)
# Upper limit of Retry-After, as a fraction of the time until the deadline.
MAX_RETRY_AFTER_FRACTION = 0.3

_UNAVAILABLE = 503


class RequestHandler:
    """Handles one request of a caller."""

    def __init__(
        self,
        request: CallerRequest,
        caller: CallerConnection,
        shared: SharedState,
    ) -> None:
        """Prepare to handle a request; its time limit starts now."""
        self._request = request
        self._caller = caller
        self._shared = shared
        self._record = RequestRecord('', request.path)
        self._started_at = shared.clock.now()
        self._deadline = self._started_at
        self._reservation: Reservation | None = None
        self._place: Place | None = None
        self._answer_relay: AnswerRelay | None = None

    async def run(self) -> None:
        """Answer the request or refuse it."""
        try:
            await self._run()
        finally:
            self._release_answer()
            if self._place is not None:
                self._place.release()

    def _release_answer(self) -> None:
        """Release the memory of the answer; count one that didn't fit."""
        if self._answer_relay is None:
            return
        self._answer_relay.close()
        if self._answer_relay.forwarding:
            self._shared.metrics.forwarded_answers.inc()

    async def _run(self) -> None:
        """Answer the request or refuse it; see run()."""
        error: FuchsiaforkError | None = None
        try:
            await self._serve()
        except asyncio.CancelledError:
            self._settle()
            self._log_caller_left()
            raise
        except Exception as exc:
            error = self._expected_error(exc)
        finally:
            self._settle()
        if error is None:
            self._log_answered()
        else:
            self._refuse(error)

    async def _serve(self) -> None:
        """
        Answer the request.

        :raises FuchsiaforkError: if the request can't be answered.
        """
        metadata = self._parse_headers()
        self._record.request_id = metadata.request_id
        configuration = self._shared.configuration
        if configuration is None:
            raise NotConfiguredError('no configuration yet', retry_after=1)
        try:
            route, account = self._match(configuration, metadata)
        except (RouteNotFoundError, UnauthorizedError):
            configuration = await self._confirm_configuration()
            route, account = self._match(configuration, metadata)
        self._set_deadline(route, metadata)
        self._admit(route, account)
        part = self._request_part()
        self._shared.quarantine.check((*metadata.shared_parts, part))
        service = configuration.services.get(self._record.service)
        work = estimate_work(
            self._shared, self._record, route, service, metadata
        )
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        if work.kind.event_tokens:
            asked = PlaceRequest(
                self._request,
                route,
                account,
                metadata,
                work.cost,
                priority,
                self._deadline,
            )
            self._place = await acquire_place(asked, self._record, self._shared)
        await self._reserve(account, metadata)
        self._answer_relay = AnswerRelay(
            request=self._request,
            caller=self._caller,
            route=route,
            metadata=metadata,
            account=self._record.account,
            event_tokens=service.event_tokens if service else 0,
            request_part=part,
            memory=self._caller.hold_answer(self._shared.memory.answers),
            on_head=self._shared.announcements.record,
        )
        attempts = RequestAttempts(
            route,
            self._answer_relay,
            self._record,
            self._shared,
            priority,
            work,
        )
        await self._send_to_targets(attempts)

    def _match(
        self, configuration: Configuration, metadata: wire.RequestMetadata
    ) -> tuple[Route, Account | None]:
        """
        Return the route of the request, and its client account, if any.

        :raises RouteNotFoundError: if there is no route.
        :raises UnauthorizedError: if the key belongs to no client account.
        """
        self._record.configuration_version = configuration.version
        return match_request(configuration, self._request, metadata)

    def _request_part(self) -> str:
        """Return the part that stands for the whole request."""
        request = self._request
        return request_part(
            request.method,
            request.header('host'),
            request.target,
            self._record.account,
            request.body,
        )

    async def _confirm_configuration(self) -> Configuration:
        """
        Return the newest configuration, before a refusal relies on it.

        :raises ConfigurationUnconfirmedError: if a newer one may exist.
        """
        confirmed = await self._shared.confirmation.confirm()
        configuration = self._shared.configuration
        if not confirmed or configuration is None:
            raise ConfigurationUnconfirmedError(
                'the route or key may be new', retry_after=0.0
            )
        return configuration

    def _parse_headers(self) -> wire.RequestMetadata:
        """
        Return what the headers say.

        :raises BadRequestError: if a numeric header is not a number.
        """
        try:
            return wire.parse_request_headers(self._request.headers)
        except ValueError as error:
            raise BadRequestError(str(error)) from None

    def _expected_error(self, error: Exception) -> FuchsiaforkError:
        """Return an error with a code; log one that has none."""
        if isinstance(error, FuchsiaforkError):
            return error
        self._shared.log.error(
            'request_failed',
            request_id=self._record.request_id,
            exc_info=error,
        )
        return UnexpectedError(repr(error))

    async def _send_to_targets(self, attempts: RequestAttempts) -> None:
        """Send the request to targets until the deadline."""
        if self._place is not None:
            self._place.start_sending()
        limit = asyncio.timeout(self._remaining())
        self._shared.time_limits.add(limit)
        try:
            async with limit:
                await attempts.run(self._deadline)
        except TimeoutError:
            raise self._timeout_error() from None
        finally:
            self._shared.time_limits.discard(limit)

    def _admit(self, route: Route, account: Account | None) -> None:
        """Select the service and record the admission."""
        shared = self._shared
        now = shared.clock.now()
        record = self._record
        record.route = route.name
        record.account = account.name if account else ''
        record.service = route.pick_service(shared.rng)
        record.configuration_age_s = now - shared.configuration_confirmed_at
        record.targets_age_s = now - shared.targets_confirmed_at
        shared.retries.count_request(record.service)

    def _set_deadline(
        self, route: Route, metadata: wire.RequestMetadata
    ) -> None:
        """Set the deadline of the complete answer."""
        time_limit_s = route.timeout_s
        if metadata.time_left_s is not None:
            time_limit_s = min(time_limit_s, metadata.time_left_s)
        self._deadline = self._started_at + time_limit_s

    @property
    def _may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return (
            self._answer_relay is not None and self._answer_relay.may_have_run
        )

    def _elapsed(self) -> float:
        """Return the seconds since the request was received."""
        return self._shared.clock.now() - self._started_at

    def _remaining(self) -> float:
        """Return the seconds until the deadline."""
        return max(0.0, self._deadline - self._shared.clock.now())

    async def _reserve(
        self,
        account: Account | None,
        metadata: wire.RequestMetadata,
    ) -> None:
        """Reserve the maximum cost of the request."""
        tokens = metadata.prompt_tokens + metadata.output_tokens
        if account is None or account.prepaid is None or not tokens:
            return
        self._record.reserved = tokens
        wait_started_at = self._shared.clock.now()
        try:
            self._reservation = await self._shared.prepaid_tokens.reserve(
                account.name,
                tokens,
                self._remaining(),
            )
        finally:
            self._record.waited_s = self._shared.clock.now() - wait_started_at

    def _settle(self) -> None:
        """Settle the reservation with the actual cost."""
        if self._reservation is None:
            return
        if self._answer_relay is not None and self._may_have_run:
            self._record.cost = self._answer_relay.cost
        self._shared.prepaid_tokens.settle(self._reservation, self._record.cost)

    def _timeout_error(self) -> FuchsiaforkError:
        """Return the error for a request that passed its deadline."""
        if self._may_have_run:
            return TargetTimeoutError('no complete answer before the deadline')
        return DeadlineError(
            'no target accepted the request before the deadline'
        )

    def _refuse(self, error: FuchsiaforkError) -> None:
        """Send the error to the caller, or break off a started answer."""
        if self._may_have_run and error.run_state is RunState.NOT_RUN:
            error = OutcomeUnknownError(str(error))
        self._log_refused(error)
        if self._caller.started:
            self._caller.abort()
            return
        retry_after = error.retry_after
        # A time beyond the deadline tells the caller not to ask again.
        final = isinstance(error, QuarantinedError) and error.final
        if error.status == _UNAVAILABLE and not final:
            earliest = isinstance(error, TargetsPausedError)
            retry_after = self._spread_retry_after(
                retry_after, LATER_SPREAD if earliest else SPREAD
            )
        request_id = self._record.request_id
        headers = wire.refusal_headers(request_id, retry_after)
        body = refusal_body(request_id, error)
        self._caller.answer(error.status, headers, body)

    def _spread_retry_after(
        self, suggested_s: float | None, factors: tuple[float, float]
    ) -> float:
        """
        Return Retry-After in seconds, with random jitter.

        :param factors: smallest and largest multiple of the suggested time.
        """
        seconds = RETRY_AFTER_S if suggested_s is None else suggested_s
        spread = seconds * self._shared.rng.uniform(*factors)
        return min(spread, MAX_RETRY_AFTER_FRACTION * self._remaining())

    def _log_answered(self) -> None:
        """Log and count a completed answer."""
        seconds = self._elapsed()
        route = self._record.route
        metrics = self._shared.metrics
        metrics.requests.labels(route, self._caller.status).inc()
        metrics.duration.labels(route).observe(seconds)
        self._shared.log.info(
            'request_answered',
            status=self._caller.status,
            seconds=round(seconds, 3),
            **self._record.fields(),
        )

    def _log_refused(self, error: FuchsiaforkError) -> None:
        """Log and count a refused request or an interrupted answer."""
        metrics = self._shared.metrics
        metrics.refusals.labels(error.code, error.run_state).inc()
        self._shared.log.warning(
            'request_refused',
            code=error.code,
            status=error.status,
            run_state=error.run_state.value,
            reason=str(error),
            seconds=round(self._elapsed(), 3),
            begun=self._caller.started,
            **self._record.fields(),
        )

    def _log_caller_left(self) -> None:
        """Log that the caller disconnected before its answer was complete."""
        self._shared.log.warning(
            'caller_left',
            seconds=round(self._elapsed(), 3),
            begun=self._caller.started,
            **self._record.fields(),
        )
