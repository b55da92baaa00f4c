"""Sends one request to targets until one has served it."""

from fuchsiafork.gateway.answering import Answering, Failure
from fuchsiafork.gateway.call import TargetCall
from fuchsiafork.gateway.catalog import Route
from fuchsiafork.gateway.placement import Wanted
from fuchsiafork.gateway.record import RequestRecord
from fuchsiafork.gateway.services import Services
from fuchsiafork.gateway.targets import TargetRow
from fuchsiafork.kernel.errors import NoTargetError

# Targets that could not be reached and are passed over for one request.
MOST_UNREACHED = 3


class Sending:
    """The attempts of one request."""

    def __init__(
        self,
        route: Route,
        answering: Answering,
        record: RequestRecord,
        services: Services,
    ) -> None:
        """Start before the first attempt."""
        self._route = route
        self._answering = answering
        self._record = record
        self._services = services
        self._tried: list[str] = []
        self._unreached: set[str] = set()
        # One number for all attempts keeps them on one version.
        self._chance = services.chance.random()

    async def run(self, deadline: float) -> None:
        """
        Send the request until a target's answer has reached the caller.

        :param deadline: time by which targets must be done, seconds.
        :raises FuchsiaforkError: if none serves it.
        """
        failure: Failure | None = None
        while True:
            row = self._choose()
            if row is None or not self._allows(failure):
                break
            failure = await self._attempt(row, deadline)
            if failure is None:
                return
            self._note_failure(row, failure)
            if not self._goes_on(failure):
                break
        if failure is None:
            service = self._record.service
            raise NoTargetError(f'no target of {service!r} takes requests')
        if failure.held is None:
            raise failure.error
        self._answering.pass_on(failure.held)

    async def _attempt(self, row: TargetRow, deadline: float) -> Failure | None:
        """Return why a target did not serve the request, None if it did."""
        services = self._services
        call = TargetCall(row, services.pool, services.clock)
        left = max(0.0, deadline - services.clock.now())
        row.in_flight += 1
        services.log.info(
            'request_sent',
            request_id=self._record.request_id,
            target=row.target.target_id,
            domain=row.target.domain,
            in_flight=row.in_flight,
            left_s=round(left, 3),
        )
        outcome = 'given_up'
        try:
            failure = await self._answering.attempt(call, left)
            outcome = str(failure.error.code) if failure else 'served'
        finally:
            self._end_attempt(row, call, outcome)
        self._note_answer(row, call, failure)
        return failure

    def _end_attempt(
        self,
        row: TargetRow,
        call: TargetCall,
        outcome: str,
    ) -> None:
        """Give back what an attempt has taken, also when it is cancelled."""
        row.in_flight -= 1
        self._record.note_attempt(row.target.target_id, outcome)
        call.end()

    def _note_answer(
        self,
        row: TargetRow,
        call: TargetCall,
        failure: Failure | None,
    ) -> None:
        """Count an answer, or its absence, for the target and its version."""
        failed = failure is not None and failure.blames
        row.note_answer(failed=failed)
        self._services.rollouts.note(
            row,
            self._route.name,
            failed=failed,
            seconds=call.first_byte_s,
        )
        if call.answered:
            self._services.reachability.record_answer(row.target.domain)

    def _choose(self) -> TargetRow | None:
        """Return the next target for the request, if there is one."""
        services = self._services
        service = self._record.service
        wanted = Wanted(
            service=service,
            affinity_key=self._answering.affinity_key,
            tried=frozenset((*self._tried, *self._unreached)),
        )
        rows = services.rollouts.select(
            service,
            services.targets.of_service(service),
            self._chance,
        )
        return services.placement.choose(rows, wanted, services.clock.now())

    def _allows(self, failure: Failure | None) -> bool:
        """Return whether an attempt keeps to the budget of repeats."""
        if failure is None or not failure.counts:
            return True
        now = self._services.clock.now()
        return self._services.retry_budget.try_acquire(
            self._record.service, now
        )

    def _note_failure(self, row: TargetRow, failure: Failure) -> None:
        """Keep the request, or all requests, away from a target."""
        self._log_failure(row, failure)
        now = self._services.clock.now()
        target = row.target
        if failure.counts and not failure.stale:
            self._tried.append(target.target_id)
        elif not failure.counts:
            self._unreached.add(target.target_id)
        if failure.unreachable and not failure.stale:
            row.note_unreachable(now)
            self._services.pool.drop(target.address)
        if failure.silent:
            reachability = self._services.reachability
            reachability.record_no_answer(target.domain, target.target_id, now)

    def _log_failure(self, row: TargetRow, failure: Failure) -> None:
        """Log why a target did not serve the request."""
        error = failure.error
        self._services.metrics.attempts.labels(error.code).inc()
        self._services.log.warning(
            'attempt_failed',
            request_id=self._record.request_id,
            target=row.target.target_id,
            code=error.code,
            reason=str(error),
            sent=failure.counts,
            not_run=failure.not_run,
            stale=failure.stale,
            failing=round(row.failing, 2),
        )

    def _goes_on(self, failure: Failure) -> bool:
        """Return whether the request may be sent to another target."""
        if not failure.counts:
            return len(self._unreached) <= MOST_UNREACHED
        if failure.stale and self._route.repeatable:
            return True
        if len(self._tried) >= self._route.max_targets:
            return False
        return failure.not_run or self._route.repeatable
