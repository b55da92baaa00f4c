"""Hypothesis state machine tests of a fleet under all faults."""

import unittest
from unittest import mock

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from fuchsiafork.budgets.tables import HolderTables
from fuchsiafork.kernel import InvariantViolationError
from measurements.budgets_faults import BUDGETS, LAYOUT, FaultyFleet

VMS = st.sampled_from([
    f'{domain}-{number}'
    for domain, count in LAYOUT.items()
    for number in range(count)
])
NAMES = st.sampled_from(list(BUDGETS))
SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=20,
    stateful_step_count=20,
    # Shrinking takes minutes; a failure lists its steps without it.
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


class BudgetMachine(RuleBasedStateMachine):
    """Random sequences of requests, faults and top-ups."""

    def __init__(self) -> None:
        super().__init__()
        self.faulty_fleet = FaultyFleet(1)

    @rule(
        vm=VMS,
        budget=NAMES,
        tokens=st.integers(1, 900),
        share=st.floats(0.1, 1),
        seconds=st.sampled_from([0.05, 0.5, 2]),
    )
    def call(self, vm, budget, tokens, share, seconds) -> None:
        self.faulty_fleet.call(vm, budget, tokens, share)
        self.faulty_fleet.run(seconds)

    @rule(seconds=st.sampled_from([0.01, 1, 6, 20]))
    def wait(self, seconds) -> None:
        self.faulty_fleet.run(seconds)

    @rule(vm=VMS)
    def pause(self, vm) -> None:
        self.faulty_fleet.pause(vm)

    @rule(vm=VMS, router=st.booleans(), keeper=st.booleans())
    def crash(self, vm, router, keeper) -> None:
        self.faulty_fleet.crash(vm, router=router, keeper=keeper)

    @rule(domain=st.sampled_from(list(LAYOUT)))
    def cut(self, domain) -> None:
        self.faulty_fleet.cut(domain)

    @rule(bad=st.booleans())
    def links(self, bad) -> None:
        self.faulty_fleet.links(bad=bad)

    @rule()
    def outage(self) -> None:
        self.faulty_fleet.store_outage()

    @rule(budget=NAMES, tokens=st.integers(1, 4000), change=st.integers(1, 9))
    def top_up(self, budget, tokens, change) -> None:
        self.faulty_fleet.top_up(budget, tokens, change)

    @invariant()
    def no_budget_is_exceeded(self) -> None:
        assert not self.faulty_fleet.problems()

    def teardown(self) -> None:
        self.faulty_fleet.settle_down()
        assert not self.faulty_fleet.problems()
        if not self.faulty_fleet.lost_router:
            assert not any(self.faulty_fleet.unbilled().values())


class TestBudgetMachine(unittest.TestCase):
    """Budgets under combined faults."""

    def test_no_overspend_and_no_lost_settlement(self) -> None:
        """Guards against any combination of faults that exceeds a budget."""
        run_state_machine_as_test(BudgetMachine, settings=SETTINGS)

    def test_machine_finds_a_broken_mechanism(self) -> None:
        """Negative control: reservations that ignore the grant are found."""
        unlimited_available = mock.patch.object(
            HolderTables,
            'available',
            return_value=10**9,
        )
        with (
            unlimited_available,
            self.assertRaises((
                AssertionError,
                InvariantViolationError,
            )),
        ):
            run_state_machine_as_test(BudgetMachine, settings=SETTINGS)
