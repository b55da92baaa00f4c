"""Hybrid logical clock that orders events across processes."""

import dataclasses

from fuchsiafork.kernel.clock import Clock

_MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """
    A timestamp of the hybrid logical clock.

    :ivar wall_ms: Unix time in milliseconds.
    :ivar count: logical counter within that millisecond.
    :ivar node: id of the process that created the timestamp.
    """

    wall_ms: int
    count: int
    node: str


class HybridClock:
    """
    Issues increasing timestamps, later than those of received messages.

    Source: Kulkarni et al., Logical Physical Clocks, 2014.
    """

    def __init__(self, node: str, clock: Clock) -> None:
        """Issue timestamps for a node from its clock."""
        self._node = node
        self._clock = clock
        self._wall_ms = 0
        self._count = 0

    def tick(self) -> Stamp:
        """Return a timestamp later than all issued or merged before."""
        wall_ms = int(self._clock.wall() * _MILLISECONDS)
        if wall_ms > self._wall_ms:
            self._wall_ms = wall_ms
            self._count = 0
        else:
            self._count += 1
        return Stamp(self._wall_ms, self._count, self._node)

    def merge(self, stamp: Stamp) -> None:
        """Advance the clock to a timestamp of another process."""
        received = (stamp.wall_ms, stamp.count)
        self._wall_ms, self._count = max((self._wall_ms, self._count), received)
