"""Clocks that decisions read; nothing else in the system asks for the time."""

import abc
import time


class Clock(abc.ABC):
    """A source of elapsed and of calendar time."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return seconds since some fixed point, suspension included."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return Unix time in seconds."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def now(self) -> float:
        """
        Return seconds since boot.

        CLOCK_BOOTTIME goes on while the machine is suspended, so a lease
        that lapsed during a suspension is seen as lapsed.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return time.time()
