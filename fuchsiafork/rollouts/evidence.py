"""Evidence on one rollout, observed by this keeper and by others."""

import collections
import dataclasses
import math

from fuchsiafork.kernel.change_detection import (
    LOG_ACCEPT_THRESHOLD,
    LOG_REJECT_THRESHOLD,
    ChangeTest,
    log_mean,
)
from fuchsiafork.messages import Observation
from fuchsiafork.rollouts.trials import (
    FAILURE_TESTS,
    TESTS,
    Baseline,
    Criteria,
    EndedRequest,
    alternatives,
    suspect_alternative,
    trial_log_ratios,
)

# Reached by two failures close together. One failure alone doesn't stop
# requests to the version.
LOG_SUSPECT_FAILURES = 4.5
# Reached by five slow requests more than quick ones. A fifth of a good
# version's requests is slow, so a lower limit would repeatedly stop requests
# to good versions.
LOG_SUSPECT_SLOW = 7.0
# Greatest part of the failure limit that the open trials of one domain can
# contribute in other domains.
_MAX_FOREIGN_DOMAIN_PART = 0.8
# Trials that can't be compared with the old version for this long are dropped.
_PENDING_TIMEOUT_S = 120.0
_MAX_PENDING = 64
# Older reports don't show the present state of a keeper and are ignored.
_REPORT_MAX_AGE_S = 5.0


@dataclasses.dataclass(slots=True)
class KeeperEvidence:
    """
    Cumulative evidence reported by one run of a keeper process.

    :ivar log_ratios: cumulative log likelihood ratios by ``test:number``,
        with the number of the alternative, and the sums over trials not yet
        compared by ``test:pending``.
    :ivar received_at: local clock time of the last report, seconds.
    """

    domain: str
    started: int = 0
    observed: int = 0
    failed: int = 0
    log_ratios: dict[str, float] = dataclasses.field(default_factory=dict)
    received_at: float = -math.inf


class LocalTrials:
    """Trials made of the requests that this keeper observed."""

    def __init__(self, criteria: Criteria) -> None:
        """Start without requests."""
        self.own_evidence = KeeperEvidence('')
        self.baseline = Baseline()
        self._criteria = criteria
        # Trials with their provisional log ratios, one for each test.
        self._pending: collections.deque[tuple[EndedRequest, list[float]]]
        self._pending = collections.deque(maxlen=_MAX_PENDING)

    def add_old(self, now: float, observation: Observation) -> bool:
        """Add a request of the old version; return whether evidence changed."""
        self.baseline.add(EndedRequest(now, observation))
        return self.compare_pending(now)

    def add_new(self, now: float, observation: Observation) -> None:
        """Add a request of the new version as a trial to be compared."""
        self.own_evidence.observed += 1
        self.own_evidence.failed += observation.failed
        trial = EndedRequest(now, observation)
        self._pending.append((trial, self._provisional_log_ratios(trial)))
        self._sum_pending()

    @property
    def open_trials(self) -> int:
        """Number of trials that are not compared yet."""
        return len(self._pending)

    def compare_pending(self, now: float) -> bool:
        """Compare or drop pending trials; return whether any changed."""
        open_before = len(self._pending)
        self._compare_or_expire(now)
        changed = len(self._pending) != open_before
        if changed:
            self._sum_pending()
        return changed

    def _provisional_log_ratios(self, trial: EndedRequest) -> list[float]:
        """Return a trial's log ratio by test from the requests known now."""
        pending = []
        for test in TESTS:
            ratios = trial_log_ratios(
                test, trial, self.baseline, self._criteria
            )
            index = suspect_alternative(test)
            pending.append(ratios[index] if ratios else 0.0)
        return pending

    def _sum_pending(self) -> None:
        """Update the evidence in the trials that are not compared yet."""
        sums = [0.0 for _ in TESTS]
        for _, ratios in self._pending:
            sums = [
                max(0.0, have + ratio)
                for have, ratio in zip(sums, ratios, strict=True)
            ]
        for test, total in zip(TESTS, sums, strict=True):
            self.own_evidence.log_ratios[_pending_name(test)] = total

    def _compare_or_expire(self, now: float) -> None:
        """Compare the trials that can be compared; drop expired ones."""
        kept = []
        for trial, ratios in self._pending:
            if self.baseline.can_compare(trial):
                self._add_log_ratios(trial)
            elif now - trial.time < _PENDING_TIMEOUT_S:
                kept.append((trial, ratios))
        if len(kept) != len(self._pending):
            self._pending = collections.deque(kept, maxlen=_MAX_PENDING)

    def _add_log_ratios(self, trial: EndedRequest) -> None:
        """Add a trial's log ratios to the cumulative sums."""
        totals = self.own_evidence.log_ratios
        for test in TESTS:
            ratios = trial_log_ratios(
                test, trial, self.baseline, self._criteria
            )
            for number, ratio in enumerate(ratios):
                name = f'{test}:{number}'
                totals[name] = totals.get(name, 0.0) + ratio


class FleetEvidence:
    """Evidence of all keepers by test, for the fleet and for each domain."""

    def __init__(self, criteria: Criteria) -> None:
        """Start without reports."""
        self.by_keeper: dict[str, KeeperEvidence] = {}
        self._alternative_counts = {
            test: len(alternatives(test, criteria)) for test in TESTS
        }
        self._fleet_tests = {
            test: ChangeTest(size)
            for test, size in self._alternative_counts.items()
        }
        self._domain_tests: dict[str, dict[str, ChangeTest]] = {}
        self._strongest = (0.0, TESTS[0])
        self._max_evidence = 0.0
        self._min_proof_ratio = 0.0

    def merge(self, keeper_id: str, report: KeeperEvidence) -> None:
        """Merge a keeper's cumulative report unless a newer one is known."""
        previous = self.by_keeper.get(keeper_id) or KeeperEvidence(
            report.domain
        )
        behind = (report.started, report.observed) < (
            previous.started,
            previous.observed,
        )
        if behind:
            return
        self.by_keeper[keeper_id] = report
        changed = report.log_ratios != previous.log_ratios
        if changed:
            self._add_steps(report, previous)
            self._strongest = max(
                (self.log_evidence(test), test) for test in TESTS
            )
            self._max_evidence = max(
                self._max_log_evidence(test) for test in TESTS
            )
            self._min_proof_ratio = min(
                self._proof_ratio(test) for test in TESTS
            )

    def log_evidence(self, test: str) -> float:
        """
        Return the evidence against the version in one test.

        One half is the evidence of the fleet as a whole, so that the few
        requests of each domain add up. The other half is the mean over the
        failure domains, so that good domains don't hide a bad one.
        """
        fleet = self._fleet_tests[test].log_evidence()
        if not self._domain_tests:
            return fleet
        domains = [
            tests[test].log_evidence() for tests in self._domain_tests.values()
        ]
        return log_mean((fleet, log_mean(domains)))

    def strongest_evidence(self) -> tuple[float, str]:
        """Return the greatest evidence against the version and its test."""
        return self._strongest

    def max_log_evidence(self) -> float:
        """Return the greatest evidence of the fleet or any failure domain."""
        return self._max_evidence

    def proof_ratio(self) -> float:
        """Return the evidence that the version is good relative to a proof."""
        return self._min_proof_ratio

    def started(self) -> int:
        """Return the number of requests sent to the version by the fleet."""
        return sum(keeper.started for keeper in self.by_keeper.values())

    def observed(self) -> int:
        """Return the number of the version's ended requests in the fleet."""
        return sum(keeper.observed for keeper in self.by_keeper.values())

    def in_flight(self, now: float) -> int:
        """Return the version's requests in flight in recent reports."""
        return sum(
            keeper.started - keeper.observed
            for keeper in self.by_keeper.values()
            if now - keeper.received_at < _REPORT_MAX_AGE_S
        )

    def is_suspect(self, domain: str, now: float) -> bool:
        """
        Return whether a domain should wait for pending comparisons.

        Failures of several domains add up, because on a route with little
        traffic each domain has few. Slow requests don't add up, because a good
        version always has some. In other domains the contribution of a single
        domain stays below the limit, because the domain may be failing rather
        than the version.
        """
        fresh = [
            keeper
            for keeper in self.by_keeper.values()
            if now - keeper.received_at < _REPORT_MAX_AGE_S
        ]
        return any(
            _exceeds_suspicion_limit(fresh, domain, test) for test in TESTS
        )

    @property
    def proves_bad(self) -> bool:
        """Whether the evidence suffices for a bad verdict."""
        return self.strongest_evidence()[0] >= LOG_REJECT_THRESHOLD

    def _add_steps(
        self, report: KeeperEvidence, previous: KeeperEvidence
    ) -> None:
        """Add the difference between two reports of a keeper to the tests."""
        for test, size in self._alternative_counts.items():
            names = [f'{test}:{number}' for number in range(size)]
            step = [
                report.log_ratios.get(name, 0.0)
                - previous.log_ratios.get(name, 0.0)
                for name in names
            ]
            if any(step):
                self._fleet_tests[test].add(step)
                self._tests_of_domain(report.domain)[test].add(step)

    def _max_log_evidence(self, test: str) -> float:
        """Return a test's greatest evidence in the fleet or any domain."""
        domains = [
            tests[test].log_evidence() for tests in self._domain_tests.values()
        ]
        return max([self._fleet_tests[test].log_evidence(), *domains])

    def _proof_ratio(self, test: str) -> float:
        """
        Return the proof ratio of one test.

        A test without trials doesn't count, for example a test of tokens for a
        service; without trials of the first test nothing is proven.
        """
        totals = [
            keeper.log_ratios[f'{test}:0']
            for keeper in self.by_keeper.values()
            if f'{test}:0' in keeper.log_ratios
        ]
        if not totals:
            return 0 if test == TESTS[0] else math.inf
        return -sum(totals) / LOG_ACCEPT_THRESHOLD

    def _tests_of_domain(self, domain: str) -> dict[str, ChangeTest]:
        """Return the tests of a failure domain."""
        return self._domain_tests.setdefault(
            domain,
            {
                test: ChangeTest(size)
                for test, size in self._alternative_counts.items()
            },
        )


def _exceeds_suspicion_limit(
    reports: list[KeeperEvidence], domain: str, test: str
) -> bool:
    """Return whether open trials of a test exceed the limit."""
    sums: dict[str, float] = collections.defaultdict(float)
    for keeper in reports:
        pending = keeper.log_ratios.get(_pending_name(test), 0.0)
        sums[keeper.domain] += pending
    if test not in FAILURE_TESTS:
        return sums[domain] >= LOG_SUSPECT_SLOW
    max_per_domain = _MAX_FOREIGN_DOMAIN_PART * LOG_SUSPECT_FAILURES
    total = sum(min(pending, max_per_domain) for pending in sums.values())
    return max(total, sums[domain]) >= LOG_SUSPECT_FAILURES


def _pending_name(test: str) -> str:
    """Return the key of a test's open trials in the log ratios."""
    return f'{test}:pending'
