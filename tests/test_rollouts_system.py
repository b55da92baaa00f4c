"""Tests of rollouts over several keepers, with faults."""

import unittest

from fuchsiafork.kernel import InvariantViolationError
from fuchsiafork.rollouts.verdicts import decode_record
from tests.test_rollouts import (
    RolloutFleet,
    all_new_fail,
    half_of_new_fail,
    make_document,
    make_observation,
    new_is_slow,
)


class TestBadVersions(unittest.TestCase):
    """Versions that are bad in different ways."""

    def test_failing_from_the_start(self) -> None:
        """Guards against a late verdict on a version that always fails."""
        fleet = RolloutFleet()
        fleet.run(200, all_new_fail)
        self.assertEqual(fleet.verdict(), 'bad')
        self.assertLessEqual(len(fleet.new_requests), 10)

    def test_failing_after_being_proven(self) -> None:
        """Guards against earlier good evidence that delays a verdict."""
        fleet = RolloutFleet()
        fleet.run(620)
        before = len(fleet.new_requests)
        fleet.run(120, half_of_new_fail)
        self.assertEqual(fleet.verdict(), 'bad')
        self.assertLessEqual(len(fleet.new_requests) - before, 40)

    def test_slow_without_failing(self) -> None:
        """Guards against evidence that only counts errors."""
        fleet = RolloutFleet()
        fleet.run(400, new_is_slow)
        self.assertEqual(fleet.verdict(), 'bad')
        self.assertLessEqual(len(fleet.new_requests), 60)

    def test_failing_under_load(self) -> None:
        """Guards against missing a version that fails only under load."""
        fleet = RolloutFleet()

        def fault(domain: str, version: str) -> object:
            state = fleet.systems[domain].states['move']
            return make_observation(
                failed=version == 'new' and state.share() > 0.4
            )

        fleet.run(700, fault)
        self.assertEqual(fleet.verdict(), 'bad')

    def test_failing_in_one_domain(self) -> None:
        """Guards against good domains that hide a failing one."""
        fleet = RolloutFleet()
        fleet.run(
            500,
            lambda domain, version: make_observation(
                failed=version == 'new' and domain == 'b',
            ),
        )
        self.assertEqual(fleet.verdict(), 'bad')

    def test_failing_domain_is_no_evidence(self) -> None:
        """Guards against a good version blamed for its failure domain."""
        fleet = RolloutFleet()
        fleet.run(620)
        fleet.run(
            60, lambda domain, version: make_observation(failed=domain == 'b')
        )
        fleet.run(60)
        self.assertNotEqual(fleet.verdict(), 'bad')

    def test_one_route_only(self) -> None:
        """Guards against a verdict that affects another route."""
        fleet = RolloutFleet('a')
        fleet.run(300, all_new_fail)
        system = fleet.systems['a']
        self.assertEqual(system.choose('r'), 'old')
        self.assertEqual(system.choose('other'), '')


class TestPartition(unittest.TestCase):
    """Verdicts on both sides of a network partition."""

    def test_partitioned_domain_decides_alone_and_bad_prevails(self) -> None:
        """Guards against a domain that can't decide while it is partitioned."""
        fleet = RolloutFleet()
        fleet.network.isolate('c')
        for _ in range(300):
            fleet.send('c', all_new_fail)
            fleet.scheduler.run_until(fleet.clock.now() + 0.5)
        self.assertEqual(fleet.verdict('c'), 'bad')
        self.assertEqual(fleet.verdict('a'), '')
        fleet.network.heal()
        fleet.scheduler.run_until(fleet.clock.now() + 2)
        self.assertEqual(fleet.verdict('a'), 'bad')

    def test_no_request_2_s_after_the_verdict(self) -> None:
        """Guards against a domain that receives a verdict late."""
        fleet = RolloutFleet()
        fleet.run(400, all_new_fail)
        times = [moment for moment, _ in fleet.new_requests]
        verdict = fleet.systems['a'].verdicts.in_force(
            'move',
            fleet.systems['a'].states['move'].digest,
        )
        reached = verdict.wall_ms / 1000 - fleet.clock.wall()
        self.assertLessEqual(max(times), reached + fleet.clock.now() + 2)

    def test_negative_control(self) -> None:
        """Sends to a bad version on purpose to violate the invariant."""
        fleet = RolloutFleet('a')
        fleet.run(200, all_new_fail)
        fleet.scheduler.run_until(fleet.clock.now() + 3)
        with self.assertRaises(InvariantViolationError):
            fleet.systems['a'].started('r', 'new')


class TestRecord(unittest.TestCase):
    """The record of verdicts in the store."""

    def test_lost_answer_is_read_back(self) -> None:
        """Guards against a verdict that is lost or written endlessly."""
        fleet = RolloutFleet()
        fleet.network.faults.store_lost_answer = 0.7
        fleet.run(200, all_new_fail)
        fleet.network.faults.store_lost_answer = 0.0
        fleet.scheduler.run_until(fleet.clock.now() + 40)
        stored = decode_record(fleet.store.read('verdicts/move')[1])
        self.assertEqual(
            {verdict.verdict for _, verdict in stored},
            {'bad'},
        )
        writes = fleet.store.calls['write']
        fleet.scheduler.run_until(fleet.clock.now() + 60)
        self.assertEqual(fleet.store.calls['write'], writes)

    def test_verdict_is_read_at_start(self) -> None:
        """Guards against verdicts lost when all keepers restart."""
        fleet = RolloutFleet()
        fleet.run(200, all_new_fail)
        fleet.scheduler.run_until(fleet.clock.now() + 5)
        later = RolloutFleet('d')
        later.store.rows.update(fleet.store.rows)
        later.scheduler.run_until(1)
        self.assertEqual(later.systems['d'].choose('r'), 'old')
        self.assertEqual(later.verdict('d'), 'bad')

    def test_store_outage_does_not_delay_the_verdict(self) -> None:
        """Guards against a verdict that depends on the store."""
        fleet = RolloutFleet()
        fleet.network.faults.store_down = True
        fleet.run(200, all_new_fail)
        self.assertEqual(fleet.verdict(), 'bad')


class TestOperators(unittest.TestCase):
    """Changes of the rollout section by operators."""

    def test_take_back(self) -> None:
        """Guards against traffic that continues after a manual rollback."""
        fleet = RolloutFleet()
        fleet.run(620)
        self.assertEqual(fleet.systems['a'].choose('r'), 'new')
        fleet.systems['b'].configure(
            make_document(fleet.clock, take_back=True),
        )
        self.assertEqual(fleet.systems['b'].choose('r'), 'old')

    def test_racing_operators(self) -> None:
        """Guards against a verdict applied to a section that was replaced."""
        fleet = RolloutFleet()
        fleet.systems['a'].configure(make_document(fleet.clock, duration_s=900))
        for _ in range(300):
            fleet.send('b', all_new_fail)
            fleet.scheduler.run_until(fleet.clock.now() + 0.5)
        self.assertEqual(fleet.verdict('b'), 'bad')
        self.assertEqual(fleet.verdict('a'), '')

    def test_old_targets_gone(self) -> None:
        """Guards against traffic to an old version without targets."""
        fleet = RolloutFleet('a')
        fleet.run(620)
        fleet.systems['a'].set_target_count('old', 0)
        fleet.run(60, all_new_fail)
        self.assertEqual(fleet.systems['a'].choose('r'), 'new')
        self.assertEqual(fleet.events('a', 'rollback_impossible'), 1)
        fleet.systems['a'].set_target_count('old', 1)
        fleet.run(60, all_new_fail)
        self.assertEqual(fleet.systems['a'].choose('r'), 'old')
