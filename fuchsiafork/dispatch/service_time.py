"""Measured time for which a request holds its slot."""

_WEIGHT = 0.1
# Used until the first slot is released; short, so that nothing is refused
# on a guess.
_FIRST_GUESS_S = 1.0


class ServiceTimes:
    """Exponentially weighted means, by route and over all routes."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._by_route: dict[str, float] = {}
        self._all = -1.0

    @property
    def mean(self) -> float:
        """Mean over all routes in seconds."""
        return self._all if self._all >= 0 else _FIRST_GUESS_S

    @property
    def longest(self) -> float:
        """Mean of the slowest route in seconds."""
        return max(self._by_route.values(), default=_FIRST_GUESS_S)

    def note(self, route: str, seconds: float) -> None:
        """Take the time for which a slot was held."""
        known = self._by_route.get(route, seconds)
        self._by_route[route] = known + _WEIGHT * (seconds - known)
        if self._all < 0:
            self._all = seconds
        self._all += _WEIGHT * (seconds - self._all)

    def of(self, route: str) -> float:
        """Return the mean of a route in seconds."""
        return self._by_route.get(route, self.mean)
