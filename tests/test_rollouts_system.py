"""Failures of rollouts over several keepers."""

import unittest

from fuchsiafork.kernel import InvariantViolationError
from fuchsiafork.rollouts.verdicts import decode_record
from tests.test_rollouts import (
    Fleet,
    all_fail,
    half_fails,
    make_document,
    seen,
    slow,
)


class TestBadVersions(unittest.TestCase):
    """Versions that are bad in different ways."""

    def test_bad_at_once(self) -> None:
        """Guards against a slow end of a version that fails at once."""
        fleet = Fleet()
        fleet.run(200, all_fail)
        self.assertEqual(fleet.verdict(), 'bad')
        self.assertLessEqual(len(fleet.new_at), 10)

    def test_later(self) -> None:
        """Guards against trust that a version has earned."""
        fleet = Fleet()
        fleet.run(620)
        before = len(fleet.new_at)
        fleet.run(120, half_fails)
        self.assertEqual(fleet.verdict(), 'bad')
        self.assertLessEqual(len(fleet.new_at) - before, 40)

    def test_slow_without_failing(self) -> None:
        """Guards against a test that only sees errors."""
        fleet = Fleet()
        fleet.run(400, slow)
        self.assertEqual(fleet.verdict(), 'bad')
        self.assertLessEqual(len(fleet.new_at), 60)

    def test_under_load(self) -> None:
        """Guards against a version that fails only with much traffic."""
        fleet = Fleet()

        def fault(domain: str, version: str) -> object:
            state = fleet.systems[domain].states['move']
            return seen(failed=version == 'new' and state.share() > 0.4)

        fleet.run(700, fault)
        self.assertEqual(fleet.verdict(), 'bad')

    def test_one_domain(self) -> None:
        """Guards against good domains that cover for a bad one."""
        fleet = Fleet()
        fleet.run(
            500,
            lambda domain, version: seen(
                failed=version == 'new' and domain == 'b',
            ),
        )
        self.assertEqual(fleet.verdict(), 'bad')

    def test_failing_domain_is_no_evidence(self) -> None:
        """Guards against a good version blamed for its failure domain."""
        fleet = Fleet()
        fleet.run(620)
        fleet.run(60, lambda domain, version: seen(failed=domain == 'b'))
        fleet.run(60)
        self.assertNotEqual(fleet.verdict(), 'bad')

    def test_one_route_only(self) -> None:
        """Guards against evidence of another route."""
        fleet = Fleet('a')
        fleet.run(300, all_fail)
        system = fleet.systems['a']
        self.assertEqual(system.choose('r'), 'old')
        self.assertEqual(system.choose('other'), '')


class TestPartition(unittest.TestCase):
    """Verdicts on both sides of a cut."""

    def test_cut_domain_decides_alone_and_bad_prevails(self) -> None:
        """Guards against a domain that cannot decide while it is cut off."""
        fleet = Fleet()
        fleet.network.isolate('c')
        for _ in range(300):
            fleet.send('c', all_fail)
            fleet.scheduler.run_until(fleet.clock.now() + 0.5)
        self.assertEqual(fleet.verdict('c'), 'bad')
        self.assertEqual(fleet.verdict('a'), '')
        fleet.network.heal()
        fleet.scheduler.run_until(fleet.clock.now() + 2)
        self.assertEqual(fleet.verdict('a'), 'bad')

    def test_no_request_2_s_after_the_verdict(self) -> None:
        """Guards against a domain that hears late of a verdict."""
        fleet = Fleet()
        fleet.run(400, all_fail)
        times = [moment for moment, _ in fleet.new_at]
        verdict = fleet.systems['a'].verdicts.in_force(
            'move',
            fleet.systems['a'].states['move'].digest,
        )
        reached = verdict.wall_ms / 1000 - fleet.clock.wall()
        self.assertLessEqual(max(times), reached + fleet.clock.now() + 2)

    def test_negative_control(self) -> None:
        """Sends to a bad version on purpose: the invariant must fire."""
        fleet = Fleet('a')
        fleet.run(200, all_fail)
        fleet.scheduler.run_until(fleet.clock.now() + 3)
        with self.assertRaises(InvariantViolationError):
            fleet.systems['a'].started('r', 'new')


class TestRecord(unittest.TestCase):
    """The record of verdicts in the store."""

    def test_lost_answer_is_read_back(self) -> None:
        """Guards against a verdict that is lost or written for ever."""
        fleet = Fleet()
        fleet.network.faults.store_lost_answer = 0.7
        fleet.run(200, all_fail)
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
        """Guards against a fleet that forgets when all keepers restart."""
        fleet = Fleet()
        fleet.run(200, all_fail)
        fleet.scheduler.run_until(fleet.clock.now() + 5)
        later = Fleet('d')
        later.store.rows.update(fleet.store.rows)
        later.scheduler.run_until(1)
        self.assertEqual(later.systems['d'].choose('r'), 'old')
        self.assertEqual(later.verdict('d'), 'bad')

    def test_store_outage_does_not_delay_the_verdict(self) -> None:
        """Guards against a verdict that needs the store."""
        fleet = Fleet()
        fleet.network.faults.store_down = True
        fleet.run(200, all_fail)
        self.assertEqual(fleet.verdict(), 'bad')


class TestOperators(unittest.TestCase):
    """Changes of the section."""

    def test_take_back(self) -> None:
        """Guards against traffic that goes on after an operator's order."""
        fleet = Fleet()
        fleet.run(620)
        self.assertEqual(fleet.systems['a'].choose('r'), 'new')
        fleet.systems['b'].configure(
            make_document(fleet.clock, take_back=True),
        )
        self.assertEqual(fleet.systems['b'].choose('r'), 'old')

    def test_racing_operators(self) -> None:
        """Guards against a verdict on a section that another has replaced."""
        fleet = Fleet()
        fleet.systems['a'].configure(make_document(fleet.clock, length=900))
        for _ in range(300):
            fleet.send('b', all_fail)
            fleet.scheduler.run_until(fleet.clock.now() + 0.5)
        self.assertEqual(fleet.verdict('b'), 'bad')
        self.assertEqual(fleet.verdict('a'), '')

    def test_old_targets_gone(self) -> None:
        """Guards against traffic to an old version without targets."""
        fleet = Fleet('a')
        fleet.run(620)
        fleet.systems['a'].set_target_count('old', 0)
        fleet.run(60, all_fail)
        self.assertEqual(fleet.systems['a'].choose('r'), 'new')
        self.assertEqual(fleet.events('a', 'rollback_impossible'), 1)
        fleet.systems['a'].set_target_count('old', 1)
        fleet.run(60, all_fail)
        self.assertEqual(fleet.systems['a'].choose('r'), 'old')
