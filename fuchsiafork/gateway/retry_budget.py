"""Limits how often the fleet retries requests on another target."""

import collections
import dataclasses

from fuchsiafork.target_limits import TokenBucket

# Fraction of the fleet-wide allowance that is used. The margin is needed
# because requests are not spread evenly over the VMs and calls of one window
# may arrive in the next one.
USED_FRACTION = 0.6
# Part of the fixed allowance that may be used at once; the rest is added evenly
# over a window.
BURST_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """
    Retries of a service that the whole fleet may send.

    :ivar ratio: retries per request.
    :ivar extra: fixed number of further retries per window.
    :ivar window_s: length of the sliding window.
    """

    ratio: float
    extra: float
    window_s: float


class RetryBudget:
    """Limits this VM's retries of each service to a share of its requests."""

    def __init__(self, limits: RetryLimits) -> None:
        """Start with empty windows."""
        self._ratio = limits.ratio * USED_FRACTION
        self._window_s = limits.window_s
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count a request for a service."""
        self._window(self._requests, service, now).append(now)

    def try_acquire(self, service: str, now: float) -> bool:
        """Count a retry and return True, or return False at the limit."""
        requests = len(self._window(self._requests, service, now))
        retries = self._window(self._retries, service, now)
        if len(retries) + 1 > self._ratio * requests:
            return False
        retries.append(now)
        return True

    def _window(
        self,
        times_by_service: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        """Remove a service's expired times and return the remaining ones."""
        times = times_by_service.setdefault(service, collections.deque())
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return times


class ExtraRetries:
    """The fixed allowance of the fleet, as the VM that issues it keeps it."""

    def __init__(self, limits: RetryLimits) -> None:
        """Start with what may be used at once."""
        used = limits.extra * USED_FRACTION
        self._burst = used * BURST_FRACTION
        self._rate = used * (1 - BURST_FRACTION) / limits.window_s
        self._buckets: dict[str, TokenBucket] = {}

    def acquire(self, service: str, now: float) -> bool:
        """Count a retry of any VM; return False if the allowance is used up."""
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = TokenBucket(self._rate, self._burst, now, self._burst)
            self._buckets[service] = bucket
        bucket.advance(now)
        return bucket.take()


__all__ = ('ExtraRetries', 'RetryBudget', 'RetryLimits')
