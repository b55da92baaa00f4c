"""
Permits for requests to a target that names a limit.

One VM issues the permits of a target, so that the limit holds for the whole
fleet. A bucket starts empty: when another VM takes over, the fleet sends no
more than the limit allows.
"""

import dataclasses
import enum

from fuchsiafork.target_limits.token_bucket import TokenBucket

# Permits that a bucket holds at most: a number, or those of some time if these
# are more.
MIN_BURST = 2.0
BURST_S = 0.5
# A target that accepts nothing is tried at this rate, so that the end of its
# limit is seen.
MIN_RATE_PER_S = 0.1
# Permits that are kept back for requests of each higher priority.
PRIORITY_RESERVE = 0.25
LOWEST_PRIORITY = 2
# Longest time for which a VM is told to wait.
MAX_WAIT_S = 4.0
# A bucket without requests is forgotten after this time.
IDLE_S = 60.0


class Decision(enum.StrEnum):
    """Answer to a request for a permit."""

    GRANTED = 'granted'
    REFUSED = 'refused'
    # The target has stopped naming a limit.
    UNLIMITED = 'unlimited'


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """
    A decision on one request.

    :ivar wait_s: seconds after which to ask again.
    """

    decision: Decision
    wait_s: float = 0.0


class _TargetBucket(TokenBucket):
    """
    Permits of one target.

    :ivar named_at: time at which a VM last saw the limit named, seconds.
    """

    def __init__(self, rate: float, named_at: float, now: float) -> None:
        """Start without permits."""
        super().__init__(rate, _burst(rate), now)
        self.named_at = named_at
        # Requests that were told to come back and are still to come.
        self._waiting = 0.0

    def set_rate(self, rate: float, named_at: float) -> None:
        """Apply a limit unless a newer one is known."""
        if named_at >= self.named_at:
            self.named_at = named_at
            self.rate = rate
            self.burst = _burst(rate)

    def request(self, priority: int, now: float) -> Permit:
        """Use a permit, unless the rest is kept for higher priorities."""
        self._waiting = max(0.0, self._waiting - self.advance(now))
        reserve = PRIORITY_RESERVE * min(max(0, priority), LOWEST_PRIORITY)
        if self.take(1 + reserve):
            return Permit(Decision.GRANTED)
        missing = 1 + reserve - self.tokens + self._waiting
        self._waiting += 1
        return Permit(Decision.REFUSED, min(MAX_WAIT_S, missing / self.rate))


class PermitIssuer:
    """Issues the permits of the targets for which this VM is responsible."""

    def __init__(self) -> None:
        """Start without buckets."""
        self._buckets: dict[str, _TargetBucket] = {}
        self._ended_at: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of buckets."""
        return len(self._buckets)

    def request(
        self,
        lifetime: str,
        rate: float,
        named_at: float,
        priority: int,
        now: float,
    ) -> Permit:
        """
        Decide on a request of a VM that knows a limit.

        :param lifetime: start of the target.
        :param rate: limit that the VM knows, requests a second.
        :param named_at: time at which it saw the limit named, seconds.
        :param priority: priority of the request, 0 is the highest.
        """
        self._forget_idle(now)
        if named_at <= self._ended_at.get(lifetime, -1.0):
            return Permit(Decision.UNLIMITED)
        self._ended_at.pop(lifetime, None)
        bounded = max(MIN_RATE_PER_S, rate)
        bucket = self._buckets.get(lifetime)
        if bucket is None:
            bucket = _TargetBucket(bounded, named_at, now)
            self._buckets[lifetime] = bucket
        bucket.set_rate(bounded, named_at)
        return bucket.request(priority, now)

    def end(self, lifetime: str, now: float) -> None:
        """Record that a target has stopped naming a limit."""
        self._buckets.pop(lifetime, None)
        self._ended_at[lifetime] = now

    def _forget_idle(self, now: float) -> None:
        """Forget targets that nobody asked for."""
        idle = [
            lifetime
            for lifetime, bucket in self._buckets.items()
            if now > bucket.updated_at + IDLE_S
        ]
        for lifetime in idle:
            self._buckets.pop(lifetime)
        ended = [
            lifetime
            for lifetime, ended_at in self._ended_at.items()
            if now > ended_at + IDLE_S
        ]
        for lifetime in ended:
            self._ended_at.pop(lifetime)


def _burst(rate: float) -> float:
    """Return the most permits at hand at a rate."""
    return max(MIN_BURST, rate * BURST_S)


__all__ = ('Decision', 'Permit', 'PermitIssuer')
