"""Tests of outcomes over several nodes, with negative controls."""

import dataclasses
import unittest
from typing import Any
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from fuchsiafork.outcomes.claim_operations import ClaimOperations
from fuchsiafork.router import completion, request_state, state_machine
from fuchsiafork.router.commands import RelayResult
from fuchsiafork.router.state_machine import serve_request
from measurements import outcomes
from measurements.outcomes_counts import count
from measurements.outcomes_fakes import Ledger
from measurements.outcomes_faults import FAULTS
from measurements.outcomes_world import World

NODES = st.integers(min_value=0, max_value=8)
SECONDS = st.floats(min_value=0.1, max_value=9)


class OutcomesMachine(stateful.RuleBasedStateMachine):
    """Any order of calls and faults over nine VMs in three domains."""

    def __init__(self) -> None:
        """Start a fleet without faults, with targets that fail."""
        super().__init__()
        self.world = World(7, serve_request)
        self.number = 0

    @stateful.rule(caller_count=st.integers(min_value=1, max_value=12))
    def start_callers(self, caller_count: int) -> None:
        """Start some callers."""
        for _ in range(caller_count):
            self.number += 1
            self.world.call(self.number)

    @stateful.rule(
        name=st.sampled_from(sorted(FAULTS)),
        seed=st.randoms(use_true_random=False),
        length=SECONDS,
    )
    def inject_fault(self, name: str, seed: Any, length: float) -> None:
        """Inject a fault."""
        FAULTS[name](self.world, seed, length)

    @stateful.rule(seconds=SECONDS)
    def advance(self, seconds: float) -> None:
        """Advance the time."""
        world = self.world
        world.scheduler.run_until(world.clock.now() + seconds)

    def teardown(self) -> None:
        """Check all conditions once the callers have finished."""
        world = self.world
        world.scheduler.run_until(world.clock.now() + 120)
        counts = count(world)
        for name in outcomes.MUST_BE_ZERO:
            assert not counts[name], (name, counts)


OutcomesMachine.TestCase.settings = hypothesis.settings(
    max_examples=12,
    stateful_step_count=16,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class TestAnyOrderOfFaults(OutcomesMachine.TestCase):
    """Guards against orders of faults that no other test covers."""


def _always_true(call: Any, head: Any) -> bool:
    return True


class TestNegativeControls(unittest.TestCase):
    """Disables each mechanism once, after which its count must rise."""

    def assert_count_rises(
        self, name: str, target: Any, attribute: str, new: Any
    ):
        """Check that replacing an attribute violates a condition."""
        with mock.patch.object(target, attribute, new):
            broken = count(outcomes.run_world(3, until=25, drained_s=100))
        self.assertGreater(broken[name], 0)

    def test_enabled_mechanisms_violate_nothing(self) -> None:
        """Shows that counts rise only because of the disabled mechanism."""
        unbroken = count(outcomes.run_world(3, until=25, drained_s=100))
        self.assertFalse(any(unbroken[name] for name in outcomes.MUST_BE_ZERO))

    def test_without_claims_calls_run_twice(self) -> None:
        """Shows that a second run of a non-idempotent call is counted."""

        def grant(
            operations: ClaimOperations, binding: Any, deadline_s: float
        ) -> None:
            operations._grant(binding)

        self.assert_count_rises(
            'non_idempotent_reruns', ClaimOperations, 'claim', grant
        )

    def test_without_settle_keys_requests_are_billed_twice(self) -> None:
        """Shows that a second bill of a key is counted."""
        name = property(lambda run: run.request.request_id)
        self.assert_count_rises(
            'billed_twice', request_state.RequestState, 'settle_key', name
        )

    def test_without_record_of_dead_routers_calls_are_never_billed(
        self,
    ) -> None:
        """Shows that a run without a bill is counted."""

        def cancel(ledger: Ledger, routers: Any, targets: Any) -> None:
            ledger.open.clear()

        self.assert_count_rises('billed_never', Ledger, 'close_lost', cancel)

    def test_without_true_errors_not_run_is_untrue(self) -> None:
        """Shows that an untrue not_run is counted."""
        self.assert_count_rises(
            'untrue_not_run',
            state_machine,
            'with_true_run_state',
            lambda run, error: request_state.DeadlineError(str(error)),
        )

    def test_without_id_check_answers_are_crossed(self) -> None:
        """Shows that another request's answer is counted."""
        self.assert_count_rises(
            'crossed_answers', state_machine, '_matches_request', _always_true
        )

    def test_without_end_check_answers_are_short(self) -> None:
        """Shows that a short answer is counted."""

        def mark_complete(run: Any, relayed: RelayResult) -> None:
            run.relayed = dataclasses.replace(relayed, complete=True)

        self.assert_count_rises(
            'truncated_answers',
            state_machine,
            '_raise_truncated',
            mark_complete,
        )

    def test_without_records_of_targets_unrun_calls_are_billed(self) -> None:
        """Shows that a bill without a run is counted."""

        def bill(run: Any) -> Any:
            yield from completion.resources.settle(run, 3, run.settle_key)

        self.assert_count_rises(
            'billed_without_run',
            completion,
            '_settle_unknown',
            bill,
        )
