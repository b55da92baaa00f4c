"""Measured times for which requests hold their slots."""

_WEIGHT = 0.1
# Used until the first slot is released; short, so that no request is refused
# because of an estimate.
_INITIAL_ESTIMATE_S = 1.0


class ServiceTimes:
    """Exponentially weighted means, by route and over all routes."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._by_route: dict[str, float] = {}
        self._overall = -1.0

    @property
    def mean(self) -> float:
        """The mean over all routes in seconds."""
        return self._overall if self._overall >= 0 else _INITIAL_ESTIMATE_S

    @property
    def slowest_route_mean(self) -> float:
        """The greatest mean of a route in seconds."""
        return max(self._by_route.values(), default=_INITIAL_ESTIMATE_S)

    def record(self, route: str, seconds: float) -> None:
        """Record the time for which a slot was held."""
        known = self._by_route.get(route, seconds)
        self._by_route[route] = known + _WEIGHT * (seconds - known)
        if self._overall < 0:
            self._overall = seconds
        self._overall += _WEIGHT * (seconds - self._overall)

    def route_mean(self, route: str) -> float:
        """Return the mean of a route in seconds."""
        return self._by_route.get(route, self.mean)
