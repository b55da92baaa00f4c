"""Limits how often this process retries requests on another target."""

import collections

# Fraction of the fleet-wide allowance that is used. The margin is needed
# because requests are not spread evenly over the VMs and calls of one window
# may arrive in the next one.
USED_FRACTION = 0.6
# Number of VMs among which the fixed part of the allowance is divided.
ASSUMED_FLEET_SIZE = 12


class RetryBudget:
    """
    Limits the retries of each service over a sliding window.

    The whole fleet may retry a fraction of its requests plus a fixed number.
    Each VM enforces its part of this limit without coordination.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        """
        Start with empty windows.

        :param ratio: retries that the whole fleet may send per request.
        :param extra: fixed number of retries per window for the whole fleet.
        :param window_s: length of the sliding window.
        """
        self._ratio = ratio * USED_FRACTION
        self._extra = extra * USED_FRACTION / ASSUMED_FLEET_SIZE
        self._window_s = window_s
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count a request for a service."""
        self._window(self._requests, service, now).append(now)

    def try_acquire(self, service: str, now: float) -> bool:
        """Count a retry and return True, or return False at the limit."""
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
        """Remove a service's expired times and return the remaining ones."""
        times = times_by_service.setdefault(service, collections.deque())
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return times
