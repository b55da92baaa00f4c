"""Demand forecast for one budget at one holder."""

import math

SHORT_HORIZON_S = 5.0
LONG_HORIZON_S = 60.0


class Forecast:
    """Exponentially weighted demand rate over two horizons."""

    def __init__(self, now: float) -> None:
        """Start without demand."""
        self._updated_at = now
        self._started_at = now
        self._rates = [0.0, 0.0]

    def add(self, now: float, tokens: int) -> None:
        """Add the tokens that a request asked for."""
        self._decay(now)
        for index, horizon in enumerate((SHORT_HORIZON_S, LONG_HORIZON_S)):
            self._rates[index] += tokens / horizon

    def rate(self, now: float) -> float:
        """
        Return the expected demand in tokens per second.

        The long horizon has most of the weight, so that a burst does not
        change the shares of the holders. Its rate is corrected for an
        observation time shorter than the horizon.
        """
        self._decay(now)
        observed_s = max(now - self._started_at, SHORT_HORIZON_S)
        short, long = self._rates
        long /= 1 - math.exp(-observed_s / LONG_HORIZON_S)
        return (short + 3 * long) / 4

    def _decay(self, now: float) -> None:
        """Decay the rates to the current time."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        for index, horizon in enumerate((SHORT_HORIZON_S, LONG_HORIZON_S)):
            self._rates[index] *= math.exp(-elapsed_s / horizon)
