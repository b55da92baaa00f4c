"""Bounded queue: by priority, fair between accounts, then by deadline."""

import bisect
import collections
import dataclasses
from collections.abc import Callable, Iterator

from fuchsiafork.dispatch.state import AttemptKey, QueuedRequest

QUEUE_LIMIT = 256
# Requests of one account that are tried before the next account's turn, so
# that one without a free target does not hold up those behind it.
LOOK_AHEAD = 8


@dataclasses.dataclass(slots=True)
class Lane:
    """The requests of one account, earliest deadline first."""

    deficit: float = 0.0
    rows: list[QueuedRequest] = dataclasses.field(default_factory=list)


class FairQueue:
    """
    Deficit round robin between the accounts of each priority.

    The cost of a request is the time for which it is expected to hold its
    slot, so an account with long requests gets fewer of them through.
    """

    def __init__(self, limit: int = QUEUE_LIMIT) -> None:
        """Start empty; at most ``limit`` requests wait."""
        self._limit = limit
        self._rows: dict[AttemptKey, QueuedRequest] = {}
        self._levels: dict[int, collections.OrderedDict[str, Lane]] = {}

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._rows)

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over the requests that wait."""
        return iter(list(self._rows.values()))

    def get(self, key: AttemptKey) -> QueuedRequest | None:
        """Return the request of a key, if it waits."""
        return self._rows.get(key)

    def ahead_of(self, priority: int, account: str) -> int:
        """Return how many requests are served before a new one at most."""
        count = 0
        for level, lanes in self._levels.items():
            waiting = sum(len(lane.rows) for lane in lanes.values())
            if level < priority:
                count += waiting
            elif level == priority:
                own = len(lanes[account].rows) if account in lanes else 0
                turns = (own + 1) * len(set(lanes) | {account})
                count += min(waiting, turns - 1)
        return count

    def push(self, waiting: QueuedRequest) -> QueuedRequest | None:
        """
        Return the request that has no room, if any, after adding one.

        A full queue drops the last request of the account that waits with
        most of those of the lowest priority, which may be the new one.
        """
        self._add(waiting)
        if len(self._rows) <= self._limit:
            return None
        lanes = self._levels[max(self._levels)]
        fullest = max(lanes.values(), key=lambda lane: len(lane.rows))
        return self.remove(fullest.rows[-1].key)

    def remove(self, key: AttemptKey) -> QueuedRequest | None:
        """Return the request that was taken out, if it waited."""
        waiting = self._rows.pop(key, None)
        if waiting is None:
            return None
        message = waiting.message
        lanes = self._levels[message.priority]
        lane = lanes[message.account]
        lane.rows = [row for row in lane.rows if row.key != key]
        if not lane.rows:
            lanes.pop(message.account)
        if not lanes:
            self._levels.pop(message.priority)
        return waiting

    def pop(
        self,
        fits: Callable[[QueuedRequest], bool],
        cost: Callable[[QueuedRequest], float],
        quantum: float,
    ) -> QueuedRequest | None:
        """
        Return the next request for which ``fits`` is true.

        :param cost: seconds for which a request will hold its slot.
        :param quantum: seconds that an account gets in a turn, at least the
            greatest cost.
        """
        for priority in sorted(self._levels):
            lanes = self._levels[priority]
            for account in tuple(lanes):
                row = next(filter(fits, lanes[account].rows[:LOOK_AHEAD]), None)
                if row is not None:
                    self._charge(lanes, account, cost(row), quantum)
                    return self.remove(row.key)
        return None

    def _add(self, waiting: QueuedRequest) -> None:
        """Insert a request by its deadline."""
        message = waiting.message
        lanes = self._levels.setdefault(
            message.priority,
            collections.OrderedDict(),
        )
        lane = lanes.setdefault(message.account, Lane())
        bisect.insort(lane.rows, waiting, key=lambda row: row.deadline)
        self._rows[waiting.key] = waiting

    def _charge(
        self,
        lanes: collections.OrderedDict[str, Lane],
        account: str,
        cost: float,
        quantum: float,
    ) -> None:
        """Charge a request to its account; its turn ends with its deficit."""
        lane = lanes[account]
        if lane.deficit < cost:
            lane.deficit += quantum
        lane.deficit -= cost
        if lane.deficit < cost:
            lanes.move_to_end(account)
