"""Evidence on one rollout: trials of this keeper and reports of others."""

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
    Ended,
    alternatives,
    score,
    suspect_alternative,
)

# Two failures close together; one failure alone is no reason to hold.
LOG_SUSPECT_FAILURES = 4.5
# Five slow requests more than quick ones. A fifth of a good version's
# requests is slow, so less would hold good versions again and again.
LOG_SUSPECT_SLOW = 7.0
# Part of a limit that one domain's open trials count for in the others.
_ONE_DOMAIN = 0.8
# Trials that found no request of the old version beside them are dropped.
_PENDING_S = 120.0
_PENDING_BOUND = 64
# Counts from a keeper that has been silent this long say nothing about now.
_FRESH_S = 5.0


@dataclasses.dataclass(slots=True)
class Source:
    """
    What one start of a keeper has reported.

    :ivar log_ratios: cumulative, by test and number of the alternative.
    :ivar received: local clock time of the last report, seconds.
    """

    domain: str
    started: int = 0
    observed: int = 0
    failed: int = 0
    log_ratios: dict[str, float] = dataclasses.field(default_factory=dict)
    received: float = -math.inf


class LocalTrials:
    """Trials of the requests that this keeper saw."""

    def __init__(self, criteria: Criteria) -> None:
        """Start without requests."""
        self.source = Source('')
        self.baseline = Baseline()
        self._criteria = criteria
        # Trials with their provisional log ratios, one a test.
        self._pending: collections.deque[tuple[Ended, list[float]]]
        self._pending = collections.deque(maxlen=_PENDING_BOUND)

    def add_old(self, now: float, observation: Observation) -> bool:
        """Return whether a request of the old version completed a trial."""
        self.baseline.add(Ended(now, observation))
        return self.settle(now)

    def add_new(self, now: float, observation: Observation) -> None:
        """Add a request of the new version, to be compared when it can."""
        self.source.observed += 1
        self.source.failed += observation.failed
        trial = Ended(now, observation)
        self._pending.append((trial, self._provisional(trial)))
        self._suspect()

    @property
    def open_trials(self) -> int:
        """Number of trials that lack a comparison."""
        return len(self._pending)

    def settle(self, now: float) -> bool:
        """Return whether trials were compared, or dropped as too old."""
        open_before = len(self._pending)
        self._pop_settled(now)
        changed = len(self._pending) != open_before
        if changed:
            self._suspect()
        return changed

    def _provisional(self, trial: Ended) -> list[float]:
        """Return a trial's log ratio by test, for the time being."""
        found = []
        for test in TESTS:
            ratios = score(test, trial, self.baseline, self._criteria)
            place = suspect_alternative(test)
            found.append(ratios[place] if ratios else 0.0)
        return found

    def _suspect(self) -> None:
        """Sum up the evidence in the trials not yet compared."""
        sums = [0.0 for _ in TESTS]
        for _, ratios in self._pending:
            sums = [
                max(0.0, have + ratio)
                for have, ratio in zip(sums, ratios, strict=True)
            ]
        for test, total in zip(TESTS, sums, strict=True):
            self.source.log_ratios[_pending(test)] = total

    def _pop_settled(self, now: float) -> None:
        """Count the trials that can be compared; drop those too old."""
        kept = []
        for trial, ratios in self._pending:
            if self.baseline.compares(trial):
                self._count(trial)
            elif now - trial.time < _PENDING_S:
                kept.append((trial, ratios))
        if len(kept) != len(self._pending):
            self._pending = collections.deque(kept, maxlen=_PENDING_BOUND)

    def _count(self, trial: Ended) -> None:
        """Add a trial's log ratios to the cumulative ones."""
        totals = self.source.log_ratios
        for test in TESTS:
            ratios = score(test, trial, self.baseline, self._criteria)
            for number, ratio in enumerate(ratios):
                name = f'{test}:{number}'
                totals[name] = totals.get(name, 0.0) + ratio


class Evidence:
    """Merged evidence of all keepers, by test, for the fleet and domains."""

    def __init__(self, criteria: Criteria) -> None:
        """Start without reports."""
        self.sources: dict[str, Source] = {}
        self._sizes = {
            test: len(alternatives(test, criteria)) for test in TESTS
        }
        self._fleet = {
            test: ChangeTest(size) for test, size in self._sizes.items()
        }
        self._domains: dict[str, dict[str, ChangeTest]] = {}
        self._worst = (0.0, TESTS[0])
        self._doubt = 0.0
        self._proofs = 0.0

    def merge(self, holder: str, report: Source) -> None:
        """Take a keeper's cumulative report; older ones are ignored."""
        known = self.sources.get(holder) or Source(report.domain)
        behind = (report.started, report.observed) < (
            known.started,
            known.observed,
        )
        if behind:
            return
        self.sources[holder] = report
        changed = report.log_ratios != known.log_ratios
        if changed:
            self._add_steps(report, known)
            self._worst = max((self.log_evidence(test), test) for test in TESTS)
            self._doubt = max(self._log_doubt(test) for test in TESTS)
            self._proofs = min(self._proof(test) for test in TESTS)

    def log_evidence(self, test: str) -> float:
        """
        Return the evidence against the version in one test.

        Half of it is the fleet's as a whole, so that sparse routes add up;
        half is the mean over the failure domains, so that good domains do
        not cover for a bad one.
        """
        fleet = self._fleet[test].log_evidence()
        if not self._domains:
            return fleet
        domains = [
            tests[test].log_evidence() for tests in self._domains.values()
        ]
        return log_mean((fleet, log_mean(domains)))

    def worst(self) -> tuple[float, str]:
        """Return the greatest evidence and its test."""
        return self._worst

    def doubt(self) -> float:
        """Return the greatest evidence of the fleet or of one domain."""
        return self._doubt

    def proofs(self) -> float:
        """Return how many times over the version is proven good."""
        return self._proofs

    def started(self) -> int:
        """Return the requests that went to the version in the fleet."""
        return sum(source.started for source in self.sources.values())

    def observed(self) -> int:
        """Return the requests of the version that ended in the fleet."""
        return sum(source.observed for source in self.sources.values())

    def in_flight(self, now: float) -> int:
        """Return the version's requests in flight, by fresh reports."""
        return sum(
            source.started - source.observed
            for source in self.sources.values()
            if now - source.received < _FRESH_S
        )

    def suspect(self, domain: str, now: float) -> bool:
        """
        Return whether a domain should wait for comparisons.

        Failures of several domains add up, since on a sparse route each
        has few; slow requests do not, as a good version always has some. A
        single domain counts for less than the limit elsewhere, because it
        may be the domain that fails, not the version.
        """
        fresh = [
            source
            for source in self.sources.values()
            if now - source.received < _FRESH_S
        ]
        return any(_is_suspect(fresh, domain, test) for test in TESTS)

    @property
    def condemned(self) -> bool:
        """Whether the evidence says that the version is bad."""
        return self.worst()[0] >= LOG_REJECT_THRESHOLD

    def _add_steps(self, report: Source, known: Source) -> None:
        """Give the tests what a report adds to the one before it."""
        for test, size in self._sizes.items():
            names = [f'{test}:{number}' for number in range(size)]
            step = [
                report.log_ratios.get(name, 0.0)
                - known.log_ratios.get(name, 0.0)
                for name in names
            ]
            if any(step):
                self._fleet[test].add(step)
                self._domain(report.domain)[test].add(step)

    def _log_doubt(self, test: str) -> float:
        """Return the greatest evidence in a test, in whichever place."""
        domains = [
            tests[test].log_evidence() for tests in self._domains.values()
        ]
        return max([self._fleet[test].log_evidence(), *domains])

    def _proof(self, test: str) -> float:
        """
        Return the proofs of one test.

        A test without trials (a service has no tokens) says nothing.
        """
        totals = [
            source.log_ratios[f'{test}:0']
            for source in self.sources.values()
            if f'{test}:0' in source.log_ratios
        ]
        if not totals:
            return 0 if test == TESTS[0] else math.inf
        return -sum(totals) / LOG_ACCEPT_THRESHOLD

    def _domain(self, domain: str) -> dict[str, ChangeTest]:
        """Return the tests of a failure domain."""
        return self._domains.setdefault(
            domain,
            {test: ChangeTest(size) for test, size in self._sizes.items()},
        )


def _is_suspect(sources: list[Source], domain: str, test: str) -> bool:
    """Return whether open trials of a test speak against the version."""
    sums: dict[str, float] = collections.defaultdict(float)
    for source in sources:
        found = source.log_ratios.get(_pending(test), 0.0)
        sums[source.domain] += found
    if test not in FAILURE_TESTS:
        return sums[domain] >= LOG_SUSPECT_SLOW
    most = _ONE_DOMAIN * LOG_SUSPECT_FAILURES
    total = sum(min(found, most) for found in sums.values())
    return max(total, sums[domain]) >= LOG_SUSPECT_FAILURES


def _pending(test: str) -> str:
    """Return the name under which a test's open trials are reported."""
    return f'{test}:pending'
