"""Tests of targets: leaving, versions, ejection and cache affinity."""

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
    ENGINE_1,
    ENGINE_2,
    FAILED,
    OwnerCase,
)


class TestTargetMembership(OwnerCase):
    """Targets that leave, fail, return or are replaced."""

    def test_unready_target_gets_no_work(self) -> None:
        """Guards against work for a target that announces that it leaves."""
        self.ready[ENGINE_1] = False
        self.run_for(0.5)
        self.assertEqual({one.target for one in self.fill(8)}, {ENGINE_2})

    def test_target_gets_no_work_after_its_drain_time(self) -> None:
        """Guards against work for a target after its configured drain time."""
        at = dt.datetime.fromtimestamp(self.clock.wall() + 3, dt.UTC)
        section = self.document.targets[ENGINE_1]
        section = section.model_copy(update={'drain_at': at})
        targets = {**self.document.targets, ENGINE_1: section}
        self.configure(self.document.model_copy(update={'targets': targets}))
        self.assertIn(ENGINE_1, {one.target for one in self.fill(6)})
        self.run_for(3.5)
        late = {self.grant(f'late{number}').target for number in range(5)}
        self.assertEqual(late, {ENGINE_2})

    def test_target_on_leaving_vm_gets_no_work(self) -> None:
        """Guards against work for a VM that the platform takes back."""
        self.owner.set_leaving({ENGINE_2})
        self.assertEqual({one.target for one in self.fill(8)}, {ENGINE_1})

    def test_work_for_leaving_target_violates_the_invariant(self) -> None:
        """Negative control: if every target is usable the check fails."""
        self.owner.set_leaving({ENGINE_1, ENGINE_2})
        usable = mock.patch.object(TargetState, 'is_usable', lambda *_: True)
        with usable, self.assertRaises(InvariantViolationError):
            self.request('r')

    def test_target_without_reports_gets_no_work(self) -> None:
        """Guards against decisions on an outdated load report."""
        self.unresponsive.add(ENGINE_1)
        self.run_for(3)
        self.assertEqual({one.target for one in self.fill(8)}, {ENGINE_2})

    def test_outdated_reports_are_ignored(self) -> None:
        """Guards against reports that arrive out of order."""
        before = self.load_report(ENGINE_1)
        self.clock.advance(0.2)
        self.ready[ENGINE_1] = False
        self.owner.handle(self.load_report(ENGINE_1), '')
        self.owner.handle(before, '')
        self.assertFalse(self.owner.targets[ENGINE_1].ready)

    def test_reused_address_is_a_new_target(self) -> None:
        """Guards against counting slots and caches of a replaced target."""
        self.fill(16)
        before = self.load_report(ENGINE_1)
        self.run_for(4)
        self.identities[ENGINE_1] = 'three'
        self.run_for(0.5)
        row = self.owner.targets[ENGINE_1]
        self.assertEqual((row.used, len(row.cache)), (0, 0))
        self.owner.handle(dataclasses.replace(before, taken_at=0), '')
        self.assertEqual(row.identity, 'three')

    def test_late_reports_do_not_free_slots(self) -> None:
        """Guards against slots freed by a report from before their use."""
        self.fill(16)
        self.running = {ENGINE_1: 0, ENGINE_2: 0}
        self.run_for(3)
        self.assertEqual(self.request('r'), [])


class TestVersions(OwnerCase):
    """Use of the version policy."""

    def test_policy_is_told_of_each_slot_once(self) -> None:
        """Guards against evidence that is counted twice or lost."""
        with (
            mock.patch.object(self.policy, 'started') as started,
            mock.patch.object(self.policy, 'ended') as ended,
        ):
            grant = self.grant('r')
            self.grant('r')
            self.release(grant, FAILED)
            self.release(grant, FAILED)
        started.assert_called_once_with('engine', 'engine-v1')
        ended.assert_called_once_with('engine', 'engine-v1', FAILED)

    def test_request_goes_to_a_target_that_runs_its_version(self) -> None:
        """Guards against use of the configured version during loading."""
        self.unresponsive.add(ENGINE_1)
        self.clock.advance(0.1)
        loaded = dataclasses.replace(
            self.load_report(ENGINE_1), version='other'
        )
        self.owner.handle(loaded, '')
        self.assertEqual({one.target for one in self.fill(8)}, {ENGINE_2})
        with mock.patch.object(self.policy, 'choose', lambda _: 'other'):
            self.assertEqual(self.grant('r').target, ENGINE_1)

    def test_version_of_a_queued_request_is_chosen_again(self) -> None:
        """Guards against work for a version after its rollout verdict."""
        grants = self.fill()
        with mock.patch.object(self.policy, 'choose', lambda _: 'bad'):
            self.request('r')
        self.run_for(1)
        self.sent.clear()
        self.release(grants[0])
        versions = [
            one.version
            for one in self.sent
            if isinstance(one, messages.SlotAcquired)
        ]
        self.assertEqual(versions, ['engine-v1'])


class TestEjection(unittest.TestCase):
    """Health of single targets and the limit on ejections."""

    def test_consecutive_failures_make_an_outlier(self) -> None:
        """Guards against requests that keep failing on one target."""
        health = Health()
        self.assertEqual(
            [health.record(FAILED, 0) for _ in range(3)],
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

    def test_return_is_gradual_and_ejections_get_longer(self) -> None:
        """Guards against overload of a target that has just returned."""
        health = Health()
        self.assertEqual((health.eject(0), health.eject(5)), (5, 10))
        self.assertTrue(health.is_unavailable(14))
        self.assertAlmostEqual(health.capacity_share(20), 0.5)

    def test_failed_connect_pauses_the_target(self) -> None:
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
            targets[name] = targets[ENGINE_1]
            self.running[name] = 0
            self.ready[name] = True
            self.identities[name] = name
        self.configure(self.document.model_copy(update={'targets': targets}))
        self.run_for(6)

    def test_outlier_is_ejected_and_a_second_one_is_kept(self) -> None:
        """Guards against failing requests and a group without targets."""
        for name in (ENGINE_1, ENGINE_2):
            others = tuple(set(self.running) - {name})
            for number in range(4):
                request = f'{name}{number}'
                self.release(self.grant(request, exclude=others), FAILED)
                if self.owner.targets[name].health.ejections:
                    break
        now = self.clock.now()
        out = [
            row.name
            for row in self.owner.targets.values()
            if row.health.is_ejected(now)
        ]
        self.assertEqual(out, [ENGINE_1])
        self.assertNotIn(ENGINE_1, {one.target for one in self.fill(12)})


class TestCacheView(unittest.TestCase):
    """Prefixes that are expected to be cached."""

    def events(self, first: int, *stored: int) -> messages.CacheEvents:
        """Return events that store prefixes."""
        last = first + len(stored) - 1
        return messages.CacheEvents(ENGINE_1, first, last, stored, ())

    def test_gap_clears_the_view(self) -> None:
        """Guards against prefixes whose eviction was missed."""
        view = CacheView()
        self.assertTrue(view.apply(self.events(1, 10, 11)))
        self.assertEqual(view.match((10, 11, 12)), 2)
        self.assertFalse(view.apply(self.events(5, 12)))
        self.assertEqual((view.match((10,)), view.match((12,))), (0, 1))

    def test_duplicate_events_are_ignored(self) -> None:
        """Guards against a duplicate that is treated as a gap."""
        view = CacheView()
        view.apply(self.events(1, 10))
        view.apply(self.events(2, 11))
        self.assertTrue(view.apply(self.events(1, 10)))
        self.assertEqual(view.match((10, 11)), 2)

    def test_eviction_removes_a_sent_prefix(self) -> None:
        """Guards against prefixes that stay in the view after eviction."""
        view = CacheView()
        view.record_sent((10,))
        view.apply(messages.CacheEvents(ENGINE_1, 1, 1, (), (10,)))
        self.assertEqual(view.match((10,)), 0)


class TestSelection(OwnerCase):
    """Prefix affinity against load."""

    def test_prompt_goes_to_its_cache_within_the_load_bound(self) -> None:
        """Guards against hot spots and unused caches."""
        stored = messages.CacheEvents(ENGINE_2, 1, 2, (7, 8), ())
        self.owner.handle(stored, '')
        self.assertEqual(self.grant('r', prefixes=(7, 8, 9)).target, ENGINE_2)
        targets = [
            self.grant(f'r{number}', prefixes=(7, 8, 9)).target
            for number in range(9)
        ]
        self.assertEqual(targets[:2], [ENGINE_2, ENGINE_1])
        # Of 10 requests, 1.25 times the mean is 7 at most.
        self.assertLessEqual(targets.count(ENGINE_2) + 1, 7)
