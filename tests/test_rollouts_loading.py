"""Tests of the loading of versions on targets."""

import dataclasses
import unittest
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from fuchsiafork.kernel import InvariantViolationError
from fuchsiafork.rollouts import LoadingSystem
from fuchsiafork.rollouts.loading import ENGINE_ADAPTER
from fuchsiafork.rollouts.loading_messages import (
    AskLoaded,
    LoadedVersion,
    LoadOrder,
    OrderRefused,
)
from fuchsiafork.rollouts.loading_state import LoadAttempt, LoadTarget
from standins.store_model import StoreModel
from standins.virtual import VirtualClock, apply_operation, store_failure
from tests.test_kernel import make_context


@dataclasses.dataclass
class SimulatedEngine:
    """A simulated target that takes some seconds to load a version."""

    clock: VirtualClock
    fenced: bool
    version: str = 'old'
    order: str = ''
    fence: int = 0
    ready_at: float = 0.0
    load_s: float = 5.0
    orders: list[str] = dataclasses.field(default_factory=list)

    @property
    def ready(self) -> bool:
        return self.clock.now() >= self.ready_at

    def receive_order(self, order: LoadOrder) -> Any:
        if self.fenced and order.fence < self.fence:
            return OrderRefused(order.target, order.order, self.fence)
        if order.order != self.order:
            self.orders.append(order.order)
            self.ready_at = self.clock.now() + self.load_s
        self.fence, self.order = order.fence, order.order
        self.version = order.version
        return None


class LoadingFleet:
    """Simulated engines of one group and two keepers that send orders."""

    def __init__(self, *, fenced: bool, engines: int = 3) -> None:
        self.clock = VirtualClock()
        self.store = StoreModel(self.clock.now)
        self.engines = {
            f't{number}': SimulatedEngine(self.clock, fenced)
            for number in range(engines)
        }
        self.fenced = fenced
        self.paused: set[int] = set()
        self.delayed_answers: dict[int, list[Any]] = {}
        self.keepers: list[LoadingSystem] = []
        self.contexts: list[Any] = []
        for number in range(2):
            context = make_context(f'a-{number}/keeper', self.clock)
            self.contexts.append(context)
            system = LoadingSystem(context)
            system.owned_groups = {'g'}
            system.min_serving = {'old': 0}
            self.keepers.append(system)

    def set_wanted_version(self, number: int, version: str = 'new') -> None:
        self.keepers[number].targets = {
            name: LoadTarget(name, 'g', engine.version, version)
            for name, engine in self.engines.items()
        }

    def deliver(self, number: int, *, lose_answers: bool = False) -> None:
        """Carry out a keeper's outbox; answers wait while it is paused."""
        sends, operations = self.contexts[number].outbox.drain()
        answers = [
            self._answer(send.message)
            for send in sends
            if send.destination == ENGINE_ADAPTER
        ]
        for operation in operations:
            answer: Any = apply_operation(operation, self.store)
            answers.append(
                store_failure(operation, unknown=True)
                if lose_answers
                else answer
            )
        if number in self.paused:
            self.delayed_answers.setdefault(number, []).extend(answers)
            return
        for answer in [*self.delayed_answers.pop(number, []), *answers]:
            if answer is not None:
                self.keepers[number].handle(answer, '')
        if answers:
            self.deliver(number, lose_answers=lose_answers)

    def run(self, seconds: float, *, lose_answers: bool = False) -> None:
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.clock.advance(0.5)
            for number, keeper in enumerate(self.keepers):
                if number not in self.paused:
                    keeper.tick()
                    self.deliver(number, lose_answers=lose_answers)
            self.check_one_loading()

    def check_one_loading(self) -> None:
        """Assert that at most one engine of the group loads."""
        loading = [
            name for name, engine in self.engines.items() if not engine.ready
        ]
        assert len(loading) <= 1, loading

    def events(self, number: int, kind: str) -> int:
        ring = self.contexts[number].events
        return sum(event.kind == kind for event in ring.since(0))

    def _answer(self, message: Any) -> Any:
        engine = self.engines[message.target]
        if isinstance(message, AskLoaded):
            return LoadedVersion(
                message.target,
                engine.version,
                engine.order,
                engine.ready,
            )
        return engine.receive_order(message)


class TestLoading(unittest.TestCase):
    """Loads by one keeper."""

    def test_one_target_after_the_other(self) -> None:
        """Guards against a group whose targets all load at once."""
        fleet = LoadingFleet(fenced=False)
        fleet.set_wanted_version(0)
        fleet.run(60)
        versions = {engine.version for engine in fleet.engines.values()}
        self.assertEqual(versions, {'new'})
        self.assertEqual(fleet.events(0, 'version_loaded'), 3)

    def test_min_serving_targets_stay(self) -> None:
        """Guards against loading on targets that the old version needs."""
        fleet = LoadingFleet(fenced=False)
        fleet.set_wanted_version(0)
        fleet.keepers[0].min_serving = {'old': 2}
        fleet.run(60)
        versions = [engine.version for engine in fleet.engines.values()]
        self.assertEqual(versions.count('old'), 2)

    def test_weight_store_rate(self) -> None:
        """Guards against a burst of loads from the weight store."""
        fleet = LoadingFleet(fenced=True, engines=5)
        fleet.set_wanted_version(0)
        for name, target in fleet.keepers[0].targets.items():
            target.group = name
        fleet.keepers[0].owned_groups = set(fleet.engines)
        fleet.keepers[0].tick()
        self.assertEqual(len(fleet.keepers[0].attempts), 2)

    def test_lost_answers_are_read_back(self) -> None:
        """Guards against an order that is lost or sent twice."""
        fleet = LoadingFleet(fenced=False, engines=1)
        fleet.set_wanted_version(0)
        fleet.run(6, lose_answers=True)
        fleet.run(30)
        self.assertEqual(len(fleet.engines['t0'].orders), 1)
        self.assertEqual(fleet.events(0, 'version_loaded'), 1)

    def test_read_back_of_another_order_does_not_count(self) -> None:
        """Guards against traffic to a target that loads for another order."""
        fleet = LoadingFleet(fenced=False, engines=1)
        fleet.set_wanted_version(0)
        fleet.keepers[0].tick()
        fleet.deliver(0)
        other_order = LoadedVersion('t0', 'new', 'other', ready=False)
        fleet.keepers[0].handle(other_order, '')
        self.assertEqual(fleet.keepers[0].targets['t0'].version, 'old')

    def test_negative_control(self) -> None:
        """Orders without a record on purpose to violate the invariant."""
        fleet = LoadingFleet(fenced=False)
        fleet.set_wanted_version(0)
        with self.assertRaises(InvariantViolationError):
            fleet.keepers[0]._send_order(LoadAttempt('t0', 'g', 'o', 0))


class TestConcurrentKeepers(unittest.TestCase):
    """Two keepers that send orders to the same group."""

    def test_stale_fence_is_refused(self) -> None:
        """Guards against an order that overrides a newer keeper's order."""
        fleet = LoadingFleet(fenced=True, engines=1)
        fleet.set_wanted_version(0)
        fleet.run(1)
        self.assertEqual(fleet.engines['t0'].orders, ['a-0/keeper#i1/1'])
        fleet.engines['t0'].fence = 99
        order = LoadOrder('t0', 'new', '', 'a-0/keeper#i1/1', 1)
        refused = fleet.engines['t0'].receive_order(order)
        fleet.keepers[0].handle(refused, '')
        self.assertEqual(fleet.events(0, 'order_refused'), 1)
        self.assertEqual(fleet.keepers[0].attempts, {})

    def test_unfenced_target_has_one_ordering_keeper(self) -> None:
        """Guards against two keepers ordering a target without fencing."""
        fleet = LoadingFleet(fenced=False, engines=1)
        fleet.set_wanted_version(0)
        fleet.set_wanted_version(1, 'other')
        fleet.run(3)
        self.assertEqual(len(fleet.engines['t0'].orders), 1)

    def test_paused_keeper_does_not_order_late(self) -> None:
        """Guards against an order sent after another keeper took the lease."""
        fleet = LoadingFleet(fenced=False, engines=1)
        fleet.set_wanted_version(0)
        fleet.keepers[0].tick()
        read = fleet.contexts[0].outbox.drain()[1][0]
        fleet.keepers[0].handle(apply_operation(read, fleet.store), '')
        fleet.paused.add(0)
        fleet.deliver(0)
        fleet.set_wanted_version(1, 'other')
        fleet.engines['t0'].load_s = 60
        fleet.run(30)
        fleet.paused.clear()
        fleet.run(2)
        orders = fleet.engines['t0'].orders
        self.assertEqual(len(orders), 1)
        self.assertTrue(orders[0].startswith('a-1/keeper'), orders)
        self.assertEqual(fleet.events(0, 'version_ordered'), 0)


class LoadingMachine(RuleBasedStateMachine):
    """Two keepers with pauses and lost answers in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = LoadingFleet(fenced=False)
        self.fleet.set_wanted_version(0)
        self.fleet.set_wanted_version(1)

    @rule(number=st.integers(0, 1))
    def pause_or_resume(self, number: int) -> None:
        self.fleet.paused ^= {number}

    @rule(seconds=st.sampled_from([1, 4, 20]), lose_answers=st.booleans())
    def pass_time(self, seconds: int, *, lose_answers: bool) -> None:
        self.fleet.run(seconds, lose_answers=lose_answers)

    @rule(number=st.integers(0, 1), version=st.sampled_from(['old', 'new']))
    def change_wanted_version(self, number: int, version: str) -> None:
        for target in self.fleet.keepers[number].targets.values():
            target.wanted_version = version

    @invariant()
    def counted_as_loaded_only_when_read_back(self) -> None:
        for keeper in self.fleet.keepers:
            for name, target in keeper.targets.items():
                if target.version == 'new':
                    assert self.fleet.engines[name].orders


class TestLoadingMachine(unittest.TestCase):
    """Runs the state machine as a unittest."""

    def test_any_order_of_faults(self) -> None:
        """Guards against interleavings that no other test covers."""
        run_state_machine_as_test(
            LoadingMachine,
            settings=settings(
                derandomize=True,
                deadline=None,
                max_examples=30,
                stateful_step_count=20,
            ),
        )
