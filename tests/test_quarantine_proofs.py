"""What events, whole answers and living targets prove of a part."""

import itertools
import random
import unittest

from fuchsiafork.quarantine import (
    Acquittal,
    CompleteAnswer,
    Notice,
    NoticeKind,
    PartEvidence,
    PendingAcquittals,
    Progress,
    SettlingAnswers,
    decode_notice,
    encode_notice,
    proven_by_event,
    proven_by_whole_answer,
)
from fuchsiafork.quarantine.answered import (
    FEW_ENDS,
    REFUTE_FEW_S,
    REFUTE_S,
    AnsweredParts,
)
from fuchsiafork.quarantine.collection import EndCollection
from fuchsiafork.quarantine.evidence import QUARANTINE_ENDS
from fuchsiafork.quarantine.settling import SETTLE_S

PART = 'part'
SEEDS = 40
LONGEST_STREAM = 80


class TestProgress(unittest.TestCase):
    """Up to where an answer shows its parts to be harmless."""

    def test_event_proves_nothing_of_its_own_place(self) -> None:
        """Guards against targets that acquit a part and then end under it."""
        for events in range(LONGEST_STREAM):
            reached = Progress(events, events / 10)
            self.assertFalse(proven_by_event(reached).covers(reached))

    def test_long_stream_refutes_early_ends(self) -> None:
        """Guards against sound parts of long streams that stay suspected."""
        harmless = proven_by_event(Progress(40, 8.0))
        self.assertTrue(harmless.covers(Progress(3, 0.5)))
        self.assertFalse(harmless.covers(Progress(30, 6.0)))

    def test_fast_stream_refutes_no_end_that_takes_time(self) -> None:
        """
        Guards against ends that come so many seconds after the first event.

        Another target may write many events in that time.
        """
        harmless = proven_by_event(Progress(400, 0.5))
        self.assertFalse(harmless.covers(Progress(2, 0.4)))

    def test_whole_answer_refutes_ends_within_its_length(self) -> None:
        """Guards against short answers that acquit what ends long ones."""
        harmless = proven_by_whole_answer(5)
        self.assertTrue(harmless.covers(Progress(5, 9.0)))
        self.assertFalse(harmless.covers(Progress(6, 1.0)))


class TestFatalParts(unittest.TestCase):
    """A part that ends targets at any place of an answer."""

    def test_part_is_quarantined_wherever_targets_end(self) -> None:
        """Guards against a place in the answer at which ends don't count."""
        for events, seed in itertools.product(
            range(0, LONGEST_STREAM, 7), range(SEEDS)
        ):
            with self.subTest(events=events, seed=seed):
                self._play(random.Random(seed), events)

    def _play(self, rng: random.Random, fatal_events: int) -> None:
        """Let targets of different speed end after some events."""
        evidence = PartEvidence()
        for number in range(QUARANTINE_ENDS):
            interval_s = rng.uniform(0.02, 0.06)
            for events in range(fatal_events + 1):
                reached = Progress(events, events * interval_s)
                evidence.refute(PART, proven_by_event(reached))
            # The last event may be lost with the connection.
            lost = rng.random() < 0.3 and fatal_events > 0
            reached = Progress(fatal_events - lost, reached.seconds)
            evidence.add_end(
                f't-{number}', [PART], 0, number + 1, {PART: reached}
            )
        self.assertEqual(evidence.quarantined([PART]), [PART])

    def test_short_answers_release_nothing_that_ends_long_ones(self) -> None:
        """Guards against a part that ends targets late in long streams."""
        evidence = PartEvidence()
        for number in range(QUARANTINE_ENDS):
            evidence.add_end(
                f't-{number}', [PART], 0, number + 1, {PART: Progress(40, 3)}
            )
            evidence.refute(PART, proven_by_whole_answer(5))
        self.assertEqual(evidence.quarantined([PART]), [PART])
        self.assertTrue(evidence.refute(PART, proven_by_whole_answer(64)))
        self.assertEqual(evidence.quarantined([PART]), [])

    def test_announced_part_keeps_its_place(self) -> None:
        """Guards against VMs that start later and release it too easily."""
        evidence = PartEvidence()
        evidence.announce([PART], 0, 9, {PART: Progress(40, 3)})
        self.assertFalse(evidence.refute(PART, proven_by_whole_answer(5)))
        self.assertEqual(evidence.clear([PART], 9, Progress(5, 99)), [])
        self.assertEqual(evidence.furthest(PART), Progress(40, 3))
        self.assertTrue(evidence.refute(PART, proven_by_whole_answer(40)))

    def test_end_after_an_acquittal_counts(self) -> None:
        """Guards against acquittals that come late and cover later ends."""
        evidence = PartEvidence()
        for revision in range(1, QUARANTINE_ENDS + 2):
            evidence.add_end(f't-{revision}', [PART], 0, revision)
        evidence.clear([PART], 1, proven_by_whole_answer(0))
        self.assertEqual(evidence.quarantined([PART]), [PART])
        self.assertEqual(evidence.ends(PART), QUARANTINE_ENDS)


class TestSettling(unittest.TestCase):
    """Whole answers whose targets may end right afterwards."""

    def setUp(self) -> None:
        """Record the end of an answer of each of two targets."""
        self.settling = SettlingAnswers()
        self.answers = [
            CompleteAnswer(f't-{number}', (PART,), Progress(3, 0.2))
            for number in range(2)
        ]
        for answer in self.answers:
            self.settling.add(answer, 10.0)

    def test_answer_counts_once_its_target_has_lived_on(self) -> None:
        """Guards against targets that end after the last event."""
        self.assertEqual(self.settling.pop_settled(10 + SETTLE_S / 2), [])
        settled = self.settling.pop_settled(10 + SETTLE_S)
        self.assertEqual(settled, [(10.0, each) for each in self.answers])
        self.assertEqual(len(self.settling), 0)

    def test_answer_of_a_target_that_ended_is_suspected(self) -> None:
        """Guards against ends at which no request was in progress."""
        self.assertEqual(self.settling.pop_lifetime('t-0'), self.answers[:1])
        settled = self.settling.pop_settled(10 + SETTLE_S)
        self.assertEqual(settled, [(10.0, self.answers[1])])


class TestCollectedEnds(unittest.TestCase):
    """Ends that aren't reported yet."""

    def test_furthest_place_of_several_requests_counts(self) -> None:
        """Guards against one short request that hides where targets end."""
        collection = EndCollection()
        end = collection.add('t-1', (PART,), Progress(9, 1.0))
        assert end is not None
        collection.add('t-1', (PART,), Progress(2, 4.0))
        collection.acquit(PART, proven_by_whole_answer(5))
        self.assertEqual(end.parts, {PART: Progress(9, 4.0)})
        collection.acquit(PART, proven_by_whole_answer(9))
        self.assertEqual(collection.pop(end), ())


class TestAnsweredParts(unittest.TestCase):
    """Parts that were answered lately."""

    def setUp(self) -> None:
        """Record an answer."""
        self.answered = AnsweredParts()
        self.answered.record(PART, 10.0, proven_by_whole_answer(7))

    def test_many_targets_may_end_at_once(self) -> None:
        """Guards against refusing what all prompts share after a power loss."""
        for number in range(30):
            self.assertEqual(
                self.answered.proof_against(PART, f't-{number}', 11.0),
                proven_by_whole_answer(7),
            )

    def test_later_ends_count_but_for_a_few(self) -> None:
        """Guards against a part that became fatal after a release."""
        now = 10.0 + REFUTE_S
        refuted = [
            self.answered.proof_against(PART, f't-{number}', now) is not None
            for number in range(FEW_ENDS + 2)
        ]
        self.assertEqual(refuted, [True, False, False])
        # Other VMs report the same end.
        self.assertIsNotNone(self.answered.proof_against(PART, 't-0', now))
        late = self.answered.proof_against(PART, 't-99', 10.0 + REFUTE_FEW_S)
        self.assertIsNone(late)
        self.assertTrue(self.answered.has(PART, now))


class TestPendingAcquittals(unittest.TestCase):
    """Acquittals that wait for another VM to report the same."""

    def setUp(self) -> None:
        """Schedule one."""
        self.pending = PendingAcquittals()
        self.acquittal = Acquittal(PART, proven_by_whole_answer(5), 7)
        self.pending.schedule(self.acquittal, 3.0)

    def test_report_of_less_leaves_it(self) -> None:
        """Guards against a part that one VM released and others keep."""
        for harmless, until in ((4, 7), (5, 6)):
            self.pending.drop(
                Acquittal(PART, proven_by_whole_answer(harmless), until)
            )
        self.assertEqual(self.pending.pop_due(3.0), [self.acquittal])

    def test_report_of_as_much_drops_it(self) -> None:
        """Guards against one write of each VM of a large fleet."""
        self.pending.drop(Acquittal(PART, proven_by_whole_answer(6), 7))
        self.assertIsNone(self.pending.next_due_at)

    def test_earlier_time_and_further_place_count(self) -> None:
        """Guards against urgent reports that wait for a scheduled one."""
        further = Acquittal(PART, proven_by_whole_answer(9), 8)
        self.pending.schedule(further, 5.0)
        self.assertEqual(self.pending.next_due_at, 3.0)
        self.assertEqual(self.pending.pop_due(3.0), [further])


class TestNotices(unittest.TestCase):
    """How far answers had got, in notices."""

    def test_progress_is_read_as_written(self) -> None:
        """Guards against VMs that take a late end for an early one."""
        notice = Notice(
            NoticeKind.ACQUITTED,
            ('a', 'b', 'c'),
            progress=(
                proven_by_whole_answer(3),
                Progress(70, 12.5),
                Progress(-1, 0.0),
            ),
            until=12,
        )
        self.assertEqual(decode_notice(encode_notice(notice)), notice)

    def test_notice_without_progress_acquits_nothing(self) -> None:
        """Guards against acquittals of VMs that still count first events."""
        notice = decode_notice(b'{"kind":"begun","parts":["a"]}')
        self.assertEqual(notice.progress_by_part, {})
