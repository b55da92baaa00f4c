"""Least shares of the places for what is not served first."""

import math
from collections.abc import Callable, Sequence

from fuchsiafork.kernel import Clock

# Time constant of the averages of what was asked for and served.
TIME_CONSTANT_S = 10.0
# Requests that must have been asked for lately to tell a share.
MIN_ASKED = 1.0
# Part of the places that all floors may take together.
MAX_FLOORS = 0.5
# Credits are sums of fractions.
_ROUNDING = 1e-9


class Floors:
    """
    Chooses between ranks: the first one, with a floor for each other one.

    A rank that waits collects credit with each place that becomes free, up to
    one place.
    """

    def __init__(self, floor: float) -> None:
        """
        Start without credit.

        :param floor: share of the places that a rank gets at least.
        """
        self._floor = floor
        self._credit: dict[int, float] = {}

    def choose(
        self, ranks: Sequence[int], allowed: Callable[[int], bool]
    ) -> int:
        """
        Return the rank that gets a place.

        :param ranks: those that wait, in their order.
        :param allowed: whether a rank may use its floor now.
        """
        first, *others = ranks
        floor = min(self._floor, MAX_FLOORS / max(1, len(others)))
        for rank in others:
            credit = self._credit.get(rank, 0.0) + floor
            self._credit[rank] = min(1.0, credit)
        due = (rank for rank in others if self._is_due(rank) and allowed(rank))
        chosen = next(due, first)
        self._credit.pop(chosen, None)
        return chosen

    def _is_due(self, rank: int) -> bool:
        """Return whether a rank has the credit of one place."""
        return self._credit[rank] >= 1 - _ROUNDING


class ServedShares:
    """Shares of the requests that were served lately, by priority."""

    def __init__(self, clock: Clock) -> None:
        """Start without requests."""
        self._clock = clock
        self._updated_at = clock.now()
        self._asked: dict[int, float] = {}
        self._served: dict[int, float] = {}

    def record_asked(self, priority: int) -> None:
        """Record that a request asks for a place."""
        self._decay()
        self._asked[priority] = self._asked.get(priority, 0.0) + 1

    def record_served(self, priority: int) -> None:
        """Record that a request got one."""
        self._decay()
        self._served[priority] = self._served.get(priority, 0.0) + 1

    def is_behind(self, priority: int) -> bool:
        """Return whether no more urgent priority is served less often."""
        self._decay()
        if self._asked.get(priority, 0.0) < MIN_ASKED:
            return True
        own = self._share(priority)
        return all(
            own <= self._share(other)
            for other, asked in self._asked.items()
            if other < priority and asked >= MIN_ASKED
        )

    def _share(self, priority: int) -> float:
        """Return the share of a priority."""
        served = self._served.get(priority, 0.0)
        return min(1.0, served / self._asked[priority])

    def _decay(self) -> None:
        """Let past requests fade."""
        now = self._clock.now()
        factor = math.exp((self._updated_at - now) / TIME_CONSTANT_S)
        self._updated_at = now
        for counts in (self._asked, self._served):
            for priority in counts:
                counts[priority] *= factor


__all__ = ('Floors', 'ServedShares')
