"""Turns requests of the new version into trials against the old one."""

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

# Requests of the old version that a trial is compared with.
_KEPT = 64
_BEFORE = 20
_NEAR = 5
_WINDOW_S = 120.0
# A trial waits for this many later endings of the old version, so that a
# failure domain that has just begun to fail is seen on both versions.
AFTER = 3
# In a domain that fails 60% of all requests 3 in a row succeed with 6%, 5 with
# 1%; with 3 such a domain condemned a good version on a sparse route.
AFTER_FAILURE = 5
# Fewer latencies give a percentile that is mostly chance.
LEAST_OLD = 8
_SLOW_QUANTILE = 0.8
_SLOW_NULL = 0.2
# Part of the permitted excess that a good version may use up.
_ERROR_ALLOWANCE = 0.2
_SLOWDOWN_ALLOWANCE = 0.25
_GREATEST_NULL = 0.9
# Excess failure share of the alternatives beside the permitted one.
_ERROR_EXCESSES = (0.2, 0.5, 0.85)
_SLOW_EXCESSES = (0.35, 0.8)
# Place of the alternative that fails half of its requests.
_ERRORS_HALF = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Criteria:
    """Bounds of a rollout section."""

    max_error_share: float
    max_slowdown: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A request that ended at a time in seconds."""

    time: float
    observation: Observation


class Baseline:
    """The latest requests of the old version in one failure domain."""

    def __init__(self) -> None:
        """Start without requests."""
        self._rows: collections.deque[Ended] = collections.deque(maxlen=_KEPT)

    def add(self, ended: Ended) -> None:
        """Add a request; times never run backwards."""
        self._rows.append(ended)

    def compares(self, trial: Ended) -> bool:
        """Return whether a trial can be compared."""
        needed = AFTER_FAILURE if trial.observation.failed else AFTER
        full = len(self._rows) >= LEAST_OLD
        return full and len(self.after(trial.time)) >= needed

    def before(self, moment: float) -> list[Ended]:
        """Return the last requests that ended in the window up to then."""
        rows = [
            row
            for row in self._rows
            if moment - _WINDOW_S <= row.time <= moment
        ]
        return rows[-_BEFORE:]

    def after(self, moment: float) -> list[Ended]:
        """Return the first requests that ended after then."""
        rows: list[Ended] = []
        for row in reversed(self._rows):
            if row.time <= moment:
                break
            rows.append(row)
        return rows[: -_NEAR - 1 : -1]

    def latencies(self, test: str) -> list[float]:
        """Return all latencies kept, whatever their age."""
        return _latencies(self._rows, test)


def alternatives(test: str, criteria: Criteria) -> tuple[float, ...]:
    """Return the excess hit shares of the alternatives, the least first."""
    if test in FAILURE_TESTS:
        return (criteria.max_error_share, *_ERROR_EXCESSES)
    return _SLOW_EXCESSES


def suspect_alternative(test: str) -> int:
    """Return the alternative by which open trials are judged."""
    return _ERRORS_HALF if test in FAILURE_TESTS else -1


def score(
    test: str,
    trial: Ended,
    baseline: Baseline,
    criteria: Criteria,
) -> tuple[float, ...]:
    """
    Return the log likelihood ratios of a trial, one an alternative.

    Empty if the trial says nothing about the test.
    """
    before = baseline.before(trial.time)
    after = baseline.after(trial.time)
    if test in FAILURE_TESTS:
        hit = _is_hit(trial, test)
        windows = (before, before[-_NEAR:], after)
        null = max(_hit_share(rows, test) for rows in windows)
        null += _ERROR_ALLOWANCE * criteria.max_error_share
    else:
        latency = _latency(trial, test)
        limit = _slow_limit(test, before, after, baseline)
        if latency < 0 or limit < 0:
            return ()
        slack = 1 + _SLOWDOWN_ALLOWANCE * (criteria.max_slowdown - 1)
        hit = latency > limit * slack
        null = _SLOW_NULL
    null = min(null, _GREATEST_NULL)
    return tuple(
        log_ratio(hit=hit, null=null, bad=null + (1 - null) * excess)
        for excess in alternatives(test, criteria)
    )


def _is_hit(row: Ended, test: str) -> bool:
    """Return whether a request failed in the sense of a test."""
    if test == TRUNCATED:
        return row.observation.truncated
    return row.observation.failed


def _hit_share(rows: Sequence[Ended], test: str) -> float:
    """Return the share of requests that failed, 0 for no requests."""
    if not rows:
        return 0
    return sum(_is_hit(row, test) for row in rows) / len(rows)


def _latency(row: Ended, test: str) -> float:
    """Return the latency that a test looks at, -1 if it is unknown."""
    if test == FIRST_TOKEN:
        return row.observation.first_token_s
    return row.observation.token_gap_s


def _latencies(rows: collections.abc.Iterable[Ended], test: str) -> list[float]:
    """Return the known latencies of requests."""
    known = (_latency(row, test) for row in rows)
    return [latency for latency in known if latency >= 0]


def _slow_limit(
    test: str,
    before: Sequence[Ended],
    after: Sequence[Ended],
    baseline: Baseline,
) -> float:
    """
    Return the latency above which a request is slow, -1 if unknown.

    The greater of the percentiles over the window and over the requests
    right after the trial, so that the start of a load peak is no evidence.
    """
    later = _latencies(after, test)
    pool = _latencies(before, test) + later
    if len(pool) < LEAST_OLD:
        pool = baseline.latencies(test)
    if len(pool) < LEAST_OLD:
        return -1
    limit = _quantile(pool)
    return max(limit, _quantile(later)) if later else limit


def _quantile(known: list[float]) -> float:
    """Return the percentile above which a latency counts as slow."""
    place = math.ceil(_SLOW_QUANTILE * (len(known) + 1))
    return sorted(known)[min(place, len(known)) - 1]
