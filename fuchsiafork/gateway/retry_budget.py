"""Bounds how often this process sends a request to a second target."""

import collections

# Part of the fleet's allowance that is used, since requests are not spread
# evenly over the VMs and calls of one window arrive in the next.
USED_FRACTION = 0.6
# Share of the fleet's fixed allowance for one VM, as if there were this many.
ASSUMED_FLEET_SIZE = 12


class RetryBudget:
    """
    Sliding window over the requests and repeats of each service.

    The fleet as a whole may repeat a share of its requests and a fixed
    number besides; each VM keeps to its part without asking the others.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        """Take the fleet's allowance for a window of some seconds."""
        self._ratio = ratio * USED_FRACTION
        self._extra = extra * USED_FRACTION / ASSUMED_FLEET_SIZE
        self._window_s = window_s
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count a request for a service."""
        self._window(self._requests, service, now).append(now)

    def try_acquire(self, service: str, now: float) -> bool:
        """Return whether a repeat may be sent, and count it."""
        requests = len(self._window(self._requests, service, now))
        retries = self._window(self._retries, service, now)
        if len(retries) + 1 > self._extra + self._ratio * requests:
            return False
        retries.append(now)
        return True

    def _window(
        self,
        times_by_service: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        """Return the times of a service that are still in the window."""
        times = times_by_service.setdefault(service, collections.deque())
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return times
