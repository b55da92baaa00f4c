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
from fuchsiafork.rollouts.loading import ENGINES
from fuchsiafork.rollouts.loading_messages import (
    AskLoaded,
    LoadedVersion,
    LoadOrder,
    OrderRefused,
)
from fuchsiafork.rollouts.loading_tables import Attempt, LoadTarget
from standins.store_model import StoreModel
from standins.virtual import VirtualClock, apply_operation, store_failure
from tests.test_kernel import make_context


@dataclasses.dataclass
class Engine:
    """A target that takes some seconds to load what it is ordered."""

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

    def take(self, order: LoadOrder) -> Any:
        if self.fenced and order.fence < self.fence:
            return OrderRefused(order.target, order.order, self.fence)
        if order.order != self.order:
            self.orders.append(order.order)
            self.ready_at = self.clock.now() + self.load_s
        self.fence, self.order = order.fence, order.order
        self.version = order.version
        return None


class Site:
    """Engines of one group and keepers that may order them."""

    def __init__(self, *, fenced: bool, engines: int = 3) -> None:
        self.clock = VirtualClock()
        self.store = StoreModel(self.clock.now)
        self.engines = {
            f't{number}': Engine(self.clock, fenced)
            for number in range(engines)
        }
        self.fenced = fenced
        self.paused: set[int] = set()
        self.held: dict[int, list[Any]] = {}
        self.keepers: list[LoadingSystem] = []
        self.contexts: list[Any] = []
        for number in range(2):
            context = make_context(f'a-{number}/keeper', self.clock)
            self.contexts.append(context)
            system = LoadingSystem(context)
            system.owned = {'g'}
            system.needed = {'old': 0}
            self.keepers.append(system)

    def want(self, number: int, version: str = 'new') -> None:
        self.keepers[number].targets = {
            name: LoadTarget(name, 'g', engine.version, version)
            for name, engine in self.engines.items()
        }

    def carry_out(self, number: int, *, lose: bool = False) -> None:
        """Carry out a keeper's effects; answers wait while it is paused."""
        sends, operations = self.contexts[number].outbox.drain()
        answers = [
            self._ask(send.message)
            for send in sends
            if send.destination == ENGINES
        ]
        for operation in operations:
            answer: Any = apply_operation(operation, self.store)
            answers.append(
                store_failure(operation, unknown=True) if lose else answer
            )
        if number in self.paused:
            self.held.setdefault(number, []).extend(answers)
            return
        for answer in [*self.held.pop(number, []), *answers]:
            if answer is not None:
                self.keepers[number].handle(answer, '')
        if answers:
            self.carry_out(number, lose=lose)

    def run(self, seconds: float, *, lose: bool = False) -> None:
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.clock.advance(0.5)
            for number, keeper in enumerate(self.keepers):
                if number not in self.paused:
                    keeper.tick()
                    self.carry_out(number, lose=lose)
            self.check()

    def check(self) -> None:
        """Assert that at most one engine of the group loads."""
        loading = [name for name, row in self.engines.items() if not row.ready]
        assert len(loading) <= 1, loading

    def events(self, number: int, kind: str) -> int:
        ring = self.contexts[number].events
        return sum(event.kind == kind for event in ring.since(0))

    def _ask(self, message: Any) -> Any:
        engine = self.engines[message.target]
        if isinstance(message, AskLoaded):
            return LoadedVersion(
                message.target,
                engine.version,
                engine.order,
                engine.ready,
            )
        return engine.take(message)


class TestLoading(unittest.TestCase):
    """Loads by one keeper."""

    def test_one_target_after_the_other(self) -> None:
        """Guards against a group that loads all at once."""
        site = Site(fenced=False)
        site.want(0)
        site.run(60)
        versions = {row.version for row in site.engines.values()}
        self.assertEqual(versions, {'new'})
        self.assertEqual(site.events(0, 'version_loaded'), 3)

    def test_needed_capacity_stays(self) -> None:
        """Guards against taking the last target of the old version."""
        site = Site(fenced=False)
        site.want(0)
        site.keepers[0].needed = {'old': 2}
        site.run(60)
        versions = [row.version for row in site.engines.values()]
        self.assertEqual(versions.count('old'), 2)

    def test_weight_store_rate(self) -> None:
        """Guards against a rush of loads on the weight store."""
        site = Site(fenced=True, engines=5)
        site.want(0)
        for name, target in site.keepers[0].targets.items():
            target.group = name
        site.keepers[0].owned = set(site.engines)
        site.keepers[0].tick()
        self.assertEqual(len(site.keepers[0].attempts), 2)

    def test_lost_answers_are_read_back(self) -> None:
        """Guards against an order that is lost or given twice."""
        site = Site(fenced=False, engines=1)
        site.want(0)
        site.run(6, lose=True)
        site.run(30)
        self.assertEqual(len(site.engines['t0'].orders), 1)
        self.assertEqual(site.events(0, 'version_loaded'), 1)

    def test_read_back_of_another_order_does_not_count(self) -> None:
        """Guards against traffic to a target that loads something else."""
        site = Site(fenced=False, engines=1)
        site.want(0)
        site.keepers[0].tick()
        site.carry_out(0)
        late = LoadedVersion('t0', 'new', 'other', ready=False)
        site.keepers[0].handle(late, '')
        self.assertEqual(site.keepers[0].targets['t0'].version, 'old')

    def test_negative_control(self) -> None:
        """Orders without the record on purpose: the invariant must fire."""
        site = Site(fenced=False)
        site.want(0)
        with self.assertRaises(InvariantViolationError):
            site.keepers[0]._send_order(Attempt('t0', 'g', 'o', 0))


class TestOrderers(unittest.TestCase):
    """Two keepers that both order."""

    def test_stale_fence_is_refused(self) -> None:
        """Guards against an old orderer that overrides a newer one."""
        site = Site(fenced=True, engines=1)
        site.want(0)
        site.run(1)
        self.assertEqual(site.engines['t0'].orders, ['a-0/keeper#i1/1'])
        site.engines['t0'].fence = 99
        order = LoadOrder('t0', 'new', '', 'a-0/keeper#i1/1', 1)
        refused = site.engines['t0'].take(order)
        site.keepers[0].handle(refused, '')
        self.assertEqual(site.events(0, 'order_refused'), 1)
        self.assertEqual(site.keepers[0].attempts, {})

    def test_unfenced_target_has_one_orderer(self) -> None:
        """Guards against two orderers on a target that ignores fencing."""
        site = Site(fenced=False, engines=1)
        site.want(0)
        site.want(1, 'other')
        site.run(3)
        self.assertEqual(len(site.engines['t0'].orders), 1)

    def test_paused_orderer_does_not_order_late(self) -> None:
        """Guards against an order sent after its lease has passed on."""
        site = Site(fenced=False, engines=1)
        site.want(0)
        site.keepers[0].tick()
        read = site.contexts[0].outbox.drain()[1][0]
        site.keepers[0].handle(apply_operation(read, site.store), '')
        site.paused.add(0)
        site.carry_out(0)
        site.want(1, 'other')
        site.engines['t0'].load_s = 60
        site.run(30)
        site.paused.clear()
        site.run(2)
        orders = site.engines['t0'].orders
        self.assertEqual(len(orders), 1)
        self.assertTrue(orders[0].startswith('a-1/keeper'), orders)
        self.assertEqual(site.events(0, 'version_ordered'), 0)


class LoadingMachine(RuleBasedStateMachine):
    """Two keepers, pauses and lost answers in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.site = Site(fenced=False)
        self.site.want(0)
        self.site.want(1)

    @rule(number=st.integers(0, 1))
    def pause_or_resume(self, number: int) -> None:
        self.site.paused ^= {number}

    @rule(seconds=st.sampled_from([1, 4, 20]), lose=st.booleans())
    def pass_time(self, seconds: int, *, lose: bool) -> None:
        self.site.run(seconds, lose=lose)

    @rule(number=st.integers(0, 1), version=st.sampled_from(['old', 'new']))
    def change_wish(self, number: int, version: str) -> None:
        for target in self.site.keepers[number].targets.values():
            target.wanted = version

    @invariant()
    def counted_as_loaded_only_when_read_back(self) -> None:
        for keeper in self.site.keepers:
            for name, target in keeper.targets.items():
                if target.version == 'new':
                    assert self.site.engines[name].orders


class TestLoadingMachine(unittest.TestCase):
    """The state machine, run through unittest."""

    def test_any_order_of_faults(self) -> None:
        """Guards against interleavings that no single test names."""
        run_state_machine_as_test(
            LoadingMachine,
            settings=settings(
                derandomize=True,
                deadline=None,
                max_examples=30,
                stateful_step_count=20,
            ),
        )
