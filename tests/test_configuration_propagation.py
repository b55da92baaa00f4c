"""Tests of configuration distribution in a simulated fleet."""

import dataclasses
import random
import unittest

from fuchsiafork.configuration import (
    ActiveConfiguration,
    ConfigurationStore,
    ConfigurationSystem,
)
from fuchsiafork.keeper.node import KeeperNode
from fuchsiafork.kernel import Identity
from fuchsiafork.membership import MembershipSystem
from standins.store_model import StoreModel
from standins.virtual import Faults, Scheduler, VirtualClock, VirtualNetwork
from tests.test_configuration_store import (
    ModelClient,
    add_budget,
    apply_sample,
    change,
)
from tests.test_kernel import make_context

# Time limit for a revision to be in force on all reachable nodes.
MAX_PROPAGATION_S = 5


class Fleet:
    """Simulated keepers of several failure domains with one store."""

    def __init__(
        self,
        seed: int = 1,
        domains: str = 'abc',
        size: int = 3,
        active_type: type[ActiveConfiguration] = ActiveConfiguration,
    ) -> None:
        """Start all keepers and make them known to each other."""
        self.clock = VirtualClock()
        self.scheduler = Scheduler(self.clock)
        self.model = StoreModel(self.clock.now)
        self.rng = random.Random(seed)
        self.network = VirtualNetwork(
            self.scheduler, self.model, self.rng, Faults()
        )
        self.operator = ConfigurationStore(ModelClient(self.model))
        self.systems: dict[str, ConfigurationSystem] = {}
        self.applied_revisions: dict[str, list[int]] = {}
        self._active_type = active_type
        self._starts = 0
        for domain in domains:
            for number in range(size):
                self.start(f'{domain}-{number}/keeper')
        for node in self.systems:
            self.add_member(node)

    def start(self, node: str) -> None:
        """Start a keeper with empty state."""
        self._starts += 1
        domain = node[0]
        identity = Identity(node, domain, node[:3], f'i{self._starts}')
        base = make_context(node, self.clock, self._starts)
        context = dataclasses.replace(base, identity=identity)
        membership = MembershipSystem(context, f'{node}:1')
        active = self._active_type()
        system = ConfigurationSystem(context, membership, active)
        self.systems[node] = system
        self.applied_revisions[node] = []
        active.subscribe(
            lambda _: self.applied_revisions[node].append(active.revision)
        )
        keeper = KeeperNode(context, membership, [('configuration', system)])
        self.network.add(node, domain, keeper)
        self.network.tick_every(node, 0.1)

    def add_member(self, node: str) -> None:
        """Add a keeper to the membership of all others, as a heartbeat does."""
        for other in self.systems:
            if other != node:
                membership = self.systems[other]._membership
                heartbeat = self.systems[node]._membership._heartbeat(0)
                membership.handle(heartbeat, node)

    def restart(self, node: str) -> None:
        """Kill a keeper and start it again with empty state."""
        self.network.kill(node)
        self.start(node)
        self.add_member(node)

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        self.scheduler.run_until(self.clock.now() + seconds)

    def revisions(self, excluded_domain: str = ' ') -> set[int]:
        """Return the revisions in force, except in an excluded domain."""
        return {
            system.active.revision
            for node, system in self.systems.items()
            if node in self.network.endpoints and node[0] != excluded_domain
        }

    def reader(self, domain: str) -> str:
        """Return the head reader of a domain."""
        return next(
            node
            for node, system in self.systems.items()
            if node[0] == domain and system.is_head_reader
        )

    def reverts(self) -> list[str]:
        """Return the keepers whose revisions did not strictly increase."""
        return [
            node
            for node, applied_revisions in self.applied_revisions.items()
            if applied_revisions != sorted(set(applied_revisions))
        ]


class TestPropagation(unittest.TestCase):
    """Distribution within the time limit, with and without faults."""

    def test_in_force_everywhere_within_bound(self) -> None:
        """Guards against a keeper that misses a change after message loss."""
        for seed in range(5):
            fleet = Fleet(seed, 'abcd', 6)
            fleet.network.faults.drop = 0.05
            fleet.network.faults.duplicate = 0.05
            fleet.network.faults.store_lost_answer = 0.1
            apply_sample(fleet.operator)
            for number in range(6):
                fleet.run(MAX_PROPAGATION_S)
                self.assertEqual(fleet.revisions(), {number + 1}, f'{seed=}')
                name = f'b{number}'
                fleet.operator.apply(change(name), add_budget(name))
            self.assertEqual(fleet.reverts(), [])

    def test_dead_reader_is_replaced_within_bound(self) -> None:
        """Guards against a change that is delayed by a dead head reader."""
        fleet = Fleet()
        apply_sample(fleet.operator)
        fleet.run(MAX_PROPAGATION_S)
        for domain in 'abc':
            fleet.network.kill(fleet.reader(domain))
        fleet.operator.apply(change('c2'), add_budget('b2'))
        fleet.run(MAX_PROPAGATION_S)
        self.assertEqual(fleet.revisions(), {2})

    def test_watch_triggers_a_read_at_once(self) -> None:
        """Guards against a watch that has no effect."""
        fleet = Fleet()
        fleet.run(1)
        apply_sample(fleet.operator)
        for domain in 'abc':
            reader = fleet.reader(domain)
            fleet.systems[reader].head_changed(1)
            fleet.network.flush(reader)
        fleet.run(0.1)
        self.assertEqual(fleet.revisions(), {1})

    def test_partitioned_domain_keeps_its_revision_and_catches_up(self) -> None:
        """Guards against a partitioned domain that reverts or stays behind."""
        fleet = Fleet()
        apply_sample(fleet.operator)
        fleet.run(MAX_PROPAGATION_S)
        fleet.network.isolate('a')
        fleet.operator.apply(change('c2'), add_budget('b2'))
        fleet.run(MAX_PROPAGATION_S)
        self.assertEqual(fleet.revisions(excluded_domain='a'), {2})
        self.assertEqual(fleet.systems['a-0/keeper'].active.revision, 1)
        fleet.network.heal()
        fleet.run(MAX_PROPAGATION_S)
        self.assertEqual(fleet.revisions(), {2})

    def test_domain_without_store_fetches_from_other_domains(self) -> None:
        """Guards against a domain that gets no changes without the store."""
        fleet = Fleet()
        fleet.network.partitioned_from_store.add('a')
        apply_sample(fleet.operator)
        fleet.run(MAX_PROPAGATION_S)
        self.assertEqual(fleet.revisions(), {1})

    def test_restart_in_an_outage_fetches_from_peers(self) -> None:
        """Guards against a keeper that cannot start while the store is down."""
        fleet = Fleet()
        fleet.network.faults.store_down = True
        fleet.run(MAX_PROPAGATION_S)
        self.assertFalse(fleet.systems['a-0/keeper'].active.ready)
        fleet.network.faults.store_down = False
        apply_sample(fleet.operator)
        fleet.run(MAX_PROPAGATION_S)
        fleet.network.faults.store_down = True
        for number in range(3):
            fleet.restart(f'a-{number}/keeper')
        self.assertEqual(fleet.revisions(), {0, 1})
        fleet.run(MAX_PROPAGATION_S)
        self.assertEqual(fleet.revisions(), {1})

    def test_random_faults_never_revert(self) -> None:
        """Guards against reverting to an old revision."""
        for seed in range(10):
            fleet = Fleet(seed)
            apply_sample(fleet.operator)
            for number in range(12):
                self.inject_random_faults(fleet)
                name = f'b{number}'
                fleet.operator.apply(change(name), add_budget(name))
                fleet.run(fleet.rng.uniform(0, 4))
            fleet.network.heal()
            fleet.network.faults = Faults()
            for node in tuple(fleet.network.paused):
                fleet.network.resume(node)
            fleet.run(MAX_PROPAGATION_S)
            self.assertEqual(fleet.reverts(), [], f'{seed=}')
            self.assertEqual(fleet.revisions(), {13}, f'{seed=}')

    def inject_random_faults(self, fleet: Fleet) -> None:
        """Replace the injected faults by random ones."""
        network, rng = fleet.network, fleet.rng
        node = rng.choice(sorted(fleet.systems))
        if node in network.paused:
            network.resume(node)
        elif rng.random() < 0.3:
            network.pause(node)
        elif rng.random() < 0.5:
            fleet.restart(node)
        network.heal()
        if rng.random() < 0.5:
            network.isolate(rng.choice('abc'))
        network.faults = Faults(
            drop=rng.uniform(0, 0.3),
            duplicate=rng.uniform(0, 0.3),
            delay_s=(0.001, rng.uniform(0.01, 3)),
            store_delay_s=(0.001, rng.uniform(0.01, 2)),
            store_lost_answer=rng.uniform(0, 0.3),
            store_down=rng.random() < 0.3,
        )
