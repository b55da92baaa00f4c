"""Tests of the configuration's spread over a virtual fleet."""

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
    apply_sample,
    budget,
    change,
)
from tests.test_kernel import make_context

# R9: in force on all reachable nodes.
BOUND_S = 5


class Fleet:
    """Keepers of several failure domains over one store."""

    def __init__(
        self,
        seed: int = 1,
        domains: str = 'abc',
        size: int = 3,
        active: type[ActiveConfiguration] = ActiveConfiguration,
    ) -> None:
        """Start all keepers; each knows the others."""
        self.clock = VirtualClock()
        self.scheduler = Scheduler(self.clock)
        self.model = StoreModel(self.clock.now)
        self.chance = random.Random(seed)
        self.network = VirtualNetwork(
            self.scheduler, self.model, self.chance, Faults()
        )
        self.operator = ConfigurationStore(ModelClient(self.model))
        self.systems: dict[str, ConfigurationSystem] = {}
        self.seen: dict[str, list[int]] = {}
        self._active_type = active
        self._starts = 0
        for domain in domains:
            for number in range(size):
                self.start(f'{domain}-{number}/keeper')
        for node in self.systems:
            self.introduce(node)

    def start(self, node: str) -> None:
        """Start a keeper with nothing in memory."""
        self._starts += 1
        domain = node[0]
        identity = Identity(node, domain, node[:3], f'i{self._starts}')
        base = make_context(node, self.clock, self._starts)
        context = dataclasses.replace(base, identity=identity)
        membership = MembershipSystem(context, f'{node}:1')
        active = self._active_type()
        system = ConfigurationSystem(context, membership, active)
        self.systems[node] = system
        self.seen[node] = []
        active.subscribe(lambda _: self.seen[node].append(active.revision))
        keeper = KeeperNode(context, membership, [('configuration', system)])
        self.network.add(node, domain, keeper)
        self.network.every(node, 0.1)

    def introduce(self, node: str) -> None:
        """Make a keeper known to all others, as its links do."""
        for other in self.systems:
            if other != node:
                membership = self.systems[other]._membership
                beat = self.systems[node]._membership._heartbeat(0)
                membership.handle(beat, node)

    def restart(self, node: str) -> None:
        """Replace a keeper by one that knows nothing."""
        self.network.kill(node)
        self.start(node)
        self.introduce(node)

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.scheduler.run_until(self.clock.now() + seconds)

    def revisions(self, but: str = ' ') -> set[int]:
        """Return the revisions in force outside a domain."""
        return {
            system.active.revision
            for node, system in self.systems.items()
            if node in self.network.endpoints and node[0] != but
        }

    def reader(self, domain: str) -> str:
        """Return the keeper that reads the head for a domain."""
        return next(
            node
            for node, system in self.systems.items()
            if node[0] == domain and system.is_head_reader
        )

    def reverts(self) -> list[str]:
        """Return the keepers on which a revision did not rise."""
        return [
            node
            for node, seen in self.seen.items()
            if seen != sorted(set(seen))
        ]


class TestSpread(unittest.TestCase):
    """R9 under faults."""

    def test_in_force_everywhere_within_bound(self) -> None:
        """Guards against a node that misses a change in ordinary faults."""
        for seed in range(5):
            fleet = Fleet(seed, 'abcd', 6)
            fleet.network.faults.drop = 0.05
            fleet.network.faults.duplicate = 0.05
            fleet.network.faults.store_lost_answer = 0.1
            apply_sample(fleet.operator)
            for number in range(6):
                fleet.run(BOUND_S)
                self.assertEqual(fleet.revisions(), {number + 1}, f'{seed=}')
                name = f'b{number}'
                fleet.operator.apply(change(name), budget(name))
            self.assertEqual(fleet.reverts(), [])

    def test_dead_reader_is_replaced_within_bound(self) -> None:
        """Guards against a change that waits for a dead keeper."""
        fleet = Fleet()
        apply_sample(fleet.operator)
        fleet.run(BOUND_S)
        for domain in 'abc':
            fleet.network.kill(fleet.reader(domain))
        fleet.operator.apply(change('c2'), budget('b2'))
        fleet.run(BOUND_S)
        self.assertEqual(fleet.revisions(), {2})

    def test_watch_shortens_the_way(self) -> None:
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

    def test_cut_domain_keeps_its_revision_and_catches_up(self) -> None:
        """Guards against a domain that reverts or stays behind."""
        fleet = Fleet()
        apply_sample(fleet.operator)
        fleet.run(BOUND_S)
        fleet.network.isolate('a')
        fleet.operator.apply(change('c2'), budget('b2'))
        fleet.run(BOUND_S)
        self.assertEqual(fleet.revisions(but='a'), {2})
        self.assertEqual(fleet.systems['a-0/keeper'].active.revision, 1)
        fleet.network.heal()
        fleet.run(BOUND_S)
        self.assertEqual(fleet.revisions(), {2})

    def test_domain_without_store_learns_from_the_others(self) -> None:
        """Guards against a domain that needs the platform for a change."""
        fleet = Fleet()
        fleet.network.cut_from_store.add('a')
        apply_sample(fleet.operator)
        fleet.run(BOUND_S)
        self.assertEqual(fleet.revisions(), {1})

    def test_restart_in_an_outage_asks_peers(self) -> None:
        """Guards against a VM that cannot start while the store is down."""
        fleet = Fleet()
        fleet.network.faults.store_down = True
        fleet.run(BOUND_S)
        self.assertFalse(fleet.systems['a-0/keeper'].active.ready)
        fleet.network.faults.store_down = False
        apply_sample(fleet.operator)
        fleet.run(BOUND_S)
        fleet.network.faults.store_down = True
        for number in range(3):
            fleet.restart(f'a-{number}/keeper')
        self.assertEqual(fleet.revisions(), {0, 1})
        fleet.run(BOUND_S)
        self.assertEqual(fleet.revisions(), {1})

    def test_random_faults_never_revert(self) -> None:
        """Guards against an old revision that comes back."""
        for seed in range(10):
            fleet = Fleet(seed)
            apply_sample(fleet.operator)
            for number in range(12):
                self.disturb(fleet)
                name = f'b{number}'
                fleet.operator.apply(change(name), budget(name))
                fleet.run(fleet.chance.uniform(0, 4))
            fleet.network.heal()
            fleet.network.faults = Faults()
            for node in tuple(fleet.network.paused):
                fleet.network.resume(node)
            fleet.run(BOUND_S)
            self.assertEqual(fleet.reverts(), [], f'{seed=}')
            self.assertEqual(fleet.revisions(), {13}, f'{seed=}')

    def disturb(self, fleet: Fleet) -> None:
        """Change at random what goes wrong."""
        network, chance = fleet.network, fleet.chance
        node = chance.choice(sorted(fleet.systems))
        if node in network.paused:
            network.resume(node)
        elif chance.random() < 0.3:
            network.pause(node)
        elif chance.random() < 0.5:
            fleet.restart(node)
        network.heal()
        if chance.random() < 0.5:
            network.isolate(chance.choice('abc'))
        network.faults = Faults(
            drop=chance.uniform(0, 0.3),
            duplicate=chance.uniform(0, 0.3),
            delay_s=(0.001, chance.uniform(0.01, 3)),
            store_delay_s=(0.001, chance.uniform(0.01, 2)),
            store_lost_answer=chance.uniform(0, 0.3),
            store_down=chance.random() < 0.3,
        )
