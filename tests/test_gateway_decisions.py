"""Decisions of a gateway without I/O."""

import random
import unittest

from fuchsiafork.gateway.events import EventRelay
from fuchsiafork.gateway.placement import Placement, Wanted
from fuchsiafork.gateway.reachability import SUSPICION_S, DomainReachability
from fuchsiafork.gateway.retry_budget import RetryBudget
from fuchsiafork.gateway.targets import (
    LONGEST_PAUSE_S,
    Target,
    TargetRow,
    TargetTable,
)


def _make_row(number: int, domain: str = 'a') -> TargetRow:
    """Return a target of the engines' service."""
    address = f'10.0.0.{number}:80'
    return TargetRow(
        Target(f't-{number}', 'engine', address, domain, 'v1', 8),
    )


def _want(key: str = '', tried: tuple[str, ...] = ()) -> Wanted:
    """Return what a request asks of its target."""
    return Wanted('engine', key, frozenset(tried))


class TestPlacement(unittest.TestCase):
    """Choice of a target."""

    def setUp(self) -> None:
        """Make six targets in three failure domains."""
        self.rows = [_make_row(n, 'abc'[n % 3]) for n in range(6)]
        self.reachability = DomainReachability()
        self.placement = Placement('a', self.reachability, random.Random(1))

    def _choose(self, wanted: Wanted, now: float = 0.0) -> str:
        """Return the id of the chosen target."""
        row = self.placement.choose(self.rows, wanted, now)
        assert row is not None
        return row.target.target_id

    def test_shared_prompts_meet_on_every_vm(self) -> None:
        """Guards against reading the same prompt at several engines."""
        other = Placement('c', DomainReachability(), random.Random(7))
        for number in range(50):
            wanted = _want(f'part-{number}')
            row = other.choose(self.rows, wanted, 0)
            assert row is not None
            self.assertEqual(self._choose(wanted), row.target.target_id)

    def test_hot_prompt_spills_over(self) -> None:
        """Guards against one engine that gets all of a hot key."""
        chosen: dict[str, int] = {}
        for _ in range(60):
            row = self.placement.choose(self.rows, _want('hot'), 0)
            assert row is not None
            row.in_flight += 1
            name = row.target.target_id
            chosen[name] = chosen.get(name, 0) + 1
        self.assertGreater(len(chosen), 3)
        self.assertLessEqual(max(chosen.values()), 24)

    def test_least_loaded_and_near_for_plain_calls(self) -> None:
        """Guards against far or busy targets without a reason."""
        for row in self.rows:
            row.in_flight = 2
        self.rows[3].in_flight = 1
        self.assertEqual(self._choose(_want()), 't-3')
        self.rows[1].in_flight = 1
        self.assertEqual(self._choose(_want()), 't-3')

    def test_target_that_fails_often_is_left(self) -> None:
        """Guards against a replica that is healthy in name only."""
        for _ in range(4):
            self.rows[0].note_answer(failed=True)
        names = {self._choose(_want(f'k-{n}')) for n in range(60)}
        self.assertNotIn('t-0', names)

    def test_all_failing_alike_are_all_used(self) -> None:
        """Guards against refusing because the service fails as a whole."""
        for row in self.rows:
            for _ in range(4):
                row.note_answer(failed=True)
        names = {self._choose(_want(f'k-{n}')) for n in range(90)}
        self.assertEqual(len(names), 6)

    def test_tried_and_paused_targets_are_passed_over(self) -> None:
        """Guards against sending a request to the same target twice."""
        tried = tuple(f't-{n}' for n in range(4))
        self.rows[4].note_unreachable(0.0)
        self.assertEqual(self._choose(_want('k', tried)), 't-5')
        self.rows[5].note_unreachable(0.0)
        found = self.placement.choose(self.rows, _want('k', tried), 0.1)
        self.assertIsNone(found)

    def test_pauses_grow_to_a_bound(self) -> None:
        """Guards against a dead target that is tried all the time."""
        now = 0.0
        for _ in range(10):
            self.rows[0].note_unreachable(now)
            now = self.rows[0].avoid_until
        self.rows[0].note_unreachable(now)
        pause = self.rows[0].avoid_until - now
        self.assertEqual(pause, LONGEST_PAUSE_S)

    def test_domain_that_is_cut_off(self) -> None:
        """Guards against finding each target of a far domain silent."""
        self.reachability.record_no_answer('b', 't-1', 1.0)
        self.assertFalse(self.reachability.is_suspected('b', 1.0))
        self.reachability.record_no_answer('b', 't-4', 1.0)
        names = {self._choose(_want(f'k-{n}'), 1.1) for n in range(60)}
        self.assertEqual(names & {'t-1', 't-4'}, set())
        later = {
            self._choose(_want(f'k-{n}'), 1.1 + SUSPICION_S) for n in range(60)
        }
        self.assertEqual(later & {'t-1', 't-4'}, {'t-1', 't-4'})

    def test_answer_ends_the_doubt(self) -> None:
        """Guards against two losses hours apart that count as a cut."""
        self.reachability.record_no_answer('b', 't-1', 1.0)
        self.reachability.record_answer('b')
        self.reachability.record_no_answer('b', 't-4', 1.0)
        self.assertFalse(self.reachability.is_suspected('b', 1.0))


class TestRepeatBudget(unittest.TestCase):
    """Bound on repeats over the whole fleet."""

    def test_fleet_keeps_to_its_bound(self) -> None:
        """Guards against VMs whose shares add up to more."""
        ratio, extra, window_s, requests = 0.2, 56.0, 10.0, 2000
        budgets = [RetryBudget(ratio, extra, window_s) for _ in range(8)]
        repeats = 0
        for step in range(requests):
            now = step * window_s / requests
            budget = budgets[step % len(budgets)]
            budget.count_request('engine', now)
            repeats += budget.try_acquire('engine', now)
        self.assertLessEqual(repeats, ratio * requests + extra)
        self.assertGreater(repeats, ratio * requests / 3)

    def test_quiet_vm_may_repeat(self) -> None:
        """Guards against a first failure that is never repeated."""
        budget = RetryBudget(0.2, 56, 10)
        budget.count_request('engine', 0)
        self.assertTrue(budget.try_acquire('engine', 0))

    def test_window_slides(self) -> None:
        """Guards against a budget that never comes back."""
        budget = RetryBudget(0.2, 56, 10)
        taken = [budget.try_acquire('engine', 0) for _ in range(10)]
        self.assertFalse(taken[-1])
        self.assertTrue(budget.try_acquire('engine', 10.1))


class TestEventRelay(unittest.TestCase):
    """Whole events and their ids."""

    def test_any_cut_of_the_bytes(self) -> None:
        """Guards against half events and wrong ids after a break."""
        stream = b''.join(
            f'id: {n}\ndata: {"x" * n}\n\n'.encode() for n in range(1, 9)
        )
        for cut, _ in enumerate(stream):
            relay = EventRelay()
            first = relay.feed(stream[:cut])
            count = first.count(b'\n\n')
            self.assertEqual(relay.count, count)
            self.assertEqual(relay.last_id, str(count) if count else '')
            self.assertEqual(first + relay.feed(stream[cut:]), stream)

    def test_drain_drops_the_start_of_an_event(self) -> None:
        """Guards against a resumed stream with the start of the lost part."""
        relay = EventRelay()
        relay.feed(b'id: 1\ndata: a\n\nid: 2\nda')
        self.assertEqual(relay.drain(), b'id: 2\nda')
        self.assertEqual(
            relay.feed(b'id: 2\ndata: b\n\n'), b'id: 2\ndata: b\n\n'
        )


class TestTargetTable(unittest.TestCase):
    """Replicas that restart or lapse."""

    def test_restart_under_the_same_id_is_new(self) -> None:
        """Guards against blaming a new replica for the old one's failures."""
        table = TargetTable()
        table.put(Target('t', 's', '1:1', 'a', 'v1', 1, born_ms=5))
        row = table.get('t')
        assert row is not None
        row.note_answer(failed=True)
        table.put(Target('t', 's', '1:1', 'a', 'v1', 1, born_ms=9))
        fresh = table.get('t')
        assert fresh is not None
        self.assertEqual(fresh.failing, 0)

    def test_leaving_target_is_not_kept_when_it_lapses(self) -> None:
        """Guards against requests to a replica that has left."""
        table = TargetTable()
        table.put(Target('t', 's', '1:1', 'a', 'v1', 1, leaving=True))
        table.remove('t', 0.0)
        self.assertEqual(len(table), 0)
