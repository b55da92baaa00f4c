"""The life of one request, from its admission to its settlement."""

import asyncio
import dataclasses
import random
from typing import Any

from fuchsiafork.gateway.answering import Answering, Failure
from fuchsiafork.gateway.call import TargetCall
from fuchsiafork.gateway.catalog import Account, Catalog, Route
from fuchsiafork.gateway.money import Money
from fuchsiafork.gateway.peers import Peers
from fuchsiafork.gateway.placement import Placement, Wanted
from fuchsiafork.gateway.reach import Reach
from fuchsiafork.gateway.repeats import RepeatBudget
from fuchsiafork.gateway.rollouts import Rollouts
from fuchsiafork.gateway.targets import TargetRow, TargetTable
from fuchsiafork.kernel import Clock, FuchsiaforkError
from fuchsiafork.kernel.errors import (
    BadRequestError,
    DeadlineError,
    NoTargetError,
    NotConfiguredError,
    OutcomeUnknownError,
    RouteNotFoundError,
    TargetTimeoutError,
    UnauthorizedError,
)
from fuchsiafork.kernel.refusals import refusal_body
from fuchsiafork.platform import headers as wire
from fuchsiafork.prepaid import Reservation
from fuchsiafork.transport.caller import CallerConnection, CallerRequest
from fuchsiafork.transport.pool import ConnectionPool

# Targets that could not be reached and are passed over for one request.
MOST_UNREACHED = 3
# When to come back after a refusal for want of a target, seconds.
RETRY_AFTER_S = 0.4
# Share of a refused caller's time left that it is asked to wait at most.
RETRY_SHARE = 0.3


@dataclasses.dataclass(slots=True)
class Services:
    """
    What the exchanges of a process share.

    :ivar catalog: configuration in force, None before the first one.
    :ivar configured: whether the configuration is known to be recent.
    """

    clock: Clock
    chance: random.Random
    log: Any
    targets: TargetTable
    pool: ConnectionPool
    reach: Reach
    placement: Placement
    repeats: RepeatBudget
    peers: Peers
    money: Money
    rollouts: Rollouts
    catalog: Catalog | None = None


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
        self._began = services.clock.now()
        self._deadline = self._began
        self._reservation: Reservation | None = None
        self._answering: Answering | None = None
        self._tried: list[str] = []
        self._unreached: set[str] = set()
        self._chance = services.chance.random()

    async def run(self) -> None:
        """Answer the request or refuse it."""
        request_id = ''
        try:
            facts = wire.read_call(self._request.headers)
            request_id = facts.request_id
            await self._serve(facts)
        except ValueError as error:
            self._refuse(request_id, BadRequestError(str(error)))
        except FuchsiaforkError as error:
            self._refuse(request_id, error)
        finally:
            self._settle()

    async def _serve(self, facts: wire.CallFacts) -> None:
        """
        Answer the request.

        :raises FuchsiaforkError: if it can't be answered.
        """
        catalog = self._services.catalog
        if catalog is None:
            raise NotConfiguredError('no configuration yet', retry_after=1)
        route = self._find_route(catalog)
        account = _find_account(catalog, route, facts)
        self._set_deadline(route, facts)
        service = route.pick_service(self._services.chance)
        now = self._services.clock.now()
        self._services.repeats.count_request(service, now)
        await self._reserve(account, facts)
        engine = catalog.services.get(service)
        self._answering = Answering(
            request=self._request,
            caller=self._caller,
            route=route,
            facts=facts,
            account=account.name if account else '',
            event_tokens=engine.event_tokens if engine else 0,
        )
        try:
            async with asyncio.timeout(self._remaining()):
                await self._try_targets(route, service, self._answering)
        except TimeoutError:
            raise self._timed_out() from None

    async def _try_targets(
        self,
        route: Route,
        service: str,
        answering: Answering,
    ) -> None:
        """Send the request to targets until one has answered it."""
        failure: Failure | None = None
        while True:
            row = self._choose(service, answering)
            if row is None or not self._allowed(service, failure):
                break
            failure = await self._attempt(row, answering)
            if failure is None:
                return
            self._note_failure(row, failure)
            if not self._may_go_on(route, failure):
                break
        if failure is None:
            raise NoTargetError(f'no target of {service!r} takes requests')
        if failure.held is None:
            raise failure.error
        answering.pass_on(failure.held)

    def _allowed(self, service: str, failure: Failure | None) -> bool:
        """Return whether an attempt keeps to the budget of repeats."""
        if failure is None or not failure.counts:
            return True
        now = self._services.clock.now()
        return self._services.repeats.take(service, now)

    async def _attempt(
        self,
        row: TargetRow,
        answering: Answering,
    ) -> Failure | None:
        """Return why a target did not answer the request, None if it did."""
        call = TargetCall(row, self._services.pool, self._services.clock)
        row.in_flight += 1
        try:
            failure = await answering.attempt(call, self._remaining())
        finally:
            row.in_flight -= 1
            call.end()
        failed = failure is not None and failure.blames
        row.note_answer(failed=failed)
        self._services.rollouts.note(
            row,
            answering.route_name,
            failed=failed,
            seconds=call.first_byte_s,
        )
        if call.answered:
            self._services.reach.note_answer(row.target.domain)
        return failure

    def _choose(self, service: str, answering: Answering) -> TargetRow | None:
        """Return the next target for the request, if there is one."""
        services = self._services
        wanted = Wanted(
            service=service,
            affinity_key=answering.affinity_key,
            tried=frozenset((*self._tried, *self._unreached)),
        )
        rows = services.rollouts.select(
            service,
            services.targets.of_service(service),
            self._chance,
        )
        return services.placement.choose(rows, wanted, services.clock.now())

    def _note_failure(self, row: TargetRow, failure: Failure) -> None:
        """Keep the request, or all requests, away from a target."""
        target_id = row.target.target_id
        if failure.stale:
            return
        if failure.counts:
            self._tried.append(target_id)
        else:
            self._unreached.add(target_id)
        if failure.unreachable:
            row.note_unreachable(self._services.clock.now())
            self._services.pool.drop(row.target.address)
        if failure.silent:
            self._services.reach.note_silent(
                row.target.domain,
                target_id,
                self._services.clock.now(),
            )

    def _may_go_on(self, route: Route, failure: Failure) -> bool:
        """Return whether the request may be sent to another target."""
        self._services.log.info(
            'attempt_failed',
            reason=str(failure.error),
            code=failure.error.code,
            stale=failure.stale,
            sent=failure.counts,
        )
        if not failure.counts:
            return len(self._unreached) <= MOST_UNREACHED
        if failure.stale and route.repeatable:
            return True
        if len(self._tried) >= route.max_targets:
            return False
        return failure.not_run or route.repeatable

    def _find_route(self, catalog: Catalog) -> Route:
        """Return the route of the request."""
        host = self._request.header('host')
        route = catalog.find_route(host, self._request.path)
        if route is None:
            raise RouteNotFoundError('no route for this host and path')
        return route

    def _set_deadline(self, route: Route, facts: wire.CallFacts) -> None:
        """Set the time by which the final answer must be there."""
        left = route.timeout_s
        if facts.time_left_s is not None:
            left = min(left, facts.time_left_s)
        self._deadline = self._began + left

    @property
    def _ran(self) -> bool:
        """Whether a target may have run the request."""
        return self._answering is not None and self._answering.may_have_run

    def _remaining(self) -> float:
        """Return the seconds left."""
        return max(0.0, self._deadline - self._services.clock.now())

    async def _reserve(
        self,
        account: Account | None,
        facts: wire.CallFacts,
    ) -> None:
        """Reserve the most that the request may cost."""
        tokens = facts.prompt_tokens + facts.output_tokens
        if account is None or account.prepaid is None or not tokens:
            return
        self._reservation = await self._services.money.reserve(
            account.name,
            tokens,
            self._remaining(),
        )

    def _settle(self) -> None:
        """Settle what the request has cost."""
        if self._reservation is None:
            return
        tokens = 0
        if self._answering is not None and self._ran:
            tokens = self._answering.cost
        self._services.money.settle(self._reservation, tokens)

    def _timed_out(self) -> FuchsiaforkError:
        """Return what to tell a caller whose time is up."""
        if self._ran:
            return TargetTimeoutError('no whole answer in time')
        return DeadlineError('no target took the request in time')

    def _refuse(self, request_id: str, error: FuchsiaforkError) -> None:
        """Tell the caller why there is no whole answer."""
        if self._ran and error.run_state == 'not_run':
            error = OutcomeUnknownError(str(error))
        self._services.log.info(
            'request_refused',
            request_id=request_id,
            path=self._request.path,
            code=error.code,
            status=error.status,
            run_state=str(error.run_state),
            reason=str(error),
            seconds=round(self._services.clock.now() - self._began, 3),
            begun=self._caller.started,
        )
        if self._caller.started:
            self._caller.abort()
            return
        retry_after = error.retry_after
        if error.status == 503:
            retry_after = self._when_to_return(retry_after)
        headers = wire.refusal_headers(request_id, retry_after)
        body = refusal_body(request_id, error)
        self._caller.answer(error.status, headers, body)

    def _when_to_return(self, wanted: float | None) -> float:
        """Return after how many seconds a retry may help, spread at random."""
        seconds = RETRY_AFTER_S if wanted is None else wanted
        spread = seconds * self._services.chance.uniform(0.7, 1.3)
        return min(spread, RETRY_SHARE * self._remaining())


def _find_account(
    catalog: Catalog,
    route: Route,
    facts: wire.CallFacts,
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
