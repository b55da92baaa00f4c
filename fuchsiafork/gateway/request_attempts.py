"""Sends one request to one target after another until it is served."""

import operator

from fuchsiafork.availability import Source
from fuchsiafork.balancing.attempt_work import AttemptWork
from fuchsiafork.balancing.request_work import RequestWork
from fuchsiafork.gateway.answer_relay import AnswerRelay, Failure
from fuchsiafork.gateway.attempt_log import AttemptLog
from fuchsiafork.gateway.configuration import Route
from fuchsiafork.gateway.observed_answer import ObservedAnswer
from fuchsiafork.gateway.request_record import RequestRecord
from fuchsiafork.gateway.shared_state import SharedState
from fuchsiafork.gateway.silence_policy import SilencePolicy
from fuchsiafork.gateway.target_call import TargetCall
from fuchsiafork.gateway.target_chooser import Selection
from fuchsiafork.gateway.target_selection import SelectionCriteria
from fuchsiafork.gateway.targets import Target, TargetState
from fuchsiafork.gateway.tried_targets import TriedTargets
from fuchsiafork.gateway.urgency import rank_by_priority, rank_by_size
from fuchsiafork.kernel.errors import (
    FuchsiaforkError,
    NoTargetError,
    TargetsLimitedError,
    TargetsPausedError,
)
from fuchsiafork.quarantine import Probe

# Shortest time after which a caller that was refused a permit may return.
MIN_RETRY_AFTER_S = 0.1

_PAUSE_ERRORS: dict[Source, type[FuchsiaforkError]] = {
    Source.LIMIT: TargetsLimitedError,
    Source.REFUSAL: TargetsPausedError,
}


class RequestAttempts:
    """Runs the attempts of one request."""

    def __init__(
        self,
        route: Route,
        answer_relay: AnswerRelay,
        record: RequestRecord,
        shared: SharedState,
        priority: int,
        work: RequestWork,
    ) -> None:
        """
        Start before the first attempt.

        :param priority: priority of the request, 0 is the highest.
        :param work: its expected work.
        """
        self._work = work
        self._log = AttemptLog(shared.log, record.request_id, answer_relay)
        self._route = route
        self._priority = priority
        self._answer_relay = answer_relay
        self._record = record
        self._shared = shared
        self._tried = TriedTargets(route.max_targets)
        # One sample for all attempts, so that a rollout assigns them to one
        # version.
        self._version_sample = shared.rng.random()
        self._probe: Probe | None = None
        # Whether a target may have received any attempt.
        self._sent = False
        # Target of the attempt in progress.
        self._state: TargetState | None = None
        # The answer of the last attempt.
        self._observed: ObservedAnswer | None = None
        self._silence_policy = SilencePolicy(route, self._may_give_up)
        # Whether the fleet has allowed the next attempt already.
        self._retry_acquired = False

    async def run(self, deadline: float) -> None:
        """
        Attempt the request until an answer was sent to the caller.

        :param deadline: time by which a target must have answered, seconds.
        :raises FuchsiaforkError: if no target serves the request.
        """
        try:
            await self._run(deadline)
        finally:
            if self._probe is not None and not self._sent:
                self._shared.quarantine.return_probe(self._probe)

    async def _run(self, deadline: float) -> None:
        """Attempt the request; see run()."""
        self._require_fitting()
        failure: Failure | None = None
        while True:
            selection = await self._acquire_target()
            if selection is None or not await self._may_retry(failure):
                break
            state = selection.state
            await self._admit(state)
            latest = await self._attempt(selection, deadline)
            if latest is None:
                return
            if latest.withdrawn:
                # The retry that the fleet allowed is left for another target.
                self._retry_acquired = _is_retried(failure)
            else:
                failure = latest
            self._handle_failure(state, latest)
            if not await self._may_try_another(state, latest):
                break
        if failure is None:
            raise self._no_target_error()
        if failure.answer is None:
            raise failure.error
        self._answer_relay.forward(failure.answer)

    def _require_fitting(self) -> None:
        """
        Check that targets can hold the request.

        The memory that it needs is an estimate, so that the refusal doesn't
        tell the caller never to send it again.

        :raises NoTargetError: if their memory is too small.
        """
        if self._shared.load_view.fleet_known and self._work.exceeds_memory:
            raise NoTargetError(
                f'{self._work.cost.held_tokens} tokens are expected, a target '
                f'holds {self._work.kind.memory_tokens}'
            )

    async def _acquire_target(self) -> Selection | None:
        """Return a target that may get a request now, None if there is none."""
        limits = self._shared.target_limits
        unanswered = self._tried.pop_unanswered()
        if unanswered is not None:
            if self._accepts(unanswered) and await limits.acquire(
                unanswered.target, self._priority
            ):
                return Selection(unanswered)
            self._tried.add(unanswered.target.target_id)
            if self._tried.exhausted:
                return None
        while True:
            selection = self._select_target()
            if selection is None or await limits.acquire(
                selection.state.target, self._priority
            ):
                return selection

    def _no_target_error(self) -> FuchsiaforkError:
        """Return the error for a request that was sent to no target."""
        service = self._record.service
        pauses = [
            pause
            for pause in self._shared.target_gate.pauses(
                service, self._priority
            )
            if pause.source in _PAUSE_ERRORS
        ]
        if not pauses:
            return NoTargetError(
                f'no target of service {service!r} is available'
            )
        first = min(pauses, key=operator.attrgetter('until'))
        wait_s = first.until - self._shared.clock.now()
        return _PAUSE_ERRORS[first.source](
            f'{len(pauses)} targets of service {service!r} accept no more '
            'requests for now',
            retry_after=max(MIN_RETRY_AFTER_S, wait_s),
        )

    async def _admit(self, state: TargetState) -> None:
        """
        Check that the target may get the request, if need be as a probe.

        :raises QuarantinedError: if it may not.
        """
        if self._probe is None:
            self._probe = await self._shared.quarantine.admit(
                self._parts, state.target
            )

    @property
    def _parts(self) -> tuple[str, ...]:
        """Shared parts of the prompt, and the part of the request last."""
        relay = self._answer_relay
        return (*relay.shared_parts, relay.request_part)

    async def _attempt(
        self, selection: Selection, deadline: float
    ) -> Failure | None:
        """Return why the attempt failed, None if it succeeded."""
        shared = self._shared
        state, choice = selection.state, selection.choice
        call = TargetCall(state, shared.pool, shared.clock)
        remaining_s = max(0.0, deadline - shared.clock.now())
        self._state = state
        self._silence_policy.start_attempt()
        state.in_flight += 1
        self._log.sent(state, remaining_s, choice, shared.load_view.fleet_age_s)
        if choice is not None:
            shared.metrics.choices.labels(choice.reason.value).inc()
        work = AttemptWork(self._work, state.target, choice)
        self._observed = shared.quarantine.observe(
            self._parts, state.target, work
        )
        outcome = 'given_up'
        try:
            failure = await self._answer_relay.attempt(
                call,
                self._observed,
                remaining_s,
                self._silence_policy,
                self._urgency(work),
            )
            outcome = str(failure.error.code) if failure else 'served'
        finally:
            work.end()
            self._end_attempt(state, call, outcome)
        if failure is None or not failure.withdrawn:
            self._record_outcome(state, call, failure)
        return failure

    def _end_attempt(
        self,
        state: TargetState,
        call: TargetCall,
        outcome: str,
    ) -> None:
        """Release the resources of an attempt, even a cancelled one."""
        state.in_flight -= 1
        self._sent = self._sent or call.sent
        self._record.add_attempt(state.target.target_id, outcome)
        if call.skipped_answers:
            self._log.skipped_answers(state, call.skipped_answers)
        call.release()
        if state.availability.leaving:
            self._shared.pool.drop(state.target.address)

    def _record_outcome(
        self,
        state: TargetState,
        call: TargetCall,
        failure: Failure | None,
    ) -> None:
        """Record the outcome for the target, its version and its domain."""
        failed = failure is not None and failure.target_at_fault
        state.record_attempt(failed=failed)
        self._shared.rollouts.record_answer(
            state,
            self._route.name,
            failed=failed,
            seconds=call.time_to_first_byte_s,
        )
        if call.answered:
            self._shared.reachability.record_answer(state.target.domain)
            if self._tried.is_unanswered(state.target.target_id):
                self._shared.quarantine.record_alive(state.target)

    def _urgency(self, work: AttemptWork) -> int | None:
        """Return the rank for an engine, None without a prompt."""
        prompt_tokens = self._answer_relay.prompt_tokens
        if not prompt_tokens:
            return None
        if self._shared.load_view.fleet_known:
            return rank_by_priority(self._priority, work.cost.prompt_tokens)
        return rank_by_size(prompt_tokens)

    def _select_target(self) -> Selection | None:
        """Return the target for the next attempt, None if there is none."""
        shared = self._shared
        service = self._record.service
        states = shared.rollouts.eligible_targets(
            service,
            shared.targets.serving_targets(service),
            self._version_sample,
            self._accepts,
        )
        criteria = SelectionCriteria(
            service=service,
            affinity_key=self._answer_relay.affinity_key,
            excluded_ids=self._tried.excluded_ids,
        )
        return shared.target_chooser.choose(
            states, criteria, self._work, shared.clock.now()
        )

    def _accepts(self, state: TargetState) -> bool:
        """Return whether a target accepts the request now."""
        return self._shared.target_gate.accepts(state, self._priority)

    async def _may_retry(self, failure: Failure | None) -> bool:
        """Return whether the fleet may send another attempt."""
        if not _is_retried(failure):
            return True
        acquired, self._retry_acquired = self._retry_acquired, False
        return acquired or await self._shared.retries.try_acquire(
            self._record.service
        )

    async def _may_give_up(self) -> bool:
        """
        Return whether a silent target is given up for another one.

        The target may be slow but sound, so that the request stays with it if
        no other target would get it.
        """
        route = self._route
        if self._tried.last or not route.retryable:
            return False
        if not self._has_alternative():
            return False
        if not self._retry_acquired:
            self._retry_acquired = await self._shared.retries.try_acquire(
                self._record.service
            )
        return self._retry_acquired

    def _has_alternative(self) -> bool:
        """Return whether another target could get the request."""
        excluded = set(self._tried.excluded_ids)
        if self._state is not None:
            excluded.add(self._state.target.target_id)
        accepting = self._shared.target_gate.accepting_targets(
            self._record.service, self._priority
        )
        return any(
            state.target.target_id not in excluded for state in accepting
        )

    def _handle_failure(self, state: TargetState, failure: Failure) -> None:
        """Exclude the target for this request and back off, as applicable."""
        if failure.withdrawn:
            self._shared.metrics.withdrawn_attempts.inc()
            self._log.withdrawn(state, self._shared.target_gate.status(state))
        else:
            self._count_failure(state, failure)
        now = self._shared.clock.now()
        target = state.target
        if failure.withdrawn:
            self._tried.add_withdrawn(target.target_id)
        elif not failure.possibly_sent:
            self._tried.add_unreached(target.target_id)
        elif failure.stale_connection:
            self._tried.add_unanswered(state)
            self._shared.pool.drop(target.address)
        else:
            self._tried.add(target.target_id)
        if failure.unreachable and not failure.stale_connection:
            state.availability.back_off(now)
            self._shared.pool.drop(target.address)
        self._report_end(target, failure)
        if failure.silent:
            reachability = self._shared.reachability
            reachability.record_no_answer(target.domain, target.target_id, now)

    def _report_end(self, target: Target, failure: Failure) -> None:
        """Report that a target may have ended."""
        if failure.broken and self._observed is not None:
            self._observed.record_broken()
        elif failure.unreachable and not failure.possibly_sent:
            self._shared.quarantine.record_lost_connection(target.address)

    def _count_failure(self, state: TargetState, failure: Failure) -> None:
        """Log and count a failed attempt."""
        metrics = self._shared.metrics
        metrics.failed_attempts.labels(failure.error.code).inc()
        if failure.broken:
            metrics.broken_attempts.labels(str(failure.begun).lower()).inc()
        events = self._observed.events if self._observed else 0
        self._log.failed(state, failure, events)

    async def _may_try_another(
        self, state: TargetState, failure: Failure
    ) -> bool:
        """Return whether another target may be tried after a failure."""
        if not failure.possibly_sent:
            tried = self._tried
            return not tried.exhausted and not tried.too_many_unreached
        if failure.forwarded:
            return False
        if failure.broken and not await self._may_repeat(state):
            return False
        if failure.stale_connection and self._route.retryable:
            return True
        if self._tried.exhausted:
            return False
        return failure.not_run or self._route.retryable

    async def _may_repeat(self, state: TargetState) -> bool:
        """Return whether the request is not suspected of ending targets."""
        return self._probe is None and await self._shared.quarantine.may_repeat(
            self._parts, state.target
        )


def _is_retried(failure: Failure | None) -> bool:
    """Return whether the attempt after a failure counts as a retry."""
    return failure is not None and failure.possibly_sent
