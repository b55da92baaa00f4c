"""Stand-in targets and the kinds of versions that run on them."""

import dataclasses
import random
from collections.abc import Callable

from fuchsiafork.messages import Observation

_ERROR_SHARE = 0.005
_PEAK_ERRORS = 0.1
_PEAK_SLOWDOWN = 3.0
_OUTAGE_ERRORS = 0.6
_LOAD_WINDOW_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """
    What a version does.

    :ivar errors: additional share of requests that fail at once.
    :ivar truncated: share of answers that end too early.
    :ivar slowdown: factor on the times to and between tokens.
    :ivar from_start: whether it is bad from its first request.
    :ivar later: whether it is bad from some time after its start.
    :ivar load: share of the route's requests above which it is bad.
    :ivar one_domain: whether it is bad in one failure domain only.
    """

    errors: float = 0.0
    truncated: float = 0.0
    slowdown: float = 1.0
    from_start: bool = True
    later: bool = False
    load: float = 0.0
    one_domain: bool = False


BAD_KINDS = {
    'half_fail': Kind(errors=0.5),
    'all_fail': Kind(errors=1.0),
    'fifth_fail': Kind(errors=0.2),
    'slow_3x': Kind(slowdown=3.0),
    'truncates': Kind(truncated=0.4),
    'later_half': Kind(errors=0.5, from_start=False, later=True),
    'later_slow': Kind(slowdown=3.0, from_start=False, later=True),
    'under_load': Kind(errors=0.5, from_start=False, load=0.4),
    'one_domain': Kind(errors=0.6, one_domain=True),
    'one_route': Kind(errors=0.5),
}
GOOD_KINDS = {
    'good': Kind(),
    'good_tenth_slower': Kind(slowdown=1.1),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Trouble:
    """
    A time in which both versions do worse in a failure domain.

    :ivar outage: the domain fails; otherwise it has a load peak.
    """

    domain: str
    start: float
    end: float
    outage: bool

    def covers(self, domain: str, now: float) -> bool:
        """Return whether a request of now and there is hit."""
        return self.start <= now < self.end and domain == self.domain


@dataclasses.dataclass(slots=True)
class Route:
    """
    A route with its rollout, and what its targets received.

    :ivar rate: requests a second in the fleet.
    :ivar onset: when the new version turns bad, -1 while it is not.
    :ivar received: time and whether the new version got the request.
    """

    name: str
    kind_name: str
    kind: Kind
    rate: float
    start: float
    deadline: float
    end: float
    later_at: float
    bad_domain: str
    onset: float = -1.0
    received: list[tuple[float, bool]] = dataclasses.field(
        default_factory=list,
    )

    @property
    def bad(self) -> bool:
        """Whether the version has or will have a fault."""
        return self.kind_name in BAD_KINDS

    def is_bad_now(self, domain: str, now: float) -> bool:
        """Return whether a request of the new version meets its fault."""
        kind = self.kind
        if not self.bad or (kind.one_domain and domain != self.bad_domain):
            return False
        if kind.later and now < self.later_at:
            return False
        return not kind.load or self._load(now) > kind.load

    def new_times(self) -> list[float]:
        """Return when the new version received requests."""
        return [moment for moment, is_new in self.received if is_new]

    def _load(self, now: float) -> float:
        """Return the new version's share of the latest requests."""
        recent = []
        for moment, is_new in reversed(self.received):
            if moment < now - _LOAD_WINDOW_S:
                break
            recent.append(is_new)
        return sum(recent) / max(1, len(recent))


class Targets:
    """The targets of both versions of all routes."""

    def __init__(
        self,
        now: Callable[[], float],
        chance: random.Random,
        troubles: list[Trouble],
    ) -> None:
        """Serve with outcomes drawn from ``chance``."""
        self._now = now
        self._chance = chance
        self._troubles = troubles

    def serve(
        self,
        route: Route,
        domain: str,
        *,
        new: bool,
    ) -> tuple[float, Observation]:
        """Return the seconds that a request takes and what is seen of it."""
        now = self._now()
        route.received.append((now, new))
        chance = self._chance
        faulty = new and route.is_bad_now(domain, now)
        if faulty and route.onset < 0:
            route.onset = now
        kind = route.kind if faulty else Kind()
        slow = kind.slowdown
        if new and not route.bad:
            slow = route.kind.slowdown
        errors = _ERROR_SHARE + kind.errors
        for trouble in self._troubles:
            if trouble.covers(domain, now):
                errors += _OUTAGE_ERRORS if trouble.outage else _PEAK_ERRORS
                slow *= 1 if trouble.outage else _PEAK_SLOWDOWN
        first = slow * 0.4 * chance.lognormvariate(0, 0.5)
        gap = slow * 0.03 * chance.lognormvariate(0, 0.25)
        tokens = int(chance.lognormvariate(4, 0.5)) + 1
        if chance.random() < errors:
            return first / 2, _observe(failed=True)
        if chance.random() < kind.truncated:
            took = first + gap * tokens / 2
            return took, _observe(first, gap, tokens // 2, truncated=True)
        return first + gap * tokens, _observe(first, gap, tokens)


def _observe(
    first: float = -1.0,
    gap: float = -1.0,
    tokens: int = 0,
    *,
    failed: bool = False,
    truncated: bool = False,
) -> Observation:
    """Return what a router sees of a request."""
    return Observation(
        sent=True,
        failed=failed or truncated,
        truncated=truncated,
        first_token_s=first,
        token_gap_s=gap,
        tokens=tokens,
    )
