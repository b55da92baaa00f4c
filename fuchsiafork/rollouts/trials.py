"""Compares requests of the new version with requests of the old one."""

import collections
import dataclasses
import math
from collections.abc import Sequence

from fuchsiafork.kernel.change_detection import log_ratio
from fuchsiafork.messages import Observation

ERRORS = 'errors'
TRUNCATED = 'truncated'
FIRST_TOKEN = 'first_token'  # ruff: ignore[hardcoded-password-string]
TOKEN_GAP = 'token_gap'  # ruff: ignore[hardcoded-password-string]
FAILURE_TESTS = frozenset((ERRORS, TRUNCATED))
TESTS = (ERRORS, TRUNCATED, FIRST_TOKEN, TOKEN_GAP)

# Bounds on the requests of the old version that a trial is compared with.
_MAX_BASELINE_REQUESTS = 64
_MAX_EARLIER_REQUESTS = 20
_ADJACENT_REQUESTS = 5
_WINDOW_S = 120.0
# A trial is compared once this many requests of the old version have ended
# after it, so that a failure domain that has just begun to fail shows up in
# both versions.
MIN_LATER_REQUESTS = 3
# In a domain that fails 60% of all requests, 3 in a row succeed with a
# probability of 6%, 5 with 1%. With 3, such a domain caused a bad verdict on a
# good version of a route with little traffic.
MIN_LATER_AFTER_FAILURE = 5
# A percentile of the latencies of fewer requests is mostly random.
MIN_BASELINE_REQUESTS = 8
_SLOW_QUANTILE = 0.8
_SLOW_NULL_SHARE = 0.2
# Parts of the permitted excess by which a good version may be worse than the
# old one.
_ERROR_ALLOWANCE = 0.2
_SLOWDOWN_ALLOWANCE = 0.25
_MAX_NULL_SHARE = 0.9
# Excess shares of failed and of slow requests assumed by the alternatives. The
# alternatives for failures also include the permitted share.
_ERROR_EXCESSES = (0.2, 0.5, 0.85)
_SLOW_EXCESSES = (0.35, 0.8)
# Index of the alternative with an excess failure share of 0.5.
_HALF_FAILING_INDEX = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Criteria:
    """Limits of a rollout section for the new version."""

    max_error_share: float
    max_slowdown: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRequest:
    """A request and the local clock time in seconds when it ended."""

    time: float
    observation: Observation


class Baseline:
    """The latest requests of the old version in one failure domain."""

    def __init__(self) -> None:
        """Start without requests."""
        self._requests: collections.deque[EndedRequest] = collections.deque(
            maxlen=_MAX_BASELINE_REQUESTS
        )

    def add(self, ended: EndedRequest) -> None:
        """Add a request; requests are added in order of time."""
        self._requests.append(ended)

    def can_compare(self, trial: EndedRequest) -> bool:
        """Return whether enough requests are known to compare a trial."""
        needed = (
            MIN_LATER_AFTER_FAILURE
            if trial.observation.failed
            else MIN_LATER_REQUESTS
        )
        enough = len(self._requests) >= MIN_BASELINE_REQUESTS
        return enough and len(self.after(trial.time)) >= needed

    def before(self, moment: float) -> list[EndedRequest]:
        """Return the last requests that ended in the window up to a time."""
        requests = [
            request
            for request in self._requests
            if moment - _WINDOW_S <= request.time <= moment
        ]
        return requests[-_MAX_EARLIER_REQUESTS:]

    def after(self, moment: float) -> list[EndedRequest]:
        """Return the first requests that ended after a time."""
        requests: list[EndedRequest] = []
        for request in reversed(self._requests):
            if request.time <= moment:
                break
            requests.append(request)
        return requests[: -_ADJACENT_REQUESTS - 1 : -1]

    def latencies(self, test: str) -> list[float]:
        """Return all stored latencies regardless of age."""
        return _latencies(self._requests, test)


def alternatives(test: str, criteria: Criteria) -> tuple[float, ...]:
    """Return the excess hit share that each alternative assumes."""
    if test in FAILURE_TESTS:
        return (criteria.max_error_share, *_ERROR_EXCESSES)
    return _SLOW_EXCESSES


def suspect_alternative(test: str) -> int:
    """Return the index of the alternative used for open trials."""
    return _HALF_FAILING_INDEX if test in FAILURE_TESTS else -1


def trial_log_ratios(
    test: str,
    trial: EndedRequest,
    baseline: Baseline,
    criteria: Criteria,
) -> tuple[float, ...]:
    """
    Return the log likelihood ratios of a trial, one for each alternative.

    The result is empty if the trial has no value for the test.
    """
    before = baseline.before(trial.time)
    after = baseline.after(trial.time)
    if test in FAILURE_TESTS:
        hit = _is_hit(trial, test)
        windows = (before, before[-_ADJACENT_REQUESTS:], after)
        null = max(_hit_share(requests, test) for requests in windows)
        null += _ERROR_ALLOWANCE * criteria.max_error_share
    else:
        latency = _latency(trial, test)
        limit = _slow_limit(test, before, after, baseline)
        if latency < 0 or limit < 0:
            return ()
        slack = 1 + _SLOWDOWN_ALLOWANCE * (criteria.max_slowdown - 1)
        hit = latency > limit * slack
        null = _SLOW_NULL_SHARE
    null = min(null, _MAX_NULL_SHARE)
    return tuple(
        log_ratio(hit=hit, null=null, bad=null + (1 - null) * excess)
        for excess in alternatives(test, criteria)
    )


def _is_hit(request: EndedRequest, test: str) -> bool:
    """Return whether a request counts as failed in a test."""
    if test == TRUNCATED:
        return request.observation.truncated
    return request.observation.failed


def _hit_share(requests: Sequence[EndedRequest], test: str) -> float:
    """Return the share of requests that failed, 0 for no requests."""
    if not requests:
        return 0
    return sum(_is_hit(request, test) for request in requests) / len(requests)


def _latency(request: EndedRequest, test: str) -> float:
    """Return the latency that a test uses, -1 if it is unknown."""
    if test == FIRST_TOKEN:
        return request.observation.first_token_s
    return request.observation.token_gap_s


def _latencies(
    requests: collections.abc.Iterable[EndedRequest], test: str
) -> list[float]:
    """Return the known latencies of requests."""
    known = (_latency(request, test) for request in requests)
    return [latency for latency in known if latency >= 0]


def _slow_limit(
    test: str,
    before: Sequence[EndedRequest],
    after: Sequence[EndedRequest],
    baseline: Baseline,
) -> float:
    """
    Return the latency above which a request is slow, -1 if unknown.

    The limit is the greater of two percentiles, one over the window and one
    over the requests right after the trial, so that the start of a load peak
    is not counted as evidence.
    """
    later = _latencies(after, test)
    pool = _latencies(before, test) + later
    if len(pool) < MIN_BASELINE_REQUESTS:
        pool = baseline.latencies(test)
    if len(pool) < MIN_BASELINE_REQUESTS:
        return -1
    limit = _quantile(pool)
    return max(limit, _quantile(later)) if later else limit


def _quantile(known: list[float]) -> float:
    """Return the percentile above which a latency counts as slow."""
    rank = math.ceil(_SLOW_QUANTILE * (len(known) + 1))
    return sorted(known)[min(rank, len(known)) - 1]
