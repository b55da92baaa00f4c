"""Tests of the targets of an owner: leaving, versions, ejection, cache."""

import dataclasses
import datetime as dt
import unittest
from unittest import mock

from fuchsiafork import messages
from fuchsiafork.dispatch.cache_view import CacheView
from fuchsiafork.dispatch.health import Health, may_eject
from fuchsiafork.dispatch.router_slots import UNUSED_OBSERVATION
from fuchsiafork.dispatch.state import TargetState
from fuchsiafork.kernel import InvariantViolationError
from tests.dispatch_case import (
    BAD,
    ONE,
    TWO,
    OwnerCase,
)


class TestTargetMembership(OwnerCase):
    """Targets that leave, fail, return or are replaced."""

    def test_unready_target_gets_no_work(self) -> None:
        """Guards against work for a target that says that it leaves."""
        self.ready[ONE] = False
        self.step(0.5)
        self.assertEqual({one.target for one in self.fill(8)}, {TWO})

    def test_drained_target_gets_no_work_from_its_time_on(self) -> None:
        """Guards against work after the stated time."""
        at = dt.datetime.fromtimestamp(self.clock.wall() + 3, dt.UTC)
        section = self.document.targets[ONE]
        section = section.model_copy(update={'drain_at': at})
        targets = {**self.document.targets, ONE: section}
        self.configure(self.document.model_copy(update={'targets': targets}))
        self.assertIn(ONE, {one.target for one in self.fill(6)})
        self.step(3.5)
        late = {self.grant(f'late{number}').target for number in range(5)}
        self.assertEqual(late, {TWO})

    def test_target_on_leaving_vm_gets_no_work(self) -> None:
        """Guards against work for a VM that the platform takes back."""
        self.owner.set_leaving({TWO})
        self.assertEqual({one.target for one in self.fill(8)}, {ONE})

    def test_work_for_leaving_target_violates_the_invariant(self) -> None:
        """Negative control: without the membership rule the check fires."""
        self.owner.set_leaving({ONE, TWO})
        usable = mock.patch.object(TargetState, 'is_usable', lambda *_: True)
        with usable, self.assertRaises(InvariantViolationError):
            self.ask('r')

    def test_target_without_reports_gets_no_work(self) -> None:
        """Guards against trust in a load report that is long past."""
        self.silent.add(ONE)
        self.step(3)
        self.assertEqual({one.target for one in self.fill(8)}, {TWO})

    def test_old_reports_change_nothing(self) -> None:
        """Guards against reports that arrive out of order."""
        before = self.report_of(ONE)
        self.clock.advance(0.2)
        self.ready[ONE] = False
        self.owner.handle(self.report_of(ONE), '')
        self.owner.handle(before, '')
        self.assertFalse(self.owner.targets[ONE].ready)

    def test_reused_address_is_a_new_target(self) -> None:
        """Guards against slots and caches of a target that is gone."""
        self.fill(16)
        before = self.report_of(ONE)
        self.step(4)
        self.identities[ONE] = 'three'
        self.step(0.5)
        row = self.owner.targets[ONE]
        self.assertEqual((row.used, len(row.cache)), (0, 0))
        self.owner.handle(dataclasses.replace(before, taken_at=0), '')
        self.assertEqual(row.identity, 'three')

    def test_reports_of_full_lag_hide_no_slot(self) -> None:
        """Guards against room that only a late report shows."""
        self.fill(16)
        self.running = {ONE: 0, TWO: 0}
        self.step(3)
        self.assertEqual(self.ask('r'), [])


class TestVersions(OwnerCase):
    """What the version policy is asked and told."""

    def test_policy_hears_of_each_slot_once(self) -> None:
        """Guards against evidence that is counted twice or lost."""
        with (
            mock.patch.object(self.policy, 'started') as started,
            mock.patch.object(self.policy, 'ended') as ended,
        ):
            grant = self.grant('r')
            self.grant('r')
            self.release(grant, BAD)
            self.release(grant, BAD)
        started.assert_called_once_with('engine', 'engine-v1')
        ended.assert_called_once_with('engine', 'engine-v1', BAD)

    def test_request_goes_to_a_target_that_runs_its_version(self) -> None:
        """Guards against trust in the configured version while loading."""
        self.silent.add(ONE)
        self.clock.advance(0.1)
        loaded = dataclasses.replace(self.report_of(ONE), version='other')
        self.owner.handle(loaded, '')
        self.assertEqual({one.target for one in self.fill(8)}, {TWO})
        with mock.patch.object(self.policy, 'choose', lambda _: 'other'):
            self.assertEqual(self.grant('r').target, ONE)

    def test_version_of_a_waiting_request_is_chosen_anew(self) -> None:
        """Guards against work for a version after its verdict."""
        grants = self.fill()
        with mock.patch.object(self.policy, 'choose', lambda _: 'bad'):
            self.ask('r')
        self.step(1)
        self.mail.clear()
        self.release(grants[0])
        versions = [
            one.version
            for one in self.mail
            if isinstance(one, messages.SlotAcquired)
        ]
        self.assertEqual(versions, ['engine-v1'])


class TestEjection(unittest.TestCase):
    """Outliers."""

    def test_failures_in_a_row_make_an_outlier(self) -> None:
        """Guards against traffic that keeps failing on one target."""
        health = Health()
        self.assertEqual(
            [health.record(BAD, 0) for _ in range(3)],
            [False, False, True],
        )

    def test_at_most_a_third_is_ejected(self) -> None:
        """Guards against a common cause that ejects the whole group."""
        group = [Health() for _ in range(6)]
        for health in group[:2]:
            self.assertTrue(may_eject(group, 0))
            health.eject(0)
        self.assertFalse(may_eject(group, 0))
        self.assertFalse(may_eject(group[:1] + group[2:3], 0))

    def test_return_is_slow_and_longer_each_time(self) -> None:
        """Guards against a surge on a target that has just come back."""
        health = Health()
        self.assertEqual((health.eject(0), health.eject(5)), (5, 10))
        self.assertTrue(health.is_unavailable(14))
        self.assertAlmostEqual(health.capacity_share(20), 0.5)

    def test_failed_connect_keeps_work_away(self) -> None:
        """Guards against work for an address that refuses connections."""
        health = Health()
        health.record(dataclasses.replace(UNUSED_OBSERVATION, failed=True), 0)
        self.assertTrue(health.is_unavailable(0.5))
        self.assertFalse(health.is_unavailable(1.5))


class TestEjectionOfTargets(OwnerCase):
    """Outliers in a group of four."""

    def setUp(self) -> None:
        super().setUp()
        targets = dict(self.document.targets)
        for name in ('a-engine-2', 'a-engine-3'):
            targets[name] = targets[ONE]
            self.running[name] = 0
            self.ready[name] = True
            self.identities[name] = name
        self.configure(self.document.model_copy(update={'targets': targets}))
        self.step(6)

    def test_outlier_gets_no_work_and_the_next_one_stays(self) -> None:
        """Guards against failing requests, and against an empty group."""
        for name in (ONE, TWO):
            others = tuple(set(self.running) - {name})
            for number in range(4):
                request = f'{name}{number}'
                self.release(self.grant(request, exclude=others), BAD)
                if self.owner.targets[name].health.ejections:
                    break
        now = self.clock.now()
        out = [
            row.name
            for row in self.owner.targets.values()
            if row.health.is_ejected(now)
        ]
        self.assertEqual(out, [ONE])
        self.assertNotIn(ONE, {one.target for one in self.fill(12)})


class TestCacheView(unittest.TestCase):
    """Prefixes believed to be cached."""

    def events(self, first: int, *stored: int) -> messages.CacheEvents:
        """Return events that store prefixes."""
        last = first + len(stored) - 1
        return messages.CacheEvents(ONE, first, last, stored, ())

    def test_gap_clears_the_view(self) -> None:
        """Guards against prefixes whose eviction was missed."""
        view = CacheView()
        self.assertTrue(view.apply(self.events(1, 10, 11)))
        self.assertEqual(view.match((10, 11, 12)), 2)
        self.assertFalse(view.apply(self.events(5, 12)))
        self.assertEqual((view.match((10,)), view.match((12,))), (0, 1))

    def test_repeated_events_change_nothing(self) -> None:
        """Guards against a duplicate that is taken for a gap."""
        view = CacheView()
        view.apply(self.events(1, 10))
        view.apply(self.events(2, 11))
        self.assertTrue(view.apply(self.events(1, 10)))
        self.assertEqual(view.match((10, 11)), 2)

    def test_eviction_removes_a_sent_prefix(self) -> None:
        """Guards against a view that never forgets."""
        view = CacheView()
        view.record_sent((10,))
        view.apply(messages.CacheEvents(ONE, 1, 1, (), (10,)))
        self.assertEqual(view.match((10,)), 0)


class TestChoice(OwnerCase):
    """Prefix affinity against load."""

    def test_prompt_goes_to_its_cache_until_the_load_is_uneven(self) -> None:
        """Guards against a hot spot, and against cold caches."""
        stored = messages.CacheEvents(TWO, 1, 2, (7, 8), ())
        self.owner.handle(stored, '')
        self.assertEqual(self.grant('r', prefixes=(7, 8, 9)).target, TWO)
        targets = [
            self.grant(f'r{number}', prefixes=(7, 8, 9)).target
            for number in range(9)
        ]
        self.assertEqual(targets[:2], [TWO, ONE])
        # Of 10 requests, 1.25 times the mean is 7 at most.
        self.assertLessEqual(targets.count(TWO) + 1, 7)
