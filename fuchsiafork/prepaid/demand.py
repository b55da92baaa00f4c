"""Measures how many tokens a second the requests of an account ask for."""

import math

# Time constant of the moving average of the demand.
DEMAND_TIME_CONSTANT_S = 8.0
# Time constant of the count of recent requests, by which a jump is noticed.
RECENT_TIME_CONSTANT_S = 1.0


class DemandMeter:
    """
    Demand of one account at one holder.

    Each request counts once, from the moment at which it asks for tokens and
    whether it gets them or not. A jump of the demand counts at once while
    requests wait or are refused. It is taken from the number of recent
    requests, since a few large prompts would look like a jump in tokens.

    :ivar tokens_per_s: moving average, tokens per second.
    """

    def __init__(self) -> None:
        """Start without demand."""
        self.tokens_per_s = 0.0
        self._requests_per_s = 0.0
        self._tokens = 0
        self._requests = 0
        self._recent_requests = 0.0
        self._recent_at = -math.inf
        self._unmet = False

    @property
    def started(self) -> bool:
        """Whether there was demand since the last update."""
        return bool(self._tokens)

    def record(self, tokens: int, now: float) -> None:
        """Count a request for some tokens."""
        self._tokens += tokens
        self._requests += 1
        self._recent_requests = self._count_recent(now) + 1
        self._recent_at = now

    def record_unmet(self) -> None:
        """Note that a request, which was recorded, did not get its tokens."""
        self._unmet = True

    def correct(self, tokens: int) -> None:
        """Add the difference of a request's cost to what it asked for."""
        self._tokens += tokens

    def update(self, elapsed_s: float, weight: float, now: float) -> None:
        """
        Update the average for the time since the last update.

        :param weight: weight of that time, from 0 to 1.
        """
        self.tokens_per_s += weight * (
            self._tokens / elapsed_s - self.tokens_per_s
        )
        self.tokens_per_s = max(0.0, self.tokens_per_s)
        self._requests_per_s += weight * (
            self._requests / elapsed_s - self._requests_per_s
        )
        self._tokens = self._requests = 0
        if self._unmet:
            self._follow_jump(now)
        self._unmet = False

    def _follow_jump(self, now: float) -> None:
        """Raise the averages to the rate of the recent requests."""
        rate = self._count_recent(now) / RECENT_TIME_CONSTANT_S
        if self._requests_per_s and rate > self._requests_per_s:
            self.tokens_per_s *= rate / self._requests_per_s
            self._requests_per_s = rate

    def _count_recent(self, now: float) -> float:
        """Return the number of recent requests, weighted by their age."""
        age_s = now - self._recent_at
        return self._recent_requests * math.exp(-age_s / RECENT_TIME_CONSTANT_S)


__all__ = ('DEMAND_TIME_CONSTANT_S', 'DemandMeter')
