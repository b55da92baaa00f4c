"""Tests of rollouts: the sequential test, shares, verdicts, the system."""

import datetime as dt
import random
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiafork import messages
from fuchsiafork.configuration import Document, Rollout, Route
from fuchsiafork.kernel import InvariantViolationError
from fuchsiafork.kernel.sequential import LOG_CONDEMN, ChangeTest, log_ratio
from fuchsiafork.rollouts import RolloutSystem
from fuchsiafork.rollouts.evidence import Evidence, LocalTrials, Source
from fuchsiafork.rollouts.schedule import Progress, share_of
from fuchsiafork.rollouts.trials import Criteria
from fuchsiafork.rollouts.verdicts import (
    BAD,
    GOOD,
    Verdict,
    VerdictBook,
    decode_record,
)
from standins.store_model import StoreModel
from standins.virtual import (
    Scheduler,
    VirtualClock,
    VirtualNetwork,
)
from tests.test_kernel import make_context

CRITERIA = Criteria(max_error_share=0.05, max_slowdown=2.0)
LENGTH_S = 600.0


def seen(
    *,
    failed: bool = False,
    truncated: bool = False,
    slow: float = 1.0,
) -> messages.Observation:
    """Return what a router saw of a request."""
    first = -1.0 if failed else 0.4 * slow
    return messages.Observation(
        sent=True,
        failed=failed or truncated,
        truncated=truncated,
        first_token_s=first,
        token_gap_s=first / 10,
        tokens=10,
    )


def make_document(
    clock: VirtualClock,
    *,
    take_back: bool = False,
    length: float = LENGTH_S,
) -> Document:
    """Return a document with one rollout that starts now."""
    start = dt.datetime.fromtimestamp(clock.wall() - clock.now(), dt.UTC)
    return Document(
        routes={'r': Route(owner='o', pool='p', version='old')},
        rollouts={
            'move': Rollout(
                owner='o',
                route='r',
                old='old',
                new='new',
                start=start,
                deadline=start + dt.timedelta(seconds=length),
                take_back=take_back,
            ),
        },
    )


class Fleet:
    """One keeper in each of some failure domains, with traffic."""

    def __init__(self, domains: str = 'abc', seed: int = 1) -> None:
        self.clock = VirtualClock()
        self.scheduler = Scheduler(self.clock)
        self.store = StoreModel(self.clock.now)
        self.chance = random.Random(seed)
        self.network = VirtualNetwork(self.scheduler, self.store, self.chance)
        self.systems: dict[str, RolloutSystem] = {}
        self.contexts: dict[str, Any] = {}
        self.new_at: list[tuple[float, str]] = []
        for domain in domains:
            self.start(domain)

    def start(self, domain: str) -> RolloutSystem:
        context = make_context(f'{domain}-1/keeper', self.clock)
        system = RolloutSystem(context, FleetPeers(self, domain))
        system.configure(make_document(self.clock))
        self.systems[domain] = system
        self.contexts[domain] = context
        node = f'{domain}-1/keeper'
        self.network.add(node, domain, SystemEndpoint(context, system))
        self.network.tick_every(node, 0.25)
        return system

    def send(self, domain: str, fault: Any = None) -> str:
        """Send one request; ``fault`` says what is seen of it."""
        system = self.systems[domain]
        version = system.choose('r')
        system.started('r', version)
        if version == 'new':
            self.new_at.append((self.clock.now(), domain))
        observed = fault(domain, version) if fault else seen()
        self.scheduler.run_until(self.clock.now() + 0.1)
        system.ended('r', version, observed)
        self.network.flush(f'{domain}-1/keeper')
        return version

    def run(self, seconds: float, fault: Any = None, rate: float = 2.0) -> None:
        """Send requests to random domains for a time."""
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.send(self.chance.choice(sorted(self.systems)), fault)
            wait = self.chance.expovariate(rate)
            self.scheduler.run_until(self.clock.now() + wait)

    def verdict(self, domain: str = 'a') -> str:
        system = self.systems[domain]
        row = system.rows['move']
        found = system.book.of('move', row.digest)
        return found.verdict if found else ''

    def events(self, domain: str, kind: str) -> int:
        ring = self.contexts[domain].events
        return sum(event.kind == kind for event in ring.since(0))


class FleetPeers:
    """Peers in the domains that are not cut off."""

    def __init__(self, fleet: Fleet, domain: str) -> None:
        self._fleet = fleet
        self._domain = domain

    def near(self) -> list[str]:
        return []

    def far(self) -> list[str]:
        return [
            f'{other}-1/keeper'
            for other in self._fleet.systems
            if other != self._domain
            and frozenset((other, self._domain))
            not in self._fleet.network.partitioned_pairs
        ]


class SystemEndpoint:
    """A rollout system on the virtual network."""

    def __init__(self, context: Any, system: RolloutSystem) -> None:
        self.outbox = context.outbox
        self._system = system

    def receive(self, message: Any, sender: str, destination: str) -> None:
        self._system.handle(message, sender)

    def answer(self, message: Any) -> None:
        self._system.handle(message, '')

    def tick(self) -> None:
        self._system.tick()


def half_fails(domain: str, version: str) -> messages.Observation:
    """Return alternating failures of the new version."""
    failed = version == 'new' and random.getrandbits(1) == 1
    return seen(failed=failed)


def all_fail(domain: str, version: str) -> messages.Observation:
    """Return a failure of the new version."""
    return seen(failed=version == 'new')


def slow(domain: str, version: str) -> messages.Observation:
    """Return a new version three times slower."""
    return seen(slow=3.0 if version == 'new' else 1.0)


class TestSequential(unittest.TestCase):
    """The change-point likelihood-ratio test."""

    def test_good_versions_are_rarely_condemned(self) -> None:
        """Guards against a test that is not valid at every look."""
        chance = random.Random(5)
        condemned = 0
        for _ in range(1000):
            test = ChangeTest(1)
            for _ in range(200):
                hit = chance.random() < 0.05
                test.add([log_ratio(hit=hit, null=0.05, bad=0.5)])
                if test.log_evidence() >= LOG_CONDEMN:
                    condemned += 1
                    break
        # 1 expected at most; 6 or more has a probability below 0.001.
        self.assertLessEqual(condemned, 5)

    def test_late_change_is_found(self) -> None:
        """Guards against good requests that outweigh a later fault."""
        test = ChangeTest(1)
        for _ in range(2000):
            test.add([log_ratio(hit=False, null=0.01, bad=0.5)])
        for _ in range(8):
            test.add([log_ratio(hit=True, null=0.01, bad=0.5)])
        self.assertGreater(test.log_evidence(), LOG_CONDEMN)


class TestTrials(unittest.TestCase):
    """Comparison with the old version in the same window."""

    def _evidence(self, *patterns: list[tuple[str, Any]]) -> Evidence:
        """Return the evidence after 20 rounds of each pattern."""
        observed: list[tuple[str, Any]] = []
        for rows in patterns:
            for _ in range(20):
                observed.extend(rows)
        trials = LocalTrials(CRITERIA)
        evidence = Evidence(CRITERIA)
        for moment, (version, observation) in enumerate(observed):
            if version == 'new':
                trials.add_new(moment, observation)
            else:
                trials.add_old(moment, observation)
            ratios = dict(trials.source.log_ratios)
            count = trials.source.observed
            evidence.merge('a-1', Source('a', count, count, 0, ratios))
        return evidence

    def test_peak_that_hits_both_condemns_nobody(self) -> None:
        """Guards against a load peak or dead domain read as a bad version."""
        calm = [('old', seen()), ('old', seen()), ('new', seen())]
        for worse in (seen(failed=True), seen(slow=4.0)):
            both = [('new', worse), ('old', worse), ('old', worse)]
            self.assertFalse(self._evidence(calm, both).condemned)
            only = [('new', worse), ('old', seen()), ('old', seen())]
            self.assertTrue(self._evidence(calm, only).condemned)

    def test_truncated_answers_condemn(self) -> None:
        """Guards against answers that are cut short without an error."""
        rows = [('new', seen(truncated=True)), ('old', seen())]
        self.assertTrue(self._evidence(rows).condemned)

    def test_reordered_reports_count_once(self) -> None:
        """Guards against evidence counted twice or taken back."""
        evidence = Evidence(CRITERIA)
        first = Source('a', 1, 1, 1, {'errors:0': 2.0})
        second = Source('a', 2, 2, 2, {'errors:0': 4.0})
        for report in (first, second, first, second):
            evidence.merge('a-1', report)
        self.assertEqual(evidence.observed(), 2)
        self.assertAlmostEqual(evidence.proofs(), -4.0 / 2.9957, places=3)


class TestShares(unittest.TestCase):
    """The share schedule."""

    @settings(derandomize=True, deadline=None)
    @given(
        st.floats(0, 2),
        st.floats(-5, 20),
        st.floats(-5, 20),
    )
    def test_bounds(
        self, elapsed: float, proofs: float, against: float
    ) -> None:
        """Guards against an unproven version above 5% before its rise."""
        share = share_of(Progress(elapsed, proofs, against))
        self.assertGreaterEqual(share, 0.05)
        self.assertLessEqual(share, 1)
        if proofs < 1 and (elapsed < 2 / 3 or against >= 2.31):
            self.assertEqual(share, 0.05)
        if elapsed >= 1 and against < 2.3:
            self.assertEqual(share, 1)

    def test_unproven_version_keeps_to_its_share(self) -> None:
        """Guards against a burst to a version nobody has seen."""
        fleet = Fleet()
        fleet.run(300, lambda domain, version: seen(), rate=0.5)
        total = 300 * 0.5
        self.assertLessEqual(len(fleet.new_at), 3 + 0.08 * total)

    def test_in_flight_bound(self) -> None:
        """Guards against many requests to a version that never answers."""
        fleet = Fleet('a')
        system = fleet.systems['a']
        for _ in range(500):
            version = system.choose('r')
            system.started('r', version)
            if version == 'old':
                system.ended('r', version, seen())
        self.assertEqual(system.rows['move'].evidence.started(), 4)

    def test_negative_control(self) -> None:
        """Breaks the share on purpose: the invariant must fire."""
        fleet = Fleet('a')
        with self.assertRaises(InvariantViolationError):
            for _ in range(10):
                fleet.systems['a'].started('r', 'new')


class TestVerdicts(unittest.TestCase):
    """Book and record."""

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.builds(
                Verdict,
                st.sampled_from([BAD, GOOD]),
                st.just('r'),
                st.sampled_from('abc'),
                st.integers(0, 3),
            ),
        ),
        st.randoms(use_true_random=False),
    )
    def test_bad_prevails(self, rows: list[Verdict], chance: Any) -> None:
        """Guards against a verdict that depends on the order of notices."""
        found = set()
        for _ in range(3):
            book = VerdictBook()
            for row in rows:
                book.add('move', 's', row)
            verdict = book.of('move', 's')
            found.add(verdict.verdict if verdict else '')
            chance.shuffle(rows)
        self.assertEqual(len(found), 1)
        if any(row.verdict == BAD for row in rows):
            self.assertEqual(found, {BAD})

    def test_unreadable_record_holds_none(self) -> None:
        """Guards against a keeper that cannot start on a damaged record."""
        for value in (None, b'', b'x', b'{}', b'[{}]', b'[1]'):
            self.assertEqual(decode_record(value), [])
