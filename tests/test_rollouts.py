"""Tests of the sequential test, trials, shares and verdicts of rollouts."""

import datetime as dt
import random
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiafork import messages
from fuchsiafork.configuration import Document, Rollout, Route
from fuchsiafork.kernel import InvariantViolationError
from fuchsiafork.kernel.change_detection import (
    LOG_REJECT_THRESHOLD,
    ChangeTest,
    log_ratio,
)
from fuchsiafork.rollouts import RolloutSystem
from fuchsiafork.rollouts.evidence import (
    FleetEvidence,
    KeeperEvidence,
    LocalTrials,
)
from fuchsiafork.rollouts.schedule import Progress, allowed_share
from fuchsiafork.rollouts.trials import Criteria
from fuchsiafork.rollouts.verdicts import (
    BAD,
    GOOD,
    Verdict,
    VerdictRegistry,
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
ROLLOUT_DURATION_S = 600.0


def make_observation(
    *,
    failed: bool = False,
    truncated: bool = False,
    slowdown: float = 1.0,
) -> messages.Observation:
    """Return a router's observation of a request."""
    first = -1.0 if failed else 0.4 * slowdown
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
    duration_s: float = ROLLOUT_DURATION_S,
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
                deadline=start + dt.timedelta(seconds=duration_s),
                take_back=take_back,
            ),
        },
    )


class RolloutFleet:
    """One keeper in each of the given failure domains, with traffic."""

    def __init__(self, domains: str = 'abc', seed: int = 1) -> None:
        self.clock = VirtualClock()
        self.scheduler = Scheduler(self.clock)
        self.store = StoreModel(self.clock.now)
        self.rng = random.Random(seed)
        self.network = VirtualNetwork(self.scheduler, self.store, self.rng)
        self.systems: dict[str, RolloutSystem] = {}
        self.contexts: dict[str, Any] = {}
        self.new_requests: list[tuple[float, str]] = []
        for domain in domains:
            self.start(domain)

    def start(self, domain: str) -> RolloutSystem:
        context = make_context(f'{domain}-1/keeper', self.clock)
        system = RolloutSystem(context, FleetPeers(self, domain))
        system.configure(make_document(self.clock))
        self.systems[domain] = system
        self.contexts[domain] = context
        node = f'{domain}-1/keeper'
        self.network.add(node, domain, RolloutEndpoint(context, system))
        self.network.tick_every(node, 0.25)
        return system

    def send(self, domain: str, fault: Any = None) -> str:
        """Send one request; ``fault`` returns the observation of it."""
        system = self.systems[domain]
        version = system.choose('r')
        system.started('r', version)
        if version == 'new':
            self.new_requests.append((self.clock.now(), domain))
        observed = fault(domain, version) if fault else make_observation()
        self.scheduler.run_until(self.clock.now() + 0.1)
        system.ended('r', version, observed)
        self.network.flush(f'{domain}-1/keeper')
        return version

    def run(self, seconds: float, fault: Any = None, rate: float = 2.0) -> None:
        """Send requests to random domains for some seconds."""
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.send(self.rng.choice(sorted(self.systems)), fault)
            wait = self.rng.expovariate(rate)
            self.scheduler.run_until(self.clock.now() + wait)

    def verdict(self, domain: str = 'a') -> str:
        system = self.systems[domain]
        state = system.states['move']
        found = system.verdicts.in_force('move', state.digest)
        return found.verdict if found else ''

    def events(self, domain: str, kind: str) -> int:
        ring = self.contexts[domain].events
        return sum(event.kind == kind for event in ring.since(0))


class FleetPeers:
    """Peers in the domains that the network can reach."""

    def __init__(self, fleet: RolloutFleet, domain: str) -> None:
        self._fleet = fleet
        self._domain = domain

    def same_domain(self) -> list[str]:
        return []

    def other_domains(self) -> list[str]:
        return [
            f'{other}-1/keeper'
            for other in self._fleet.systems
            if other != self._domain
            and frozenset((other, self._domain))
            not in self._fleet.network.partitioned_pairs
        ]


class RolloutEndpoint:
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


def half_of_new_fail(domain: str, version: str) -> messages.Observation:
    """Return failures of a random half of the new version's requests."""
    failed = version == 'new' and random.getrandbits(1) == 1
    return make_observation(failed=failed)


def all_new_fail(domain: str, version: str) -> messages.Observation:
    """Return a failure if the request went to the new version."""
    return make_observation(failed=version == 'new')


def new_is_slow(domain: str, version: str) -> messages.Observation:
    """Return a latency three times greater for the new version."""
    return make_observation(slowdown=3.0 if version == 'new' else 1.0)


class TestSequential(unittest.TestCase):
    """The change-point likelihood-ratio test."""

    def test_good_versions_are_rarely_rejected(self) -> None:
        """Guards against a test that is only valid at one evaluation."""
        rng = random.Random(5)
        rejected = 0
        for _ in range(1000):
            test = ChangeTest(1)
            for _ in range(200):
                hit = rng.random() < 0.05
                test.add([log_ratio(hit=hit, null=0.05, bad=0.5)])
                if test.log_evidence() >= LOG_REJECT_THRESHOLD:
                    rejected += 1
                    break
        # At most 1 is expected; 6 or more have a probability below 0.001.
        self.assertLessEqual(rejected, 5)

    def test_late_change_is_found(self) -> None:
        """Guards against earlier good requests that hide a later fault."""
        test = ChangeTest(1)
        for _ in range(2000):
            test.add([log_ratio(hit=False, null=0.01, bad=0.5)])
        for _ in range(8):
            test.add([log_ratio(hit=True, null=0.01, bad=0.5)])
        self.assertGreater(test.log_evidence(), LOG_REJECT_THRESHOLD)


class TestTrials(unittest.TestCase):
    """Comparison with requests of the old version in the same window."""

    def _evidence(self, *patterns: list[tuple[str, Any]]) -> FleetEvidence:
        """Return the evidence after 20 rounds of each pattern."""
        observed: list[tuple[str, Any]] = []
        for rows in patterns:
            for _ in range(20):
                observed.extend(rows)
        trials = LocalTrials(CRITERIA)
        evidence = FleetEvidence(CRITERIA)
        for moment, (version, observation) in enumerate(observed):
            if version == 'new':
                trials.add_new(moment, observation)
            else:
                trials.add_old(moment, observation)
            ratios = dict(trials.own_evidence.log_ratios)
            count = trials.own_evidence.observed
            evidence.merge('a-1', KeeperEvidence('a', count, count, 0, ratios))
        return evidence

    def test_peak_that_affects_both_versions_is_no_evidence(self) -> None:
        """Guards against a load peak or failed domain read as a bad version."""
        calm = [
            ('old', make_observation()),
            ('old', make_observation()),
            ('new', make_observation()),
        ]
        for worse in (
            make_observation(failed=True),
            make_observation(slowdown=4.0),
        ):
            both = [('new', worse), ('old', worse), ('old', worse)]
            self.assertFalse(self._evidence(calm, both).proves_bad)
            only = [
                ('new', worse),
                ('old', make_observation()),
                ('old', make_observation()),
            ]
            self.assertTrue(self._evidence(calm, only).proves_bad)

    def test_truncated_answers_prove_bad(self) -> None:
        """Guards against truncated answers that report no error."""
        rows = [
            ('new', make_observation(truncated=True)),
            ('old', make_observation()),
        ]
        self.assertTrue(self._evidence(rows).proves_bad)

    def test_reordered_reports_count_once(self) -> None:
        """Guards against evidence counted twice or subtracted again."""
        evidence = FleetEvidence(CRITERIA)
        first = KeeperEvidence('a', 1, 1, 1, {'errors:0': 2.0})
        second = KeeperEvidence('a', 2, 2, 2, {'errors:0': 4.0})
        for report in (first, second, first, second):
            evidence.merge('a-1', report)
        self.assertEqual(evidence.observed(), 2)
        self.assertAlmostEqual(evidence.proof_ratio(), -4.0 / 2.9957, places=3)


class TestShares(unittest.TestCase):
    """The share schedule."""

    @settings(derandomize=True, deadline=None)
    @given(
        st.floats(0, 2),
        st.floats(-5, 20),
        st.floats(-5, 20),
    )
    def test_bounds(
        self, elapsed: float, proof_ratio: float, log_evidence: float
    ) -> None:
        """Guards against an unproven version above 5% before its ramp."""
        share = allowed_share(Progress(elapsed, proof_ratio, log_evidence))
        self.assertGreaterEqual(share, 0.05)
        self.assertLessEqual(share, 1)
        if proof_ratio < 1 and (elapsed < 2 / 3 or log_evidence >= 2.31):
            self.assertEqual(share, 0.05)
        if elapsed >= 1 and log_evidence < 2.3:
            self.assertEqual(share, 1)

    def test_unproven_version_keeps_to_its_share(self) -> None:
        """Guards against a burst of requests to a version without evidence."""
        fleet = RolloutFleet()
        fleet.run(300, lambda domain, version: make_observation(), rate=0.5)
        total = 300 * 0.5
        self.assertLessEqual(len(fleet.new_requests), 3 + 0.08 * total)

    def test_in_flight_bound(self) -> None:
        """Guards against many open requests to a version that never answers."""
        fleet = RolloutFleet('a')
        system = fleet.systems['a']
        for _ in range(500):
            version = system.choose('r')
            system.started('r', version)
            if version == 'old':
                system.ended('r', version, make_observation())
        self.assertEqual(system.states['move'].evidence.started(), 4)

    def test_negative_control(self) -> None:
        """Exceeds the share on purpose to violate the invariant."""
        fleet = RolloutFleet('a')
        with self.assertRaises(InvariantViolationError):
            for _ in range(10):
                fleet.systems['a'].started('r', 'new')


class TestVerdicts(unittest.TestCase):
    """Registry and stored record of verdicts."""

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
    def test_bad_prevails(self, rows: list[Verdict], rng: Any) -> None:
        """Guards against a verdict that depends on the order of arrival."""
        found = set()
        for _ in range(3):
            registry = VerdictRegistry()
            for row in rows:
                registry.add('move', 's', row)
            verdict = registry.in_force('move', 's')
            found.add(verdict.verdict if verdict else '')
            rng.shuffle(rows)
        self.assertEqual(len(found), 1)
        if any(row.verdict == BAD for row in rows):
            self.assertEqual(found, {BAD})

    def test_unreadable_record_holds_none(self) -> None:
        """Guards against a keeper that fails to start on a corrupt record."""
        for value in (None, b'', b'x', b'{}', b'[{}]', b'[1]'):
            self.assertEqual(decode_record(value), [])
