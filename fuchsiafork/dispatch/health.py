"""Passive health checks: ejection of outliers and gradual return."""

import collections
import dataclasses

from fuchsiafork.messages import Observation

# A target is an outlier after three consecutive failures, or if more than half
# of its last requests failed: of at most 20, and at least 10.
OUTLIER_CONSECUTIVE_FAILURES = 3
SAMPLE_COUNT = 20
_OUTLIER_FAILED_SHARE = 0.5
_MIN_SAMPLES = 10
EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
# First and longest delay before a target that could not be connected to is
# used again.
CONNECT_RETRY_S = 1.0
MAX_CONNECT_RETRY_S = 10.0
# Time in which a returning target goes from one usable slot to all of them.
RAMP_UP_S = 10.0
# Share of a group that may be ejected at the same time.
MAX_EJECTED_SHARE = 1 / 3


@dataclasses.dataclass(slots=True)
class Health:
    """
    Health of one target by the outcomes of its requests.

    Times are of the local clock.

    :ivar ejected_until: end of the ejection caused by failed requests.
    :ivar unreachable_until: end of the pause caused by a failed connect.
    :ivar recent_failures: whether each of the last requests failed.
    """

    ejected_until: float = float('-inf')
    unreachable_until: float = float('-inf')
    ejections: int = 0
    connect_failures: int = 0
    consecutive_failures: int = 0
    recent_failures: collections.deque[bool] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=SAMPLE_COUNT),
    )

    def is_unavailable(self, now: float) -> bool:
        """Return whether the target is ejected or unreachable."""
        return now < max(self.ejected_until, self.unreachable_until)

    def is_ejected(self, now: float) -> bool:
        """Return whether the target is ejected."""
        return now < self.ejected_until

    def capacity_share(self, now: float) -> float:
        """Return the share of its capacity that a returning target may use."""
        since = now - max(self.ejected_until, self.unreachable_until)
        return min(1.0, max(0.0, since / RAMP_UP_S))

    def record(self, observation: Observation, now: float) -> bool:
        """Record an outcome; return whether the target is an outlier."""
        if not observation.sent:
            if observation.failed:
                self.record_connect_failure(now)
            return False
        self.connect_failures = 0
        failed = observation.failed or observation.truncated
        self.recent_failures.append(failed)
        self.consecutive_failures = (
            self.consecutive_failures + 1 if failed else 0
        )
        if (
            not failed
            and self.ejections
            and is_full_without_failure(self.recent_failures)
        ):
            self.ejections = 0
        too_many = sum(self.recent_failures) > _OUTLIER_FAILED_SHARE * len(
            self.recent_failures
        )
        enough_samples = len(self.recent_failures) >= _MIN_SAMPLES
        outlier = self.consecutive_failures >= OUTLIER_CONSECUTIVE_FAILURES or (
            too_many and enough_samples
        )
        return failed and outlier

    def record_connect_failure(self, now: float) -> None:
        """Pause the target for a time that doubles with each failed connect."""
        duration_s = min(
            MAX_CONNECT_RETRY_S, CONNECT_RETRY_S * 2**self.connect_failures
        )
        if now >= self.unreachable_until:
            self.connect_failures = min(self.connect_failures + 1, SAMPLE_COUNT)
            self.unreachable_until = now + duration_s

    def eject(self, now: float) -> float:
        """Eject the target now and return the duration in seconds."""
        duration_s = min(MAX_EJECTION_S, EJECTION_S * 2**self.ejections)
        self.ejections = min(self.ejections + 1, SAMPLE_COUNT)
        self.ejected_until = now + duration_s
        self.consecutive_failures = 0
        self.recent_failures.clear()
        return duration_s


def is_full_without_failure(recent_failures: collections.deque[bool]) -> bool:
    """Return whether a full window of requests has no failure."""
    return len(recent_failures) == SAMPLE_COUNT and not any(recent_failures)


def may_eject(group: list[Health], now: float) -> bool:
    """Return whether one more target of a group may be ejected."""
    ejected = sum(health.is_ejected(now) for health in group)
    return ejected + 1 <= MAX_EJECTED_SHARE * len(group)
