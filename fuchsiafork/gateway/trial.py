"""
Evidence on a service's new version, and the share that it gets meanwhile.

All VMs add their counts up in one record of the store. A version is condemned
once the evidence against it is strong, on all routes together or on one. One
that isn't is accepted late, so that a version which fails only after a while
or under load has reached few callers when it shows.
"""

import dataclasses
import enum
import math

from fuchsiafork.kernel.change_detection import LOG_REJECT_THRESHOLD, log_ratio

# Share of a service's requests that goes to an unproven version: until it has
# had its first ones, later, and while it is under suspicion or its evidence
# can't be shared. Fewer first ones would leave a bad version unproven.
FIRST_SHARE = 0.2
FIRST_SEEN = 25
TRIAL_SHARE = 0.07
CAREFUL_SHARE = 0.03
LOG_SUSPECT = 1.5
# Evidence with which a version is taken back when its time is over.
LOG_DOUBT = 3.0
# Parts of the time to the deadline after which a proven version, and one
# that is merely not suspect, is accepted.
PROVEN_AT = 0.75
UNPROVEN_AT = 0.9
# Requests without which nothing is proven.
LEAST_SEEN = 20
# A version is bad if it fails, or is slow, this much more often than the old
# one: by a factor, and at least by a share.
BAD_FACTOR = 2.5
BAD_SHARE = 0.15
MOST_SHARE = 0.95
# What is assumed of the old version before it was seen.
PRIOR_SEEN = 20
PRIOR_FAILED = 0.5
PRIOR_SLOW = 2.0
# An answer counts as slow when it takes this many times the old version's
# usual time, and more than this, seconds.
SLOW_FACTOR = 3.0
SLOW_S = 0.05
TIME_WEIGHT = 0.05


class Verdict(enum.Enum):
    """What was decided on a version."""

    NONE = ''
    GOOD = 'good'
    BAD = 'bad'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """
    An operator's request to move a service to a version.

    :ivar revision: of the order in the store; a later one replaces it.
    """

    service: str
    version: str
    duration_s: float
    revision: int


@dataclasses.dataclass(slots=True)
class Counts:
    """Answers of one version on one route."""

    seen: int = 0
    failed: int = 0
    slow: int = 0

    def add(self, other: 'Counts') -> None:
        """Add other counts to these."""
        self.seen += other.seen
        self.failed += other.failed
        self.slow += other.slow


@dataclasses.dataclass(slots=True)
class RouteCounts:
    """Answers of the new and of the old version on one route."""

    new: Counts = dataclasses.field(default_factory=Counts)
    old: Counts = dataclasses.field(default_factory=Counts)

    def add(self, other: 'RouteCounts') -> None:
        """Add other counts to these."""
        self.new.add(other.new)
        self.old.add(other.old)

    def log_evidence(self) -> float:
        """Return the evidence against the new version, as a logarithm."""
        base = self.old.seen + PRIOR_SEEN
        failing = (self.old.failed + PRIOR_FAILED) / base
        slow = (self.old.slow + PRIOR_SLOW) / base
        return max(
            _log_ratio(self.new.seen, self.new.failed, failing),
            _log_ratio(self.new.seen, self.new.slow, slow),
        )


Table = dict[str, RouteCounts]


@dataclasses.dataclass(frozen=True, slots=True)
class Sums:
    """Counts of all processes, by route and on all routes."""

    routes: Table
    total: RouteCounts

    def log_evidence(self) -> float:
        """Return the strongest evidence, over all routes or on one."""
        each = [counts.log_evidence() for counts in self.routes.values()]
        # One of several routes looks bad by chance more easily than all.
        worst = max(each, default=0.0) - math.log(max(1, len(each)))
        return max(self.total.log_evidence(), worst)


class Trial:
    """
    One order and what is known of the version.

    :ivar own: counts of this process, by route.
    :ivar others: counts of other processes, by holder.
    """

    def __init__(self, order: Order, now: float) -> None:
        """Start without evidence."""
        self.order = order
        self.verdict = Verdict.NONE
        self.own: Table = {}
        self.others: dict[str, Table] = {}
        self.shared = True
        self._began = now
        self._usual_s: dict[str, float] = {}

    def note(
        self,
        route: str,
        version: str,
        *,
        failed: bool,
        seconds: float,
    ) -> None:
        """Count an answer."""
        counts = self.own.setdefault(route, RouteCounts())
        is_new = version == self.order.version
        row = counts.new if is_new else counts.old
        row.seen += 1
        row.failed += failed
        row.slow += self._is_slow(route, seconds)
        if not failed and not is_new:
            usual = self._usual_s.setdefault(route, seconds)
            self._usual_s[route] = usual + TIME_WEIGHT * (seconds - usual)

    def share(self) -> float:
        """Return the share of requests that the new version gets now."""
        if self.verdict is not Verdict.NONE:
            return float(self.verdict is Verdict.GOOD)
        if not self.shared:
            return CAREFUL_SHARE
        sums = self.sums()
        if sums.total.new.seen < FIRST_SEEN:
            return FIRST_SHARE
        suspect = sums.log_evidence() > LOG_SUSPECT
        return CAREFUL_SHARE if suspect else TRIAL_SHARE

    def decide(self, now: float) -> Verdict:
        """Return the verdict that the evidence and the time call for."""
        sums = self.sums()
        evidence = sums.log_evidence()
        if evidence >= LOG_REJECT_THRESHOLD:
            return Verdict.BAD
        part = (now - self._began) / max(self.order.duration_s, 1e-3)
        seen = sums.total.new.seen
        if part >= PROVEN_AT and seen >= LEAST_SEEN and evidence <= 0:
            return Verdict.GOOD
        if part >= UNPROVEN_AT:
            return Verdict.BAD if evidence > LOG_DOUBT else Verdict.GOOD
        return Verdict.NONE

    def sums(self) -> Sums:
        """Return the counts of all processes."""
        routes: Table = {}
        for table in (self.own, *self.others.values()):
            for route, counts in table.items():
                routes.setdefault(route, RouteCounts()).add(counts)
        total = RouteCounts()
        for merged in routes.values():
            total.add(merged)
        return Sums(routes, total)

    def _is_slow(self, route: str, seconds: float) -> bool:
        """Return whether an answer took far longer than usual."""
        usual = self._usual_s.get(route)
        if usual is None:
            return False
        return seconds > max(SLOW_S, SLOW_FACTOR * usual)


def _log_ratio(seen: int, hits: int, usual: float) -> float:
    """Return the log likelihood ratio of hits that are too frequent."""
    bad = min(MOST_SHARE, max(BAD_FACTOR * usual, usual + BAD_SHARE))
    if bad <= usual:
        return 0.0
    hit = log_ratio(hit=True, null=usual, bad=bad)
    miss = log_ratio(hit=False, null=usual, bad=bad)
    return hits * hit + (seen - hits) * miss
