"""Unix time on which the clocks of the VMs agree."""

import statistics

from fuchsiafork.kernel import Clock

# Number of clocks that must agree, including this VM's.
MIN_CLOCKS = 3
# Largest difference between correct clocks, seconds.
MAX_CLOCK_DIFFERENCE_S = 0.3


class FleetTime:
    """
    Unix time derived from the monotonic clock, which counts from VM boot.

    The offset of Unix time from the monotonic clock is set once the wall clocks
    of several VMs agree. A single VM can't determine it: its wall clock may
    have jumped, and its monotonic clock restarts after a power loss.
    """

    def __init__(self, clock: Clock) -> None:
        """Start unsynchronized."""
        self._clock = clock
        self._offset: float | None = None

    @property
    def synchronized(self) -> bool:
        """Whether the offset is known."""
        return self._offset is not None

    def synchronize(self, other_offsets: list[float]) -> bool:
        """
        Set the offset to the median if enough clocks are known and agree.

        :param other_offsets: wall clocks of other VMs minus the monotonic
            clock of this VM, seconds.
        :return: whether the offset was set.
        """
        own_offset = self._clock.wall() - self._clock.now()
        offsets = [own_offset, *other_offsets]
        agree = max(offsets) - min(offsets) <= MAX_CLOCK_DIFFERENCE_S
        if len(offsets) < MIN_CLOCKS or not agree:
            return False
        self._offset = statistics.median(offsets)
        return True

    def unix_time(self, since_boot: float) -> float | None:
        """
        Convert a reading of the monotonic clock to Unix time, seconds.

        :return: None while unsynchronized.
        """
        return None if self._offset is None else since_boot + self._offset
