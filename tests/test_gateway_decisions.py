"""Target selection, retry budget, event parsing and target table."""

import random
import unittest

from fuchsiafork.availability import MAX_BACKOFF_S
from fuchsiafork.gateway.event_stream import EventStreamParser
from fuchsiafork.gateway.reachability import SUSPICION_S, DomainReachability
from fuchsiafork.gateway.retry_budget import (
    ExtraRetries,
    RetryBudget,
    RetryLimits,
)
from fuchsiafork.gateway.target_selection import (
    SelectionCriteria,
    TargetSelector,
)
from fuchsiafork.gateway.targets import (
    Target,
    TargetState,
    TargetTable,
)


def _make_state(number: int, domain: str = 'a') -> TargetState:
    """Return the state of a target of the service of engines."""
    address = f'10.0.0.{number}:80'
    return TargetState(
        Target(f't-{number}', 'engine', address, domain, 'v1', 8),
    )


def _criteria(
    key: str = '', excluded_ids: tuple[str, ...] = ()
) -> SelectionCriteria:
    """Return the criteria of an attempt."""
    return SelectionCriteria('engine', key, frozenset(excluded_ids))


class TestTargetSelector(unittest.TestCase):
    """Selection of a target."""

    def setUp(self) -> None:
        """Make six targets in three failure domains."""
        self.states = [_make_state(n, 'abc'[n % 3]) for n in range(6)]
        self.reachability = DomainReachability()
        self.target_selector = TargetSelector(
            'a', self.reachability, random.Random(1)
        )

    def _select(self, criteria: SelectionCriteria, now: float = 0.0) -> str:
        """Return the id of the selected target."""
        state = self.target_selector.select(self._accepting(now), criteria, now)
        assert state is not None
        return state.target.target_id

    def _accepting(self, now: float) -> list[TargetState]:
        """Return the targets that take requests."""
        return [
            state
            for state in self.states
            if state.availability.status(now).accepting
        ]

    def test_vms_select_the_same_target_for_a_shared_prompt(self) -> None:
        """Guards against processing one prompt on several engines."""
        other = TargetSelector('c', DomainReachability(), random.Random(7))
        for number in range(50):
            criteria = _criteria(f'part-{number}')
            state = other.select(self.states, criteria, 0)
            assert state is not None
            self.assertEqual(self._select(criteria), state.target.target_id)

    def test_load_of_a_frequent_prompt_is_spread(self) -> None:
        """Guards against overloading one engine with a frequent prompt."""
        request_counts: dict[str, int] = {}
        for _ in range(60):
            state = self.target_selector.select(
                self.states, _criteria('hot'), 0
            )
            assert state is not None
            state.in_flight += 1
            target_id = state.target.target_id
            request_counts[target_id] = request_counts.get(target_id, 0) + 1
        self.assertGreater(len(request_counts), 3)
        self.assertLessEqual(max(request_counts.values()), 24)

    def test_least_loaded_and_local_target_without_affinity(self) -> None:
        """Guards against selecting a remote or busy target needlessly."""
        for state in self.states:
            state.in_flight = 2
        self.states[3].in_flight = 1
        self.assertEqual(self._select(_criteria()), 't-3')
        self.states[1].in_flight = 1
        self.assertEqual(self._select(_criteria()), 't-3')

    def test_target_that_fails_often_is_excluded(self) -> None:
        """Guards against using a registered replica that fails requests."""
        for _ in range(4):
            self.states[0].record_attempt(failed=True)
        selected_ids = {self._select(_criteria(f'k-{n}')) for n in range(60)}
        self.assertNotIn('t-0', selected_ids)

    def test_all_targets_are_used_if_all_fail_equally(self) -> None:
        """Guards against refusing requests when the whole service fails."""
        for state in self.states:
            for _ in range(4):
                state.record_attempt(failed=True)
        selected_ids = {self._select(_criteria(f'k-{n}')) for n in range(90)}
        self.assertEqual(len(selected_ids), 6)

    def test_tried_and_backed_off_targets_are_skipped(self) -> None:
        """Guards against sending a request to the same target twice."""
        excluded_ids = tuple(f't-{n}' for n in range(4))
        self.states[4].availability.back_off(0.0)
        self.assertEqual(self._select(_criteria('k', excluded_ids)), 't-5')
        self.states[5].availability.back_off(0.0)
        selected = self.target_selector.select(
            self._accepting(0.1), _criteria('k', excluded_ids), 0.1
        )
        self.assertIsNone(selected)

    def test_backoff_grows_up_to_a_limit(self) -> None:
        """Guards against retrying an unreachable target all the time."""
        now = 0.0
        for _ in range(10):
            self.states[0].availability.back_off(now)
            now = self.states[0].availability.backoff_until
        self.states[0].availability.back_off(now)
        backoff_s = self.states[0].availability.backoff_until - now
        self.assertEqual(backoff_s, MAX_BACKOFF_S)

    def test_unreachable_domain_is_avoided(self) -> None:
        """Guards against waiting for each target of an unreachable domain."""
        self.reachability.record_no_answer('b', 't-1', 1.0)
        self.assertFalse(self.reachability.is_suspected('b', 1.0))
        self.reachability.record_no_answer('b', 't-4', 1.0)
        selected_ids = {
            self._select(_criteria(f'k-{n}'), 1.1) for n in range(60)
        }
        self.assertEqual(selected_ids & {'t-1', 't-4'}, set())
        later = {
            self._select(_criteria(f'k-{n}'), 1.1 + SUSPICION_S)
            for n in range(60)
        }
        self.assertEqual(later & {'t-1', 't-4'}, {'t-1', 't-4'})

    def test_answer_resets_the_suspicion(self) -> None:
        """Guards against counting failures hours apart as a partition."""
        self.reachability.record_no_answer('b', 't-1', 1.0)
        self.reachability.record_answer('b')
        self.reachability.record_no_answer('b', 't-4', 1.0)
        self.assertFalse(self.reachability.is_suspected('b', 1.0))


class TestRetryBudget(unittest.TestCase):
    """Limit on retries across the whole fleet."""

    def setUp(self) -> None:
        """Set the limits of the fleet."""
        self.limits = RetryLimits(ratio=0.2, extra=56, window_s=10)

    def count_retries(self, vms: int, requests: int) -> int:
        """Return the retries in a window if all requests fail once."""
        budgets = [RetryBudget(self.limits) for _ in range(vms)]
        extra = ExtraRetries(self.limits)
        retries = 0
        for step in range(requests):
            now = step * self.limits.window_s / requests
            budget = budgets[step % len(budgets)]
            budget.count_request('engine', now)
            retries += budget.try_acquire('engine', now) or extra.acquire(
                'engine', now
            )
        return retries

    def test_fleet_stays_within_its_limit(self) -> None:
        """Guards against shares of VMs that add up to more than the limit."""
        for vms in (1, 8, 74, 360):
            for requests in (10, 200, 2000):
                retries = self.count_retries(vms, requests)
                allowed = self.limits.ratio * requests + self.limits.extra
                self.assertLessEqual(retries, allowed)

    def test_small_fleet_uses_its_limit(self) -> None:
        """Guards against a limit that is far below what is allowed."""
        retries = self.count_retries(8, 2000)
        self.assertGreater(retries, self.limits.ratio * 2000 / 3)

    def test_vm_with_few_requests_may_retry(self) -> None:
        """Guards against never retrying the first failed request."""
        for vms in (1, 8, 74, 360):
            self.assertEqual(self.count_retries(vms, 1), 1)

    def test_fixed_part_is_one_for_all_vms(self) -> None:
        """Guards against a fixed part for each VM."""
        extra = ExtraRetries(self.limits)
        granted = [extra.acquire('engine', 0) for _ in range(100)]
        self.assertLessEqual(granted.count(True), self.limits.extra)
        self.assertGreater(granted.count(True), self.limits.extra / 5)

    def test_window_slides(self) -> None:
        """Guards against a budget that is never replenished."""
        extra = ExtraRetries(self.limits)
        allowed = [extra.acquire('engine', 0) for _ in range(50)]
        self.assertFalse(allowed[-1])
        self.assertTrue(extra.acquire('engine', 10.1))
        budget = RetryBudget(self.limits)
        for _ in range(10):
            budget.count_request('engine', 0)
        self.assertTrue(budget.try_acquire('engine', 0))
        self.assertFalse(budget.try_acquire('engine', 0))
        for _ in range(10):
            budget.count_request('engine', 10.1)
        self.assertTrue(budget.try_acquire('engine', 10.1))


class TestEventStreamParser(unittest.TestCase):
    """Complete events and their ids."""

    def test_stream_split_at_any_byte(self) -> None:
        """Guards against partial events and wrong ids after an interruption."""
        stream = b''.join(
            f'id: {n}\ndata: {"x" * n}\n\n'.encode() for n in range(1, 9)
        )
        for cut, _ in enumerate(stream):
            parser = EventStreamParser()
            first = parser.feed(stream[:cut])
            count = first.count(b'\n\n')
            self.assertEqual(parser.event_count, count)
            self.assertEqual(parser.last_id, str(count) if count else '')
            self.assertEqual(first + parser.feed(stream[cut:]), stream)

    def test_discard_removes_a_partial_event(self) -> None:
        """Guards against a partial event at the start of a resumed stream."""
        parser = EventStreamParser()
        parser.feed(b'id: 1\ndata: a\n\nid: 2\nda')
        self.assertEqual(parser.discard_partial_event(), b'id: 2\nda')
        self.assertEqual(
            parser.feed(b'id: 2\ndata: b\n\n'), b'id: 2\ndata: b\n\n'
        )


class TestTargetTable(unittest.TestCase):
    """Targets that restart or whose entries lapse."""

    def test_restarted_target_gets_a_new_state(self) -> None:
        """Guards against counting failures before a restart."""
        table = TargetTable()
        table.upsert(
            Target('t', 's', '1:1', 'a', 'v1', 1, started_unix_ms=5), 0.0
        )
        state = table.get('t')
        assert state is not None
        state.record_attempt(failed=True)
        table.upsert(
            Target('t', 's', '1:1', 'a', 'v1', 1, started_unix_ms=9), 0.0
        )
        restarted = table.get('t')
        assert restarted is not None
        self.assertEqual(restarted.failure_share, 0)

    def test_leaving_target_is_removed_at_once(self) -> None:
        """Guards against requests to a replica that has shut down."""
        table = TargetTable()
        table.upsert(Target('t', 's', '1:1', 'a', 'v1', 1, leaving=True), 0.0)
        table.remove('t', 0.0, may_return=True)
        self.assertEqual(len(table), 0)
