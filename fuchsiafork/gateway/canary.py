"""
Canary analysis of a service's new version, and its share of the traffic.

All VMs add their counts to one record in the store. A version is rejected as
soon as the evidence against it is strong, on all routes together or on a single
one. Otherwise the verdict is given only near the end of the rollout's duration,
so that a version which fails after some time or under load has reached few
callers by then.
"""

import dataclasses
import enum
import math

from fuchsiafork.kernel.change_detection import LOG_REJECT_THRESHOLD, log_ratio

# Share of a service's requests that is sent to the new version before the
# verdict: until INITIAL_ANSWERS were counted, afterwards, and while the
# evidence is suspicious or the counts can't be shared. A smaller initial share
# would yield too little evidence against a bad version.
INITIAL_TRAFFIC_SHARE = 0.2
INITIAL_ANSWERS = 25
CANARY_TRAFFIC_SHARE = 0.07
REDUCED_TRAFFIC_SHARE = 0.03
LOG_RATIO_SUSPECT = 1.5
# Evidence above which the version is rolled back at the end of its time.
LOG_RATIO_ROLLBACK = 3.0
# Share of the rollout's duration after which a version is accepted: with no
# evidence against it, and with evidence below LOG_RATIO_ROLLBACK.
PROVEN_TIME_SHARE = 0.75
UNPROVEN_TIME_SHARE = 0.9
# Answers of the new version that early acceptance requires.
MIN_ANSWERS = 20
# Rate of failed or slow answers of the hypothetical bad version: the old
# version's rate times the factor, at least that rate plus the increase, and at
# most the maximum.
BAD_RATE_FACTOR = 2.5
BAD_RATE_INCREASE = 0.15
MAX_BAD_RATE = 0.95
# Prior counts that are added to those of the old version.
PRIOR_ANSWERS = 20
PRIOR_FAILURES = 0.5
PRIOR_SLOW_ANSWERS = 2.0
# An answer is slow if it takes longer than this multiple of the old version's
# average time, and longer than the minimum.
SLOW_FACTOR = 3.0
MIN_SLOW_S = 0.05
BASELINE_EWMA_WEIGHT = 0.05


class Verdict(enum.Enum):
    """Decision on a new version; NONE while it is under test."""

    NONE = ''
    GOOD = 'good'
    BAD = 'bad'


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """
    An operator's order to move a service to another version.

    :ivar revision: store revision of the order; an order with a higher
        revision replaces it.
    :ivar era: era of the store in which it has that revision.
    """

    service: str
    version: str
    duration_s: float
    revision: int
    era: int = 0

    def replaces(self, other: 'RolloutOrder') -> bool:
        """Return whether the operator gave this order after the other one."""
        if self.repeats(other):
            return False
        return (self.era, self.revision) > (other.era, other.revision)

    def repeats(self, other: 'RolloutOrder') -> bool:
        """Return whether this is the other one, kept over a store's return."""
        same = (self.version, self.duration_s) == (
            other.version,
            other.duration_s,
        )
        return same and self.era > other.era


@dataclasses.dataclass(slots=True)
class AnswerCounts:
    """Numbers of answers, failed answers and slow answers of a version."""

    answers: int = 0
    failed: int = 0
    slow: int = 0

    def add(self, other: 'AnswerCounts') -> None:
        """Add other counts to these."""
        self.answers += other.answers
        self.failed += other.failed
        self.slow += other.slow


@dataclasses.dataclass(slots=True)
class RouteCounts:
    """Answer counts of the new and of the old version."""

    new: AnswerCounts = dataclasses.field(default_factory=AnswerCounts)
    old: AnswerCounts = dataclasses.field(default_factory=AnswerCounts)

    def add(self, other: 'RouteCounts') -> None:
        """Add other counts to these."""
        self.new.add(other.new)
        self.old.add(other.old)

    def log_evidence(self) -> float:
        """Return the log likelihood ratio against the new version."""
        base = self.old.answers + PRIOR_ANSWERS
        failure_rate = (self.old.failed + PRIOR_FAILURES) / base
        slow_rate = (self.old.slow + PRIOR_SLOW_ANSWERS) / base
        return max(
            _log_ratio(self.new.answers, self.new.failed, failure_rate),
            _log_ratio(self.new.answers, self.new.slow, slow_rate),
        )


CountsByRoute = dict[str, RouteCounts]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetCounts:
    """Answer counts of all processes, by route and in total."""

    by_route: CountsByRoute
    total: RouteCounts

    def log_evidence(self) -> float:
        """Return the stronger of the total and the worst route's evidence."""
        route_evidence = [
            counts.log_evidence() for counts in self.by_route.values()
        ]
        # Corrects for multiple comparisons: with more routes, one of them is
        # more likely to look bad by chance.
        worst = max(route_evidence, default=0.0) - math.log(
            max(1, len(route_evidence))
        )
        return max(self.total.log_evidence(), worst)


class Canary:
    """
    One rollout order and the evidence on its version.

    :ivar local_counts: counts of this process, by route.
    :ivar peer_counts: counts of the other processes, by instance id.
    :ivar counts_shared: whether the last write to the store succeeded.
    :ivar recorded: whether the verdict is known to be stored.
    """

    def __init__(self, order: RolloutOrder, now: float) -> None:
        """Start the rollout without any counts."""
        self.order = order
        self.verdict = Verdict.NONE
        self.local_counts: CountsByRoute = {}
        self.peer_counts: dict[str, CountsByRoute] = {}
        self.counts_shared = True
        self.recorded = False
        self._started_at = now
        self._baseline_s: dict[str, float] = {}

    def continue_order(self, order: RolloutOrder) -> None:
        """Go on with an order that the store has under another revision."""
        self.order = order
        self.recorded = False

    def record_answer(
        self,
        route: str,
        version: str,
        *,
        failed: bool,
        seconds: float,
    ) -> None:
        """Count an answer."""
        counts = self.local_counts.setdefault(route, RouteCounts())
        is_new = version == self.order.version
        version_counts = counts.new if is_new else counts.old
        version_counts.answers += 1
        version_counts.failed += failed
        version_counts.slow += self._is_slow(route, seconds)
        if not failed and not is_new:
            baseline_s = self._baseline_s.setdefault(route, seconds)
            self._baseline_s[route] = baseline_s + BASELINE_EWMA_WEIGHT * (
                seconds - baseline_s
            )

    def traffic_share(self) -> float:
        """Return the current share of requests for the new version."""
        if self.verdict is not Verdict.NONE:
            return float(self.verdict is Verdict.GOOD)
        if not self.counts_shared:
            return REDUCED_TRAFFIC_SHARE
        fleet_counts = self.fleet_counts()
        if fleet_counts.total.new.answers < INITIAL_ANSWERS:
            return INITIAL_TRAFFIC_SHARE
        suspect = fleet_counts.log_evidence() > LOG_RATIO_SUSPECT
        return REDUCED_TRAFFIC_SHARE if suspect else CANARY_TRAFFIC_SHARE

    def decide(self, now: float) -> Verdict:
        """Return the verdict for the evidence and the time elapsed."""
        fleet_counts = self.fleet_counts()
        evidence = fleet_counts.log_evidence()
        if evidence >= LOG_REJECT_THRESHOLD:
            return Verdict.BAD
        elapsed_share = (now - self._started_at) / max(
            self.order.duration_s, 1e-3
        )
        answers = fleet_counts.total.new.answers
        if (
            elapsed_share >= PROVEN_TIME_SHARE
            and answers >= MIN_ANSWERS
            and evidence <= 0
        ):
            return Verdict.GOOD
        if elapsed_share >= UNPROVEN_TIME_SHARE:
            return (
                Verdict.BAD if evidence > LOG_RATIO_ROLLBACK else Verdict.GOOD
            )
        return Verdict.NONE

    def fleet_counts(self) -> FleetCounts:
        """Return the counts of all processes."""
        by_route: CountsByRoute = {}
        for counts_by_route in (self.local_counts, *self.peer_counts.values()):
            for route, counts in counts_by_route.items():
                by_route.setdefault(route, RouteCounts()).add(counts)
        total = RouteCounts()
        for merged in by_route.values():
            total.add(merged)
        return FleetCounts(by_route, total)

    def _is_slow(self, route: str, seconds: float) -> bool:
        """Return whether an answer took far longer than the baseline."""
        baseline_s = self._baseline_s.get(route)
        if baseline_s is None:
            return False
        return seconds > max(MIN_SLOW_S, SLOW_FACTOR * baseline_s)


def _log_ratio(answers: int, bad_answers: int, baseline_rate: float) -> float:
    """Return the log likelihood ratio of a bad to an unchanged version."""
    bad_rate = min(
        MAX_BAD_RATE,
        max(BAD_RATE_FACTOR * baseline_rate, baseline_rate + BAD_RATE_INCREASE),
    )
    if bad_rate <= baseline_rate:
        return 0.0
    bad_answer_ratio = log_ratio(hit=True, null=baseline_rate, bad=bad_rate)
    good_answer_ratio = log_ratio(hit=False, null=baseline_rate, bad=bad_rate)
    return (
        bad_answers * bad_answer_ratio
        + (answers - bad_answers) * good_answer_ratio
    )
