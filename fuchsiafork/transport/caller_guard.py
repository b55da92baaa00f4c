"""Applies the decisions on the resources of callers to their connections."""

import asyncio
import collections
from typing import Protocol, cast

from fuchsiafork.transport.caller_resources import (
    UNLIMITED,
    CallerResources,
    ResourceLimits,
)
from fuchsiafork.transport.holders import STALLED_S, Holder, Kind, Stage
from fuchsiafork.transport.turn_queue import TurnQueue

_TIMEOUT = 408
_REASONS = {
    'connections': 'the process has too many connections',
    'memory': 'the process is short of memory for requests',
    'rate': 'the request comes too slowly',
}
_UNAVAILABLE = 503


class Shed(Protocol):
    """A connection that can be ended."""

    def shed(self, status: int, reason: str, *, at_once: bool) -> None:
        """
        Refuse the request that is being read, or close the connection.

        :param status: status of the refusal.
        :param at_once: whether the descriptor is needed.
        """


class Unread(Protocol):
    """A connection whose caller has not read all that was written."""

    def update_unsent(self) -> None:
        """Account for what the caller has read in the meantime."""


class CallerGuard:
    """
    The resources of all callers of a process, and what ends connections.

    :ivar resources: what the connections hold.
    :ivar turns: costly work of the connections.
    :ivar unread: connections whose callers have not read all that was written.
    """

    def __init__(self, limits: ResourceLimits = UNLIMITED) -> None:
        """Start without connections."""
        self.resources = CallerResources(limits)
        self.turns = TurnQueue()
        self.unread: set[Unread] = set()
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def open(self, holder: Holder) -> bool:
        """Return whether a new connection may stay open."""
        now = _now()
        decision = self.resources.open(holder, now)
        for other in decision.shed:
            self._end(other, 'connections', now)
        if not decision.kept:
            self._count('connections', 'new')
        return decision.kept

    def close(self, holder: Holder) -> None:
        """Forget a connection."""
        self.resources.close(holder)

    def resize(
        self, holder: Holder, kind: Kind, size: int, *, optional: bool = False
    ) -> bool:
        """
        Return whether a connection may keep some bytes.

        :param size: all its bytes of this kind.
        :param optional: whether no other one is ended for it.
        """
        if holder.sizes[kind] == size:
            return True
        now = _now()
        decision = self.resources.resize(
            holder, kind, size, now, optional=optional
        )
        for other in decision.shed:
            self._end(other, 'memory', now)
        return decision.kept

    def refuse(self, holder: Holder) -> None:
        """Count a request that is refused for lack of memory."""
        self._count('memory', holder.stage.name.lower())

    def sweep(self) -> None:
        """Account for what was read, and end those that are too slow."""
        for connection in tuple(self.unread):
            connection.update_unsent()
        now = _now()
        for holder in self.resources.find_slow(now):
            self._end(holder, 'rate', now)

    def pop_counts(self) -> dict[tuple[str, str], int]:
        """Return how many were ended since the last call: by why and stage."""
        counts = dict(self._counts)
        self._counts.clear()
        return counts

    def _end(self, holder: Holder, reason: str, now: float) -> None:
        """End the connection of a holder."""
        self._count(reason, holder.stage.name.lower())
        status = _UNAVAILABLE
        if holder.stalled_s(now) >= STALLED_S:
            status = _TIMEOUT
        holder.stage = Stage.CLOSING
        cast(Shed, holder.owner).shed(
            status, _REASONS[reason], at_once=reason == 'connections'
        )

    def _count(self, reason: str, stage: str) -> None:
        """Count a connection that is ended."""
        self._counts[reason, stage] += 1


def _now() -> float:
    """Return the time of the event loop."""
    return asyncio.get_running_loop().time()


__all__ = ('CallerGuard',)
