"""Tests of what decides whether a target accepts requests."""

import dataclasses
import unittest

from fuchsiafork.availability import (
    INITIAL_BACKOFF_S,
    LAPSED_ENTRY_GRACE_S,
    TRIAL_S,
    Availability,
    AvailabilityRecord,
    Source,
)
from fuchsiafork.gateway.targets import Target, TargetTable
from fuchsiafork.platform.headers import MAX_PAUSE_S, parse_response_headers

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
    """Which report on a target takes precedence."""

    def setUp(self) -> None:
        """Start with an entry that says nothing."""
        self.record = AvailabilityRecord()
        self.record.record_entry(0.0, leaving=False)

    def state(self, now: float = 0.1) -> tuple[Availability, Source]:
        """Return the state and its source."""
        status = self.record.status(now)
        return status.availability, status.source

    def test_stronger_report_decides(self) -> None:
        """Guards against a weaker report that hides a stronger one."""
        self.assertEqual(self.state(), (ACCEPTING, Source.REGISTRY))
        self.record.back_off(0.0)
        self.assertEqual(self.state(), (Availability.PAUSED, Source.CONNECTION))
        self.record.request_pause(0.0, 5.0)
        self.assertEqual(self.state(), (Availability.PAUSED, Source.REFUSAL))
        self.record.announce_leaving(0.0)
        self.assertEqual(self.state(), (LEAVING, Source.ANSWER))
        self.record.record_removal(0.0)
        self.assertEqual(self.state(), (Availability.GONE, Source.REGISTRY))

    def test_order_of_reports_does_not_matter(self) -> None:
        """Guards against a state that depends on the order of reports."""
        self.record.record_removal(0.0)
        self.record.announce_leaving(0.0)
        self.record.request_pause(0.0, 5.0)
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

    def test_longer_pause_decides(self) -> None:
        """Guards against a short backoff that ends a long pause."""
        self.record.back_off(0.0)
        self.record.request_pause(0.0, INITIAL_BACKOFF_S / 2)
        self.assertEqual(self.state(), (Availability.PAUSED, Source.CONNECTION))
        self.assertEqual(self.record.status(0.0).until, INITIAL_BACKOFF_S)

    def test_first_announcement_is_kept(self) -> None:
        """Guards against a time and a source that change with each answer."""
        self.assertTrue(self.record.announce_leaving(1.0))
        self.assertFalse(self.record.announce_leaving(2.0))
        self.record.record_entry(3.0, leaving=True)
        status = self.record.status(4.0)
        self.assertEqual((status.source, status.since), (Source.ANSWER, 1.0))


class TestEnds(unittest.TestCase):
    """What ends the announcement that a target is leaving."""

    def setUp(self) -> None:
        """Start with a target that has announced it in an answer."""
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

    def test_announcement_after_the_removal_is_kept(self) -> None:
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

    def test_lapsed_entry_ends_on_time(self) -> None:
        """Guards against requests until a periodic task removes the target."""
        table = TargetTable()
        table.upsert(FIRST, 0.0)
        state = table.get('t')
        assert state is not None
        table.remove('t', 1.0, may_return=True)
        last_at = 1.0 + LAPSED_ENTRY_GRACE_S
        self.assertTrue(state.availability.accepts(last_at - 0.01))
        self.assertFalse(state.availability.accepts(last_at))
        self.assertIs(availability(table, last_at), Availability.GONE)
        table.upsert(FIRST, last_at)
        self.assertTrue(state.availability.accepts(last_at + 1.0))

    def test_registry_is_believed_at_once(self) -> None:
        """Guards against a registry that is heeded less than an answer."""
        table = TargetTable()
        table.upsert(LEAVING_ENTRY, 0.0)
        self.assertIs(availability(table), LEAVING)
        table.upsert(FIRST, 1.0)
        self.assertIs(availability(table), LEAVING)


class TestRequestedPause(unittest.TestCase):
    """The pause that a target requested."""

    def setUp(self) -> None:
        """Start with a pause of four seconds."""
        self.record = AvailabilityRecord()
        self.record.request_pause(10.0, 4.0)

    def accepting(self, now: float) -> bool:
        """Return whether the target takes requests."""
        return self.record.status(now).accepting

    def test_it_holds_to_its_end(self) -> None:
        """Guards against a request within the pause."""
        self.assertFalse(self.accepting(13.99))
        self.assertTrue(self.accepting(14.0))
        status = self.record.status(12.0)
        self.assertEqual((status.since, status.until), (10.0, 14.0))

    def test_latest_end_counts(self) -> None:
        """Guards against a shorter pause, or an older one, that ends it."""
        self.record.request_pause(10.1, 1.0)
        self.assertFalse(self.accepting(13.99))
        self.record.request_pause(12.0, 4.0)
        self.assertFalse(self.accepting(15.99))
        self.assertEqual(self.record.status(15.0).since, 10.0)

    def test_answer_to_an_earlier_request_does_not_end_it(self) -> None:
        """Guards against requests in flight that are served meanwhile."""
        self.record.on_answer(11.0)
        self.assertFalse(self.accepting(13.99))

    def test_one_request_tries_the_target_afterwards(self) -> None:
        """Guards against all that waited, at the first instant."""
        self.record.on_request(14.0)
        self.assertFalse(self.accepting(14.1))
        self.record.on_answer(14.2)
        self.assertTrue(self.accepting(14.2))
        self.record.on_request(14.2)
        self.assertTrue(self.accepting(14.2))

    def test_unanswered_trial_is_followed_by_another(self) -> None:
        """Guards against a target that is lost with one request."""
        self.record.on_request(14.0)
        self.assertTrue(self.accepting(14.0 + TRIAL_S))
        self.record.on_request(14.0 + TRIAL_S)
        self.assertFalse(self.accepting(14.1 + TRIAL_S))

    def test_refused_trial_starts_the_next_pause(self) -> None:
        """Guards against a pause that is counted from the first refusal."""
        self.record.on_request(14.0)
        self.record.request_pause(14.1, 2.0)
        self.assertFalse(self.accepting(16.0))
        self.assertEqual(self.record.status(15.0).since, 14.1)

    def test_it_outlasts_the_entry_but_not_the_start(self) -> None:
        """Guards against an hour that is forgotten, or that never ends."""
        table = TargetTable()
        table.upsert(FIRST, 0.0)
        table.request_pause(FIRST, 3600.0, 1.0)
        table.remove('t', 2.0)
        table.upsert(FIRST, 3.0)
        self.assertIs(availability(table), Availability.PAUSED)
        table.upsert(SECOND, 4.0)
        self.assertIs(availability(table), ACCEPTING)


class TestPauseHeader(unittest.TestCase):
    """The header with which a target requests a pause."""

    def test_seconds(self) -> None:
        """Guards against times that are not understood."""
        for text, seconds in (
            ('1.5', 1.5),
            ('0', 0),
            (' 3600 ', 3600),
            ('9' * 400, MAX_PAUSE_S),
        ):
            metadata = parse_response_headers([('retry-after', text)], 503)
            self.assertEqual(metadata.pause_s, seconds)
            self.assertEqual(metadata.invalid_pause, '')

    def test_other_values_are_reported(self) -> None:
        """Guards against a value that ends a request, or that is a pause."""
        date = 'Wed, 21 Oct 2026 07:28:00 GMT'
        for text in ('-5', 'nan', 'inf', '1e3', 'soon', '1,5', '0x1', date):
            metadata = parse_response_headers([('retry-after', text)], 503)
            self.assertIsNone(metadata.pause_s)
            self.assertEqual(metadata.invalid_pause, text)

    def test_other_statuses_ask_for_none(self) -> None:
        """Guards against a target that is left alone after an error."""
        for status in (200, 301, 429, 500):
            metadata = parse_response_headers([('retry-after', '5')], status)
            self.assertIsNone(metadata.pause_s)
