"""Outlier ejection, unreachable targets and their slow return."""

import collections
import dataclasses

from fuchsiafork.messages import Observation

# Three failures in a row, or half of the last 20, make an outlier.
FAILURES_IN_A_ROW = 3
WINDOW = 20
_FAILED_SHARE = 0.5
_LEAST_SEEN = 10
EJECTION_S = 5.0
LONGEST_EJECTION_S = 60.0
# A target that refused a connection is tried again after this time.
RETRY_S = 1.0
LONGEST_RETRY_S = 10.0
# Time in which a returning target goes from one slot to all of them.
RETURN_S = 10.0
# Share of a group that may be ejected at one time.
EJECTED_SHARE = 1 / 3


@dataclasses.dataclass(slots=True)
class Health:
    """
    Passive evidence about one target; times are of the local clock.

    :ivar ejected_until: no new work before it, for failed requests.
    :ivar unreachable_until: no new work before it, for failed connects.
    """

    ejected_until: float = float('-inf')
    unreachable_until: float = float('-inf')
    ejections: int = 0
    connect_failures: int = 0
    in_a_row: int = 0
    recent: collections.deque[bool] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=WINDOW),
    )

    def is_out(self, now: float) -> bool:
        """Return whether the target is ejected or unreachable."""
        return now < max(self.ejected_until, self.unreachable_until)

    def is_ejected(self, now: float) -> bool:
        """Return whether the target is ejected."""
        return now < self.ejected_until

    def share(self, now: float) -> float:
        """Return the part of its capacity that a returning target gets."""
        since = now - max(self.ejected_until, self.unreachable_until)
        return min(1.0, max(0.0, since / RETURN_S))

    def note(self, observation: Observation, now: float) -> bool:
        """Return whether the target has become an outlier."""
        if not observation.sent:
            if observation.failed:
                self.note_unreachable(now)
            return False
        self.connect_failures = 0
        failed = observation.failed or observation.truncated
        self.recent.append(failed)
        self.in_a_row = self.in_a_row + 1 if failed else 0
        if not failed and self.ejections and all_good(self.recent):
            self.ejections = 0
        often = sum(self.recent) > _FAILED_SHARE * len(self.recent)
        seen = len(self.recent) >= _LEAST_SEEN
        outlier = self.in_a_row >= FAILURES_IN_A_ROW or (often and seen)
        return failed and outlier

    def note_unreachable(self, now: float) -> None:
        """Keep work away for a time that doubles with each failure."""
        pause = min(LONGEST_RETRY_S, RETRY_S * 2**self.connect_failures)
        if now >= self.unreachable_until:
            self.connect_failures = min(self.connect_failures + 1, WINDOW)
            self.unreachable_until = now + pause

    def eject(self, now: float) -> float:
        """Return the time of an ejection that starts now, in seconds."""
        pause = min(LONGEST_EJECTION_S, EJECTION_S * 2**self.ejections)
        self.ejections = min(self.ejections + 1, WINDOW)
        self.ejected_until = now + pause
        self.in_a_row = 0
        self.recent.clear()
        return pause


def all_good(recent: collections.deque[bool]) -> bool:
    """Return whether a full window holds no failure."""
    return len(recent) == WINDOW and not any(recent)


def may_eject(group: list[Health], now: float) -> bool:
    """Return whether one more target of a group may be ejected."""
    ejected = sum(health.is_ejected(now) for health in group)
    return ejected + 1 <= EJECTED_SHARE * len(group)
