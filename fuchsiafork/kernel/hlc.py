"""Hybrid logical clock that orders events over processes."""

import dataclasses

from fuchsiafork.kernel.clock import Clock

_MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """
    A point in the order of events.

    :ivar wall_ms: Unix time in milliseconds.
    :ivar count: number of the event inside that millisecond.
    :ivar node: id of the process that took the stamp.
    """

    wall_ms: int
    count: int
    node: str


class HybridClock:
    """
    Stamps that never run backwards and follow those of received messages.

    Source: Kulkarni et al., Logical Physical Clocks, 2014.
    """

    def __init__(self, node: str, clock: Clock) -> None:
        """Start at the clock's present time."""
        self._node = node
        self._clock = clock
        self._wall_ms = 0
        self._count = 0

    def tick(self) -> Stamp:
        """Return a stamp that is later than all that came before."""
        wall_ms = int(self._clock.wall() * _MILLISECONDS)
        if wall_ms > self._wall_ms:
            self._wall_ms = wall_ms
            self._count = 0
        else:
            self._count += 1
        return Stamp(self._wall_ms, self._count, self._node)

    def merge(self, stamp: Stamp) -> None:
        """Move past a stamp that another process took."""
        theirs = (stamp.wall_ms, stamp.count)
        self._wall_ms, self._count = max((self._wall_ms, self._count), theirs)
