"""The only source of time in the system, so that tests can replace it."""

import abc
import time


class Clock(abc.ABC):
    """A source of monotonic time and of Unix time."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return monotonic seconds, including time spent suspended."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return Unix time in seconds."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def now(self) -> float:
        """
        Return seconds since boot.

        CLOCK_BOOTTIME advances while the machine is suspended, so a lease
        that expired during a suspension is seen as expired.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return time.time()
