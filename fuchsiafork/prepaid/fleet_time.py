"""The time of day on which the VMs of the fleet agree."""

import statistics

from fuchsiafork.kernel import Clock

# Clocks that must agree, this VM's among them.
MIN_CLOCKS = 3
# Seconds by which clocks that are right may be apart.
MAX_CLOCK_DIFFERENCE_S = 0.3


class FleetTime:
    """
    Tells the time by the clock that counts from the start of the VM.

    Its distance from the time of day is taken once, when the clocks of some
    VMs agree: a single clock may have jumped, and after a loss of power the
    clock that never jumps begins anew.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without knowing the time."""
        self._clock = clock
        self._offset: float | None = None

    @property
    def synchronized(self) -> bool:
        """Whether the clocks have agreed."""
        return self._offset is not None

    def synchronize(self, other_offsets: list[float]) -> bool:
        """
        Take the time if the clocks agree, and return whether they do.

        :param others: time of day of other VMs less the time since the start
            of this one, seconds.
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
        Return the Unix time at a moment since the start of the VM, seconds.

        :return: None while it isn't known.
        """
        return None if self._offset is None else since_boot + self._offset
