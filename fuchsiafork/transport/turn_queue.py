"""Spreads costly work of connections over the turns of the event loop."""

import asyncio
import collections
from collections.abc import Callable

# Work in one turn, in units of about one parsed header field (3 us). A single
# piece of work may exceed it.
UNITS_PER_TURN = 1000

# Does a piece of work and returns its units.
Work = Callable[[], int]


class TurnQueue:
    """
    Runs pieces of work in order, some in each turn of the event loop.

    Each connection has at most one piece in the queue, so that they take
    turns, and the requests of others are served in between.
    """

    def __init__(
        self, call_soon: Callable[[Callable[[], None]], object] | None = None
    ) -> None:
        """
        Start without work.

        :param call_soon: calls a function in the next turn; by default that
            of the running event loop.
        """
        self._call_soon = call_soon or _call_soon
        self._waiting: collections.deque[Work] = collections.deque()
        self._scheduled = False

    def __len__(self) -> int:
        """Return the number of pieces that wait."""
        return len(self._waiting)

    def submit(self, work: Work) -> None:
        """Do a piece of work in a later turn."""
        self._waiting.append(work)
        self._schedule()

    def _schedule(self) -> None:
        """Have the work go on in the next turn, if there is any."""
        if self._waiting and not self._scheduled:
            self._scheduled = True
            self._call_soon(self._run)

    def _run(self) -> None:
        """Do the work of one turn."""
        self._scheduled = False
        units = 0
        try:
            while self._waiting and units < UNITS_PER_TURN:
                work = self._waiting.popleft()
                units += max(1, work())
        finally:
            self._schedule()


def _call_soon(function: Callable[[], None]) -> None:
    """Call a function in the next turn of the running event loop."""
    asyncio.get_running_loop().call_soon(function)


__all__ = ('UNITS_PER_TURN', 'TurnQueue', 'Work')
