"""The life of one request, from its admission to its settlement."""

import asyncio

from fuchsiafork.gateway.answering import Answering
from fuchsiafork.gateway.catalog import Account, Catalog, Route
from fuchsiafork.gateway.record import RequestRecord
from fuchsiafork.gateway.sending import Sending
from fuchsiafork.gateway.services import Services
from fuchsiafork.kernel import FuchsiaforkError
from fuchsiafork.kernel.errors import (
    BadRequestError,
    DeadlineError,
    NotConfiguredError,
    OutcomeUnknownError,
    RouteNotFoundError,
    RunState,
    TargetTimeoutError,
    UnauthorizedError,
)
from fuchsiafork.kernel.refusals import refusal_body
from fuchsiafork.platform import headers as wire
from fuchsiafork.prepaid import Reservation
from fuchsiafork.transport.caller import CallerConnection, CallerRequest

# When to come back after a refusal for want of a target, seconds.
RETRY_AFTER_S = 0.4
# Share of a refused caller's time left that it is asked to wait at most.
RETRY_SHARE = 0.3

_UNAVAILABLE = 503


class Exchange:
    """One request of a caller."""

    def __init__(
        self,
        request: CallerRequest,
        caller: CallerConnection,
        services: Services,
    ) -> None:
        """Take a request over."""
        self._request = request
        self._caller = caller
        self._services = services
        self._record = RequestRecord('', request.path)
        self._began = services.clock.now()
        self._deadline = self._began
        self._reservation: Reservation | None = None
        self._answering: Answering | None = None

    async def run(self) -> None:
        """Answer the request or refuse it."""
        error: FuchsiaforkError | None = None
        try:
            await self._serve()
        except ValueError as fault:
            error = BadRequestError(str(fault))
        except FuchsiaforkError as fault:
            error = fault
        except asyncio.CancelledError:
            self._settle()
            self._log_left()
            raise
        finally:
            self._settle()
        if error is None:
            self._log_served()
        else:
            self._refuse(error)

    async def _serve(self) -> None:
        """
        Answer the request.

        :raises FuchsiaforkError: if it can't be answered.
        :raises ValueError: if a header that holds a number doesn't.
        """
        facts = wire.parse_request_headers(self._request.headers)
        self._record.request_id = facts.request_id
        catalog = self._services.catalog
        if catalog is None:
            raise NotConfiguredError('no configuration yet', retry_after=1)
        self._record.version = catalog.version
        route = self._find_route(catalog)
        account = _find_account(catalog, route, facts)
        self._set_deadline(route, facts)
        self._note_admitted(route, account)
        await self._reserve(account, facts)
        engine = catalog.services.get(self._record.service)
        self._answering = Answering(
            request=self._request,
            caller=self._caller,
            route=route,
            facts=facts,
            account=self._record.account,
            event_tokens=engine.event_tokens if engine else 0,
        )
        await self._send(route, self._answering)

    async def _send(self, route: Route, answering: Answering) -> None:
        """Send the request to targets within its time."""
        sending = Sending(route, answering, self._record, self._services)
        try:
            async with asyncio.timeout(self._remaining()):
                await sending.run(self._deadline)
        except TimeoutError:
            raise self._timed_out() from None

    def _note_admitted(self, route: Route, account: Account | None) -> None:
        """Choose the service and count the request for it."""
        services = self._services
        now = services.clock.now()
        record = self._record
        record.route = route.name
        record.account = account.name if account else ''
        record.service = route.pick_service(services.chance)
        record.targets_age_s = now - services.targets_at
        services.retry_budget.count_request(record.service, now)

    def _find_route(self, catalog: Catalog) -> Route:
        """Return the route of the request."""
        host = self._request.header('host')
        route = catalog.find_route(host, self._request.path)
        if route is None:
            raise RouteNotFoundError('no route for this host and path')
        return route

    def _set_deadline(self, route: Route, facts: wire.RequestMetadata) -> None:
        """Set the time by which the final answer must be there."""
        left = route.timeout_s
        if facts.time_left_s is not None:
            left = min(left, facts.time_left_s)
        self._deadline = self._began + left

    @property
    def _ran(self) -> bool:
        """Whether a target may have run the request."""
        return self._answering is not None and self._answering.may_have_run

    def _elapsed(self) -> float:
        """Return the seconds since the request came."""
        return self._services.clock.now() - self._began

    def _remaining(self) -> float:
        """Return the seconds left."""
        return max(0.0, self._deadline - self._services.clock.now())

    async def _reserve(
        self,
        account: Account | None,
        facts: wire.RequestMetadata,
    ) -> None:
        """Reserve the most that the request may cost."""
        tokens = facts.prompt_tokens + facts.output_tokens
        if account is None or account.prepaid is None or not tokens:
            return
        self._record.reserved = tokens
        began = self._services.clock.now()
        try:
            self._reservation = await self._services.prepaid_tokens.reserve(
                account.name,
                tokens,
                self._remaining(),
            )
        finally:
            self._record.waited_s = self._services.clock.now() - began

    def _settle(self) -> None:
        """Settle what the request has cost."""
        if self._reservation is None:
            return
        if self._answering is not None and self._ran:
            self._record.cost = self._answering.cost
        self._services.prepaid_tokens.settle(
            self._reservation, self._record.cost
        )

    def _timed_out(self) -> FuchsiaforkError:
        """Return what to tell a caller whose time is up."""
        if self._ran:
            return TargetTimeoutError('no whole answer in time')
        return DeadlineError('no target took the request in time')

    def _refuse(self, error: FuchsiaforkError) -> None:
        """Tell the caller why there is no whole answer."""
        if self._ran and error.run_state is RunState.NOT_RUN:
            error = OutcomeUnknownError(str(error))
        self._log_refused(error)
        if self._caller.started:
            self._caller.abort()
            return
        retry_after = error.retry_after
        if error.status == _UNAVAILABLE:
            retry_after = self._when_to_return(retry_after)
        request_id = self._record.request_id
        headers = wire.refusal_headers(request_id, retry_after)
        body = refusal_body(request_id, error)
        self._caller.answer(error.status, headers, body)

    def _when_to_return(self, wanted: float | None) -> float:
        """Return after how many seconds a retry may help, spread at random."""
        seconds = RETRY_AFTER_S if wanted is None else wanted
        spread = seconds * self._services.chance.uniform(0.7, 1.3)
        return min(spread, RETRY_SHARE * self._remaining())

    def _log_served(self) -> None:
        """Log and count an answer."""
        seconds = self._elapsed()
        route = self._record.route
        metrics = self._services.metrics
        metrics.requests.labels(route, self._caller.status).inc()
        metrics.duration.labels(route).observe(seconds)
        self._services.log.info(
            'request_answered',
            status=self._caller.status,
            seconds=round(seconds, 3),
            **self._record.fields(),
        )

    def _log_refused(self, error: FuchsiaforkError) -> None:
        """Log and count a refusal, or an answer that is broken off."""
        metrics = self._services.metrics
        metrics.refusals.labels(error.code, error.run_state).inc()
        self._services.log.warning(
            'request_refused',
            code=error.code,
            status=error.status,
            run_state=error.run_state.value,
            reason=str(error),
            seconds=round(self._elapsed(), 3),
            begun=self._caller.started,
            **self._record.fields(),
        )

    def _log_left(self) -> None:
        """Log that the caller has left before its answer was whole."""
        self._services.log.warning(
            'caller_left',
            seconds=round(self._elapsed(), 3),
            begun=self._caller.started,
            **self._record.fields(),
        )


def _find_account(
    catalog: Catalog,
    route: Route,
    facts: wire.RequestMetadata,
) -> Account | None:
    """
    Return the account of a request, None where no key is asked for.

    :raises UnauthorizedError: if its key belongs to nobody.
    """
    if not catalog.keyed:
        return None
    account = catalog.find_account(facts.key) if facts.key else None
    if account is None and not route.public:
        raise UnauthorizedError('the key belongs to no client account')
    return account
