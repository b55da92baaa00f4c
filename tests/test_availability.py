"""Tests of what decides whether a target takes requests."""

import dataclasses
import unittest

from fuchsiafork.availability import (
    INITIAL_BACKOFF_S,
    Availability,
    AvailabilityRecord,
    Source,
)
from fuchsiafork.gateway.targets import Target, TargetTable

FIRST = Target('t', 's', '10.0.0.1:80', 'a', 'v1', 1, started_unix_ms=1000)
SECOND = dataclasses.replace(FIRST, started_unix_ms=2000)
UNKNOWN_START = dataclasses.replace(FIRST, started_unix_ms=0)
LEAVING_ENTRY = dataclasses.replace(FIRST, leaving=True)

ACCEPTING = Availability.ACCEPTING
LEAVING = Availability.LEAVING


def availability(table: TargetTable, now: float = 10.0) -> Availability:
    """Return the state of the target in a table."""
    state = table.get('t')
    if state is None:
        return Availability.GONE
    return state.availability.status(now).availability


class TestPrecedence(unittest.TestCase):
    """Which statement on a target goes before which."""

    def setUp(self) -> None:
        """Start with an entry that says nothing."""
        self.record = AvailabilityRecord()
        self.record.record_entry(0.0, leaving=False)

    def state(self, now: float = 0.1) -> tuple[Availability, Source]:
        """Return the state and who told of it."""
        status = self.record.status(now)
        return status.availability, status.source

    def test_stronger_statement_decides(self) -> None:
        """Guards against a weaker statement that hides a stronger one."""
        self.assertEqual(self.state(), (ACCEPTING, Source.REGISTRY))
        self.record.back_off(0.0)
        self.assertEqual(self.state(), (Availability.PAUSED, Source.CONNECTION))
        self.record.announce_leaving(0.0)
        self.assertEqual(self.state(), (LEAVING, Source.ANSWER))
        self.record.record_removal(0.0)
        self.assertEqual(self.state(), (Availability.GONE, Source.REGISTRY))

    def test_weaker_statement_does_not_hide_a_stronger_one(self) -> None:
        """Guards against a state that depends on the order of statements."""
        self.record.record_removal(0.0)
        self.record.announce_leaving(0.0)
        self.record.back_off(0.0)
        self.assertEqual(self.state(), (Availability.GONE, Source.REGISTRY))
        self.record.record_entry(0.0, leaving=False)
        self.assertEqual(self.state(), (LEAVING, Source.ANSWER))

    def test_backoff_ends_with_time(self) -> None:
        """Guards against a target that is avoided for good."""
        self.record.back_off(0.0)
        self.assertEqual(
            self.state(INITIAL_BACKOFF_S), (ACCEPTING, Source.REGISTRY)
        )

    def test_first_word_is_kept(self) -> None:
        """Guards against a time and a source that change with each answer."""
        self.assertTrue(self.record.announce_leaving(1.0))
        self.assertFalse(self.record.announce_leaving(2.0))
        self.record.record_entry(3.0, leaving=True)
        status = self.record.status(4.0)
        self.assertEqual((status.source, status.since), (Source.ANSWER, 1.0))


class TestEnds(unittest.TestCase):
    """What ends the word of a target that it leaves."""

    def setUp(self) -> None:
        """Start with a target that has said so in an answer."""
        self.table = TargetTable()
        self.table.upsert(FIRST, 0.0)
        self.assertTrue(self.table.announce_leaving(FIRST, 1.0))

    def test_entry_that_says_otherwise_does_not(self) -> None:
        """Guards against each heartbeat of a target that leaves."""
        self.table.upsert(FIRST, 2.0)
        self.assertIs(availability(self.table), LEAVING)

    def test_entry_that_is_removed_and_written_again_does_not(self) -> None:
        """Guards against a store that came back from a copy."""
        self.table.remove('t', 2.0)
        self.assertIs(availability(self.table), Availability.GONE)
        self.table.upsert(FIRST, 3.0)
        self.assertIs(availability(self.table), LEAVING)

    def test_another_start_does(self) -> None:
        """Guards against a target that is lost for good."""
        self.table.upsert(SECOND, 2.0)
        self.assertIs(availability(self.table), ACCEPTING)

    def test_old_entry_after_another_start_is_not_believed(self) -> None:
        """Guards against a copy of the store from before the restart."""
        self.table.upsert(SECOND, 2.0)
        self.table.upsert(FIRST, 3.0)
        self.assertIs(availability(self.table), LEAVING)
        self.table.upsert(SECOND, 4.0)
        self.assertIs(availability(self.table), ACCEPTING)

    def test_late_answer_of_the_start_before_does_not_count(self) -> None:
        """Guards against a sound target that is taken for the one before."""
        self.table.upsert(SECOND, 2.0)
        self.table.announce_leaving(FIRST, 3.0)
        self.assertIs(availability(self.table), ACCEPTING)

    def test_word_on_a_removed_entry_is_kept(self) -> None:
        """Guards against an answer that comes after the removal."""
        table = TargetTable()
        table.upsert(FIRST, 0.0)
        table.remove('t', 1.0)
        table.announce_leaving(FIRST, 2.0)
        table.upsert(FIRST, 3.0)
        self.assertIs(availability(table), LEAVING)

    def test_new_entry_without_a_start_does(self) -> None:
        """Guards against a target that can't show that it is a new one."""
        table = TargetTable()
        table.upsert(UNKNOWN_START, 0.0)
        table.announce_leaving(UNKNOWN_START, 1.0)
        table.upsert(UNKNOWN_START, 2.0)
        self.assertIs(availability(table), LEAVING)
        table.remove('t', 3.0)
        table.upsert(UNKNOWN_START, 4.0)
        self.assertIs(availability(table), ACCEPTING)

    def test_waiting_request_notices_a_replacement(self) -> None:
        """Guards against a request to a target that was replaced meanwhile."""
        table = TargetTable()
        table.upsert(FIRST, 0.0)
        chosen = table.get('t')
        table.upsert(SECOND, 1.0)
        assert chosen is not None
        status = chosen.availability.status(1.0)
        self.assertIs(status.availability, Availability.GONE)

    def test_registry_is_believed_at_once(self) -> None:
        """Guards against a registry that is heeded less than an answer."""
        table = TargetTable()
        table.upsert(LEAVING_ENTRY, 0.0)
        self.assertIs(availability(table), LEAVING)
        table.upsert(FIRST, 1.0)
        self.assertIs(availability(table), LEAVING)
