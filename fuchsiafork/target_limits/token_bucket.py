"""A token bucket on a clock that is passed in."""


class TokenBucket:
    """Tokens that are added at a rate, up to a bound."""

    def __init__(
        self, rate: float, burst: float, now: float, tokens: float = 0.0
    ) -> None:
        """
        Start with some tokens.

        :param rate: tokens added a second.
        :param burst: most tokens at hand.
        """
        self.rate = rate
        self.burst = burst
        self.tokens = tokens
        self.updated_at = now

    def advance(self, now: float) -> float:
        """Add the tokens since the last call and return how many."""
        added = max(0.0, now - self.updated_at) * self.rate
        self.tokens = min(self.burst, self.tokens + added)
        self.updated_at = now
        return added

    def take(self, least: float = 1.0) -> bool:
        """Take a token if there are as many as given; return whether."""
        if self.tokens < least:
            return False
        self.tokens -= 1
        return True


__all__ = ('TokenBucket',)
