"""Whole requests that are suspected of ending targets."""

import random
import unittest

from fuchsiafork.gateway.targets import Target, TargetTable
from fuchsiafork.quarantine import AnsweredParts, PartEvidence, request_part
from fuchsiafork.quarantine.answered import MAX_ANSWERED, REMEMBER_S
from fuchsiafork.quarantine.collection import EndCollection
from fuchsiafork.quarantine.evidence import (
    MAX_PROBES,
    MAX_SUSPECTS,
    PROBE_INTERVAL_S,
    QUARANTINE_ENDS,
)
from fuchsiafork.quarantine.notices import MAX_PART_CHARS

FIELDS = ('POST', 'shop.example', '/look/1?q=2', 'acme', b'body')
SEEDS = 50


def make_target(
    target_id: str, address: str, started_unix_ms: int = 0
) -> Target:
    """Return a target at an address."""
    return Target(
        target_id=target_id,
        service='plain',
        address=address,
        domain='a',
        version='v1',
        slots=1,
        started_unix_ms=started_unix_ms,
    )


class TestIdentity(unittest.TestCase):
    """Which requests are the same one."""

    def test_each_field_counts(self) -> None:
        """Guards against refusing what another caller asks elsewhere."""
        parts = {request_part(*FIELDS)}
        for index, field in enumerate(FIELDS):
            changed = list(FIELDS)
            changed[index] = field + field[:1]
            parts.add(request_part(*changed))
        self.assertEqual(len(parts), len(FIELDS) + 1)

    def test_fields_are_kept_apart(self) -> None:
        """Guards against two requests whose fields join to the same text."""
        one = request_part('GET', 'a', '/bc', 'd', b'')
        self.assertNotEqual(one, request_part('GET', 'a/b', 'c', 'd', b''))
        self.assertNotEqual(one, request_part('GET', 'a', '/b', 'cd', b''))

    def test_part_fits_a_notice(self) -> None:
        """Guards against parts that are hashed again by each VM."""
        for body in (b'', bytes(200_000)):
            self.assertLessEqual(
                len(request_part('GET', 'a' * 999, '/\udcff', 'é', body)),
                MAX_PART_CHARS,
            )


class TestAnswered(unittest.TestCase):
    """Requests that were answered lately."""

    def test_answer_is_forgotten(self) -> None:
        """Guards against a request that is sound for ever after one answer."""
        answered = AnsweredParts()
        answered.record('p', 10.0)
        self.assertTrue(answered.has('p', 10.0 + REMEMBER_S - 1))
        self.assertFalse(answered.has('p', 10.0 + REMEMBER_S))

    def test_memory_is_bounded(self) -> None:
        """Guards against memory that grows with the requests."""
        answered = AnsweredParts()
        for number in range(MAX_ANSWERED + 10):
            answered.record(str(number), float(number) / MAX_ANSWERED)
        self.assertFalse(answered.has('9', 1.0))
        self.assertTrue(answered.has('10', 1.0))


class TestReplacedTarget(unittest.TestCase):
    """A target that is back at the same address under a new id."""

    def test_later_start_at_the_address_replaces_it(self) -> None:
        """Guards against a process that is taken for the one before."""
        table = TargetTable()
        old = make_target('t-1', '10.0.0.1:80', 1000)
        table.upsert(old, 0.0)
        self.assertFalse(table.is_replaced(old))
        table.upsert(make_target('t-2', '10.0.0.2:80', 5000), 0.0)
        self.assertFalse(table.is_replaced(old))
        table.upsert(make_target('t-3', '10.0.0.1:80', 5000), 0.0)
        self.assertTrue(table.is_replaced(old))

    def test_earlier_entry_of_the_address_does_not(self) -> None:
        """Guards against entries that outlive their targets."""
        table = TargetTable()
        table.upsert(make_target('t-0', '10.0.0.1:80', 1000), 0.0)
        self.assertFalse(
            table.is_replaced(make_target('t-1', '10.0.0.1:80', 2000))
        )


class TestPendingEnds(unittest.TestCase):
    """Ends that aren't reported yet."""

    def test_target_that_answers_is_no_end(self) -> None:
        """Guards against a closed connection that counts as an end."""
        collection = EndCollection()
        end = collection.add('t-1@0', ('request:1',))
        assert end is not None
        self.assertEqual(
            collection.unconfirmed(('request:1',), 't-2@0'), ['t-1@0']
        )
        collection.discard('t-1@0')
        self.assertFalse(collection.is_pending(end))
        self.assertFalse(collection.is_suspected('request:1', 't-2@0'))

    def test_confirmed_end_needs_no_check(self) -> None:
        """Guards against requests that wait for checks that are over."""
        collection = EndCollection()
        end = collection.add('t-1@0', ('request:1',))
        assert end is not None
        end.confirmed = True
        self.assertEqual(collection.unconfirmed(('request:1',), 't-2@0'), [])
        self.assertTrue(collection.is_suspected('request:1', 't-2@0'))


class TestFleetOfVms(unittest.TestCase):
    """Many VMs that each see few ends, and hear of the others'."""

    def test_fatal_request_gets_few_targets_on_any_order(self) -> None:
        """Guards against sequences of news in which it goes on."""
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self._play(random.Random(seed))

    def test_quarantined_parts_outlast_suspects(self) -> None:
        """Guards against a full list that forgets what it must keep."""
        evidence = PartEvidence()
        for number in range(QUARANTINE_ENDS):
            evidence.add_end(f't-{number}', ('fatal',), 0.0, 10 + number)
        for number in range(MAX_SUSPECTS + 50):
            evidence.add_end('t-9', (f'sound-{number}',), 1.0, 20 + number)
        evidence.expire(2.0)
        self.assertEqual(evidence.quarantined(('fatal',)), ['fatal'])

    def test_part_is_final_once_its_probe_ended_a_target(self) -> None:
        """Guards against refusals that invite callers to come back."""
        evidence = PartEvidence()
        for number in range(QUARANTINE_ENDS):
            evidence.add_end(f't-{number}', ('fatal',), 0.0, 10 + number)
        self.assertFalse(evidence.is_final('fatal'))
        evidence.record_probe('fatal', 1, 't-8', 1.0)
        evidence.add_end('t-8', ('fatal',), 2.0, 20)
        self.assertTrue(evidence.is_final('fatal'))
        self.assertEqual(evidence.suspects(), [('fatal', 4, True)])

    def _play(self, rng: random.Random) -> None:
        """Let VMs send a fatal request while they hear of the ends late."""
        vms = [PartEvidence() for _ in range(rng.randrange(2, 9))]
        news: list[tuple[PartEvidence, str, int]] = []
        late = 0
        for step in range(400):
            now = step / 4
            rng.shuffle(news)
            while news and rng.random() < 0.8:
                heard, lifetime, revision = news.pop()
                heard.add_end(lifetime, ('p',), now, revision)
            vm = rng.choice(vms)
            if vm.quarantined(('p',)):
                probe = vm.next_probe('p', now)
                if probe is None:
                    continue
                for other in vms:
                    other.record_probe('p', probe.number, f't-{step}', now)
            late += vm.ends('p') >= QUARANTINE_ENDS
            news += [(other, f't-{step}', step + 1) for other in vms]
        longest_s = PROBE_INTERVAL_S * 2 ** (MAX_PROBES - 1)
        self.assertLess(late, MAX_PROBES, f'over {longest_s} s')
