"""Tests that the engine stand-in has the limits and faults of a real engine."""

import random
import unittest

from standins.engine_model import EngineModel
from standins.engine_types import EngineError, EngineSettings, State, Submission
from standins.engine_versions import FenceError, Order, VersionBehaviour
from standins.virtual import VirtualClock


class EngineTestCase(unittest.TestCase):
    """An engine on a virtual clock."""

    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.engine = self.make(EngineSettings(capacity=2, cache_blocks=3))

    def make(self, settings: EngineSettings) -> EngineModel:
        """Return an engine with these settings."""
        return EngineModel('e', self.clock.now, random.Random(1), settings)

    def run_for(self, seconds: float) -> None:
        """Advance the clock and the engine."""
        self.clock.advance(seconds)
        self.engine.advance()


class TestEngineLoad(EngineTestCase):
    """Batching, capacity and load reports."""

    def test_falls_over_past_capacity(self) -> None:
        """Guards against an engine that queues requests beyond its capacity."""
        for number in range(2):
            self.engine.submit(Submission(f'r{number}', 10, 50))
        identity = self.engine.identity
        with self.assertRaises(EngineError):
            self.engine.submit(Submission('r2', 10, 50))
        self.assertEqual(self.engine.counts['fell_over'], 1)
        self.assertEqual(self.engine.counts['failed'], 3)
        self.assertNotEqual(self.engine.identity, identity)
        with self.assertRaises(EngineError):
            self.engine.submit(Submission('r3'))
        self.run_for(21)
        self.engine.submit(Submission('r3'))

    def test_counts_tokens_and_keeps_a_record(self) -> None:
        """Guards against a finished request that isn't counted."""
        self.engine.submit(Submission('r', 100, 20))
        self.run_for(0.2)
        self.assertEqual(self.engine.records['r'].state, State.RUNNING)
        self.run_for(5)
        record = self.engine.records['r']
        self.assertEqual((record.state, record.tokens), (State.DONE, 20))
        self.assertEqual(self.engine.counts['tokens'], 20)

    def test_report_lags(self) -> None:
        """Guards against a report that shows the present load."""
        self.run_for(2)
        self.engine.submit(Submission('r', 10, 500))
        self.assertEqual(self.engine.report().running, 0)
        self.run_for(1)
        self.engine.report()
        self.run_for(1)
        self.assertEqual(self.engine.report().running, 1)

    def test_urgent_prompt_is_prefilled_first(self) -> None:
        """Guards against priorities that have no effect."""
        self.engine.submit(Submission('slow', 5000, 5, (), 9))
        self.engine.submit(Submission('quick', 500, 5, (), 0))
        self.run_for(5)
        quick, slow = (self.engine.records[one] for one in ('quick', 'slow'))
        self.assertLess(quick.first_token, slow.first_token)

    def test_pause_resume_cancel(self) -> None:
        """Guards against a paused stream that stays active or restarts."""
        self.engine.submit(Submission('r', 10, 100))
        self.run_for(0.5)
        self.assertTrue(self.engine.pause('r'))
        tokens = self.engine.records['r'].tokens
        self.run_for(5)
        self.assertEqual(self.engine.active, 0)
        self.assertEqual(self.engine.resume('r').tokens, tokens)
        self.assertTrue(self.engine.cancel('r'))
        self.assertFalse(self.engine.cancel('r'))
        self.assertEqual(self.engine.records['r'].state, State.CANCELLED)


class TestEngineCache(EngineTestCase):
    """Prefix cache and its events."""

    def test_memory_bound_evicts_the_oldest(self) -> None:
        """Guards against a cache without a limit."""
        self.engine.submit(Submission('a', 200, 1, (1, 2)))
        self.run_for(2)
        self.engine.submit(Submission('b', 200, 1, (3, 4)))
        self.run_for(2)
        self.assertEqual(len(self.engine.cache), 3)
        first, second = self.engine.cache.events()
        self.assertEqual((first.stored, second.evicted), ((1, 2), (1,)))
        self.assertEqual(second.first, first.last + 1)
        record = self.engine.submit(Submission('c', 200, 1, (3, 4)))
        self.assertEqual(record.cached_tokens, 128)

    def test_events_are_late_and_have_gaps(self) -> None:
        """Guards against events that arrive at once or are never lost."""
        self.engine = self.make(EngineSettings(event_gap=1.0))
        self.engine.submit(Submission('a', 10, 1, (1,)))
        self.run_for(0.1)
        self.assertEqual(self.engine.cache.events(), [])
        self.run_for(2)
        self.assertEqual(self.engine.cache.events(), [])


class TestEngineOrders(EngineTestCase):
    """Orders, versions and identity."""

    def test_old_fence_is_refused_only_by_a_checking_engine(self) -> None:
        """Guards against a fence check that can't be turned off."""
        self.engine.order(Order('o2', 2, 'v2'))
        with self.assertRaises(FenceError):
            self.engine.order(Order('o1', 1, 'v1'))
        unchecked = self.make(EngineSettings(checks_fence=False))
        unchecked.order(Order('o2', 2, 'v2'))
        unchecked.order(Order('o1', 1, 'v1', 'decode'))
        self.assertEqual((unchecked.version, unchecked.role), ('v1', 'decode'))

    def test_bad_versions(self) -> None:
        """Guards against version faults that never apply, or too early."""
        late = VersionBehaviour(fail_share=1, after_s=5)
        self.engine.behaviours['v1'] = late
        self.engine.submit(Submission('early', 10, 5))
        self.run_for(6)
        self.engine.submit(Submission('late', 10, 5))
        self.run_for(2)
        states = [self.engine.records[one].state for one in ('early', 'late')]
        self.assertEqual(states, [State.DONE, State.FAILED])
        elsewhere = VersionBehaviour(slowdown=3, route='other')
        self.assertEqual(elsewhere.effective(9, 1, 'route').slowdown, 1)
        loaded = VersionBehaviour(slowdown=3, above_active=2)
        self.assertEqual(loaded.effective(9, 1, 'route').slowdown, 1)
        self.assertEqual(loaded.effective(9, 2, 'route').slowdown, 3)

    def test_replaced_engine_has_another_identity(self) -> None:
        """Guards against a replacement that keeps identity or records."""
        before = self.engine.report().identity
        self.engine.submit(Submission('r', 10, 100))
        self.engine.replace()
        self.assertNotEqual(self.engine.report().identity, before)
        self.assertEqual(self.engine.records, {})
