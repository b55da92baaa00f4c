"""Tests of several owners and routers, counted at the targets."""

import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from fuchsiafork.dispatch import system
from fuchsiafork.dispatch.handover import Handover
from measurements.targets_fleet import Fleet
from measurements.targets_load import Site, Workload

SITE = Site(vms=(3, 2), engines=(2, 1), services=(1, 0))


class FleetCase(unittest.TestCase):
    """Two domains under a load that fills the targets of the first."""

    def setUp(self) -> None:
        self.start(7)

    def start(self, seed: int) -> None:
        """Start a fleet that is ready for work."""
        self.fleet = Fleet(SITE, seed)
        self.workload = Workload(self.fleet.chance)
        self.fleet.run_until(6)

    def submit_load(
        self, seconds: float, rate: float = 8, domain: str = 'a'
    ) -> None:
        """Submit requests at a steady rate."""
        for _ in range(round(seconds * rate)):
            self.fleet.submit(self.workload, domain)
            self.fleet.run_until(self.fleet.clock.now() + 1 / rate)

    def owner(self) -> str:
        """Return the owner of the engines of domain a."""
        return next(
            node
            for node, keeper in self.fleet.keepers.items()
            if 'a-engine-0' in keeper.dispatch.targets
        )

    def count(self, name: str) -> int:
        """Return the sum of a counter over all targets."""
        return sum(one.counts[name] for one in self.fleet.engines.values())

    def answered(self) -> int:
        """Return the requests answered by all routers."""
        routers = (*self.fleet.routers.values(), *self.fleet.gone)
        return sum(router.counts['answered'] for router in routers)

    def check(self) -> None:
        """Assert that no target was overfilled and requests are answered."""
        self.assertEqual(self.count('fell_over'), 0)
        self.assertEqual(self.count('after_leaving_3s'), 0)
        before = self.answered()
        self.submit_load(8, 3)
        self.assertGreater(self.answered(), before + 8)


class TestProcessFaults(FleetCase):
    """Owners and routers that die or are paused."""

    def test_owner_dies_with_slots_in_use(self) -> None:
        """Guards against a successor that overfills the targets."""
        self.submit_load(6)
        self.fleet.kill(self.owner())
        self.submit_load(10)
        self.check()

    def test_owner_resumes_past_its_lease(self) -> None:
        """Guards against two owners of one target."""
        self.submit_load(6)
        for seconds in (0.9, 1.9, 3, 8):
            self.fleet.pause(self.owner(), seconds)
            self.submit_load(seconds + 4)
        self.check()

    def test_router_dies_with_slots_in_use(self) -> None:
        """Guards against slots granted while their streams still run."""
        self.submit_load(6)
        self.fleet.kill('a-0/router')
        self.submit_load(2)
        self.fleet.start_router('a-0/router')
        self.submit_load(10)
        self.check()

    def test_router_and_owner_die_at_once(self) -> None:
        """Guards against slots that no process knows."""
        self.submit_load(6)
        owner = self.owner()
        self.fleet.kill(owner.replace('keeper', 'router'))
        self.fleet.kill(owner)
        self.submit_load(10)
        self.check()

    def test_without_handover_targets_are_overfilled(self) -> None:
        """Negative control: an owner that knows no slots overfills targets."""
        overfilled = 0
        for seed in (1, 2, 3):
            self.start(seed)
            with (
                mock.patch.object(Handover, '_is_complete', lambda *_: True),
                mock.patch.object(
                    system.DispatchSystem,
                    '_adopt_slots',
                    lambda *_: None,
                ),
                mock.patch.object(system, 'reconcile', lambda *_: None),
            ):
                self.submit_load(5)
                self.fleet.kill(self.owner())
                self.submit_load(10)
            overfilled += self.count('fell_over')
        self.assertGreater(overfilled, 0)

    def test_keepers_that_start_together_have_one_owner(self) -> None:
        """Guards against two owners that do not know of each other."""
        nodes = ('a-0/keeper', 'a-1/keeper')
        for node in nodes:
            self.fleet.kill(node)
        for node in nodes:
            self.fleet.start_keeper(node)
        for _ in range(16):
            self.submit_load(0.25)
            known = [
                keeper.membership.live('a')
                for node, keeper in self.fleet.keepers.items()
                if node.startswith('a') and self.is_serving(node)
            ]
            self.assertLessEqual(len(known), 1)
            self.assertTrue(all(len(view) == 3 for view in known))
        self.check()

    def is_serving(self, node: str) -> bool:
        """Return whether a keeper grants slots of the first engine."""
        dispatch = self.fleet.keepers[node].dispatch
        row = dispatch.targets.get('a-engine-0')
        return row is not None and row.serving


class TestTargetFaults(FleetCase):
    """Targets that report late, leave or are replaced."""

    def test_late_load_reports(self) -> None:
        """Guards against decisions on an outdated load."""
        self.fleet.late_s = 1.5
        self.submit_load(8)
        self.fleet.kill(self.owner())
        self.submit_load(10)
        self.check()

    def test_targets_leave_and_addresses_are_reused(self) -> None:
        """Guards against work after leaving and confusion of identities."""
        self.submit_load(4)
        self.fleet.drain('a-engine-0', 2)
        self.fleet.engines['a-engine-1'].leave(announced=True)
        self.submit_load(8)
        self.fleet.restore('a-engine-0', 0)
        self.fleet.restore('a-engine-1', 2)
        self.submit_load(8)
        self.check()

    def test_overload_of_one_domain_spills_over(self) -> None:
        """Guards against unused slots in other domains and their exhaustion."""
        self.submit_load(10, 14)
        engine = self.fleet.engines['b-engine-0']
        self.assertGreater(engine.counts['taken'], 0)
        self.assertLessEqual(engine.max_active, 1)
        self.check()

    def test_refused_requests_never_ran(self) -> None:
        """Guards against a refusal of a request that a target has run."""
        self.submit_load(15, 30)
        routers = self.fleet.routers.values()
        refused = set().union(*(router.refused for router in routers))
        self.assertTrue(refused)
        for engine in self.fleet.engines.values():
            self.assertFalse(refused & set(engine.records))


class FleetMachine(RuleBasedStateMachine):
    """Random sequences of load and faults on several owners and routers."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet(SITE, 1)
        self.workload = Workload(self.fleet.chance)
        self.fleet.run_until(6)
        self.ended: list[str] = []

    @rule(
        calls=strategies.integers(1, 15),
        domain=strategies.sampled_from('aab'),
    )
    def submit(self, calls: int, domain: str) -> None:
        for _ in range(calls):
            self.fleet.submit(self.workload, domain)

    @rule(seconds=strategies.sampled_from((0.1, 0.5, 1, 2, 4)))
    def wait(self, seconds: float) -> None:
        self.fleet.run_until(self.fleet.clock.now() + seconds)

    @rule(data=strategies.data())
    def kill(self, data: strategies.DataObject) -> None:
        nodes = sorted(self.fleet.network.endpoints)
        if len(nodes) > 4:
            node = data.draw(strategies.sampled_from(nodes))
            self.fleet.kill(node)
            self.ended.append(node)

    @precondition(lambda machine: machine.ended)
    @rule()
    def start(self) -> None:
        node = self.ended.pop()
        kind = 'start_router' if 'router' in node else 'start_keeper'
        getattr(self.fleet, kind)(node)

    @rule(
        data=strategies.data(),
        seconds=strategies.sampled_from((0.6, 1.2, 1.8, 2.5, 6)),
    )
    def pause(self, data: strategies.DataObject, seconds: float) -> None:
        nodes = sorted(
            set(self.fleet.network.endpoints) - self.fleet.network.paused,
        )
        if nodes:
            node = data.draw(strategies.sampled_from(nodes))
            self.fleet.pause(node, seconds)

    @rule(late=strategies.sampled_from((0, 1, 1.8)))
    def delay_reports(self, late: float) -> None:
        self.fleet.late_s = late

    @rule(name=strategies.sampled_from(('a-engine-0', 'b-engine-0')))
    def replace(self, name: str) -> None:
        self.fleet.restore(name, 1)

    @rule(name=strategies.sampled_from(('a-engine-0', 'a-engine-1')))
    def leave(self, name: str) -> None:
        self.fleet.drain(name, 1)

    @invariant()
    def targets_are_not_overfilled(self) -> None:
        for engine in self.fleet.engines.values():
            assert not engine.counts['fell_over'], engine.name
            assert not engine.counts['after_leaving_3s'], engine.name


FleetMachine.TestCase.settings = hypothesis.settings(
    max_examples=20,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestFleetMachine = FleetMachine.TestCase
