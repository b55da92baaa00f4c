"""Tests of outcomes over several nodes, with negative controls."""

import dataclasses
import unittest
from typing import Any
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from fuchsiafork.outcomes.claiming import Claiming
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
        """Start a healthy fleet with targets that fail."""
        super().__init__()
        self.world = World(7, serve_request)
        self.number = 0

    @stateful.rule(calls=st.integers(min_value=1, max_value=12))
    def call(self, calls: int) -> None:
        """Start some callers."""
        for _ in range(calls):
            self.number += 1
            self.world.call(self.number)

    @stateful.rule(
        name=st.sampled_from(sorted(FAULTS)),
        seed=st.randoms(use_true_random=False),
        length=SECONDS,
    )
    def fail(self, name: str, seed: Any, length: float) -> None:
        """Bring about a fault."""
        FAULTS[name](self.world, seed, length)

    @stateful.rule(seconds=SECONDS)
    def wait(self, seconds: float) -> None:
        """Let time pass."""
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
    """Guards against an order of faults that nobody wrote down."""


def _always(call: Any, head: Any) -> bool:
    return True


class TestNegativeControls(unittest.TestCase):
    """Each mechanism is broken once; its count must then rise."""

    def check_rises(self, name: str, target: Any, attribute: str, new: Any):
        """Check that breaking an attribute violates one condition."""
        with mock.patch.object(target, attribute, new):
            broken = count(outcomes.run_world(3, until=25, drained_s=100))
        self.assertGreater(broken[name], 0)

    def test_whole_mechanisms_violate_nothing(self) -> None:
        """Shows that the broken attribute is what makes a count rise."""
        whole = count(outcomes.run_world(3, until=25, drained_s=100))
        self.assertFalse(any(whole[name] for name in outcomes.MUST_BE_ZERO))

    def test_without_claims_calls_run_twice(self) -> None:
        """Shows that a second run of a non-idempotent call is counted."""

        def grant(claiming: Claiming, row: Any, deadline_s: float) -> None:
            claiming._grant(row)

        self.check_rises('non_idempotent_reruns', Claiming, 'claim', grant)

    def test_without_settle_keys_requests_are_billed_twice(self) -> None:
        """Shows that a second bill of a key is counted."""
        name = property(lambda run: run.request.request_id)
        self.check_rises(
            'billed_twice', request_state.RequestState, 'settle_key', name
        )

    def test_without_record_of_dead_routers_calls_are_never_billed(
        self,
    ) -> None:
        """Shows that a run without a bill is counted."""

        def cancel(ledger: Ledger, routers: Any, targets: Any) -> None:
            ledger.open.clear()

        self.check_rises('billed_never', Ledger, 'close_lost', cancel)

    def test_without_true_errors_not_run_is_untrue(self) -> None:
        """Shows that an untrue not_run is counted."""
        self.check_rises(
            'untrue_not_run',
            state_machine,
            'with_true_run_state',
            lambda run, error: request_state.DeadlineError(str(error)),
        )

    def test_without_id_check_answers_are_crossed(self) -> None:
        """Shows that another request's answer is counted."""
        self.check_rises(
            'crossed_answers', state_machine, '_matches_request', _always
        )

    def test_without_end_check_answers_are_short(self) -> None:
        """Shows that a short answer is counted."""

        def whole(run: Any, relayed: RelayResult) -> None:
            run.relayed = dataclasses.replace(relayed, complete=True)

        self.check_rises(
            'truncated_answers', state_machine, '_raise_truncated', whole
        )

    def test_without_records_of_targets_unrun_calls_are_billed(self) -> None:
        """Shows that a bill without a run is counted."""

        def bill(run: Any) -> Any:
            yield from completion.resources.settle(run, 3, run.settle_key)

        self.check_rises(
            'billed_without_run',
            completion,
            '_settle_unknown',
            bill,
        )
