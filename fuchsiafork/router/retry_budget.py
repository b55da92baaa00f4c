"""Limits the number and rate of retries of failed requests."""

import random
import threading

RETRY_FRACTION = 0.1
INITIAL_TOKENS = 10.0
MAX_TOKENS = 100.0
MAX_ATTEMPTS = 3
_BASE_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 1.0


class RetryBudget:
    """
    Token bucket to which each request adds a fraction of a token.

    It limits retries to 10% of requests, so that retries do not multiply the
    load of targets that are failing. Worker threads share one budget.
    """

    def __init__(self, fraction: float = RETRY_FRACTION) -> None:
        """Start with `INITIAL_TOKENS` tokens."""
        self._fraction = fraction
        self._tokens = INITIAL_TOKENS
        self._lock = threading.Lock()

    def count_request(self) -> None:
        """Add the fraction of a token for a new request."""
        with self._lock:
            self._tokens = min(MAX_TOKENS, self._tokens + self._fraction)

    def try_acquire(self) -> bool:
        """Take a token for a retry and return True, or False without one."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
        return True


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Return the wait before a retry, with full jitter, in seconds."""
    return rng.uniform(0, min(_MAX_BACKOFF_S, _BASE_BACKOFF_S * 2**attempt))
