"""Expected waits, and the times after which refused callers may return."""

import dataclasses
import math

from fuchsiafork.kernel import Clock

# Time constant of the rate at which requests end.
TIME_CONSTANT_S = 4.0
# Shortest time over which ends are counted: right after the start, a single end
# would look like many a second.
MIN_OBSERVED_S = 1.0
# Rate below which nothing can be expected, requests a second.
MIN_RATE = 0.02
# Shortest wait that a request is allowed, whatever its objective.
MIN_WAIT_LIMIT_S = 0.5
# Limits of the time after which a refused caller may return.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 10.0
# Part by which each step of priority makes that time longer.
RETRY_AFTER_STEP = 0.5
MAX_RETRY_AFTER_STEPS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """
    Position of a request in the queue.

    :ivar ahead: requests that are served before it.
    :ivar ahead_in_level: those of them in its own level.
    :ivar floor: least share of the places that its level gets.
    """

    ahead: int
    ahead_in_level: int
    floor: float


class EndRate:
    """Rate at which the requests of this VM at a service end lately."""

    def __init__(self, clock: Clock) -> None:
        """Start without ends."""
        self._clock = clock
        self._started_at = clock.now()
        self._updated_at = clock.now()
        self._count = 0.0

    @property
    def per_s(self) -> float:
        """Ends a second, 0 if it is too low to expect anything of it."""
        self._decay()
        observed_s = self._updated_at - self._started_at
        elapsed_s = max(MIN_OBSERVED_S, observed_s)
        # Until the time constant has passed, the average misses what was
        # before the start.
        known = 1 - math.exp(-elapsed_s / TIME_CONSTANT_S)
        rate = self._count / TIME_CONSTANT_S / known
        return rate if rate >= MIN_RATE else 0.0

    def record(self) -> None:
        """Record that a request has ended."""
        self._decay()
        self._count += 1

    def _decay(self) -> None:
        """Let past ends fade."""
        now = self._clock.now()
        elapsed_s = now - self._updated_at
        self._count *= math.exp(-elapsed_s / TIME_CONSTANT_S)
        self._updated_at = now


def expected_wait_s(position: Position, rate: float) -> float:
    """
    Return the expected time until a request is the next one, seconds.

    A request at the head of its level is: it may wait even if ends are rare.

    :param rate: requests that end a second, 0 if unknown.
    """
    if not rate:
        return 0.0
    in_order = position.ahead / rate
    by_floor = position.ahead_in_level / (rate * position.floor)
    return min(in_order, by_floor)


def wait_limit_s(
    objective_s: float, time_left_s: float, first_event_s: float
) -> float:
    """
    Return the time for which a request may wait for a place, seconds.

    One that waits for longer than its objective misses it, and takes the place
    of another one that would not.

    :param objective_s: time to the first event that the route aims at.
    :param time_left_s: time until the request's deadline.
    :param first_event_s: expected time from its start to the first event.
    """
    limit_s = max(MIN_WAIT_LIMIT_S, objective_s - first_event_s)
    return min(limit_s, time_left_s - first_event_s)


def retry_after_s(waiting: int, rate: float, priority: int) -> float | None:
    """
    Return the time to drain the queue, longer for lower priorities.

    :param rate: requests that end a second, 0 if unknown.
    :returns: seconds, None if they are unknown.
    """
    if not rate:
        return None
    steps = min(max(0, priority), MAX_RETRY_AFTER_STEPS)
    seconds = (waiting + 1) / rate * (1 + RETRY_AFTER_STEP * steps)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))


__all__ = (
    'MIN_WAIT_LIMIT_S',
    'EndRate',
    'Position',
    'expected_wait_s',
    'retry_after_s',
    'wait_limit_s',
)
