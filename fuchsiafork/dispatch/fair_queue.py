"""Bounded queue by priority, with fair sharing between client accounts."""

import bisect
import collections
import dataclasses
from collections.abc import Callable, Iterator

from fuchsiafork.dispatch.state import AttemptKey, QueuedRequest

QUEUE_LIMIT = 256
# Requests of one client account that are tried before the next account's turn,
# so that a request without a free target does not block those behind it.
LOOK_AHEAD = 8


@dataclasses.dataclass(slots=True)
class AccountQueue:
    """
    The requests of one client account, earliest deadline first.

    :ivar deficit: seconds of slot time left in the account's turn.
    """

    deficit: float = 0.0
    requests: list[QueuedRequest] = dataclasses.field(default_factory=list)


class FairQueue:
    """
    Deficit round robin between the client accounts of each priority.

    The cost of a request is the time for which it is expected to hold its
    slot, so an account with long requests has fewer of them served.
    """

    def __init__(self, limit: int = QUEUE_LIMIT) -> None:
        """Start empty; at most ``limit`` requests are queued."""
        self._limit = limit
        self._requests: dict[AttemptKey, QueuedRequest] = {}
        self._by_priority: dict[
            int, collections.OrderedDict[str, AccountQueue]
        ] = {}

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._requests)

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over the queued requests."""
        return iter(list(self._requests.values()))

    def get(self, key: AttemptKey) -> QueuedRequest | None:
        """Return the request of a key, if it is queued."""
        return self._requests.get(key)

    def ahead_of(self, priority: int, account: str) -> int:
        """Return how many requests at most are served before a new one."""
        count = 0
        for queue_priority, account_queues in self._by_priority.items():
            queued = sum(
                len(account_queue.requests)
                for account_queue in account_queues.values()
            )
            if queue_priority < priority:
                count += queued
            elif queue_priority == priority:
                own = (
                    len(account_queues[account].requests)
                    if account in account_queues
                    else 0
                )
                turns = (own + 1) * len(set(account_queues) | {account})
                count += min(queued, turns - 1)
        return count

    def push(self, queued: QueuedRequest) -> QueuedRequest | None:
        """
        Add a request; return the one dropped for lack of room, if any.

        A full queue drops a request of the lowest priority: the last one of
        the client account with the most requests, which may be the new one.
        """
        self._add(queued)
        if len(self._requests) <= self._limit:
            return None
        account_queues = self._by_priority[max(self._by_priority)]
        fullest = max(
            account_queues.values(),
            key=lambda account_queue: len(account_queue.requests),
        )
        return self.remove(fullest.requests[-1].key)

    def remove(self, key: AttemptKey) -> QueuedRequest | None:
        """Remove a request and return it, if it is queued."""
        queued = self._requests.pop(key, None)
        if queued is None:
            return None
        message = queued.message
        account_queues = self._by_priority[message.priority]
        account_queue = account_queues[message.account]
        account_queue.requests = [
            request for request in account_queue.requests if request.key != key
        ]
        if not account_queue.requests:
            account_queues.pop(message.account)
        if not account_queues:
            self._by_priority.pop(message.priority)
        return queued

    def pop(
        self,
        fits: Callable[[QueuedRequest], bool],
        cost: Callable[[QueuedRequest], float],
        quantum: float,
    ) -> QueuedRequest | None:
        """
        Remove and return the next request for which ``fits`` is true.

        :param cost: expected seconds for which a request holds its slot.
        :param quantum: seconds added to an account's deficit in a turn, at
            least the greatest cost.
        """
        for priority in sorted(self._by_priority):
            account_queues = self._by_priority[priority]
            for account in tuple(account_queues):
                request = next(
                    filter(fits, account_queues[account].requests[:LOOK_AHEAD]),
                    None,
                )
                if request is not None:
                    self._charge(
                        account_queues, account, cost(request), quantum
                    )
                    return self.remove(request.key)
        return None

    def _add(self, queued: QueuedRequest) -> None:
        """Insert a request in the order of deadlines."""
        message = queued.message
        account_queues = self._by_priority.setdefault(
            message.priority,
            collections.OrderedDict(),
        )
        account_queue = account_queues.setdefault(
            message.account, AccountQueue()
        )
        bisect.insort(
            account_queue.requests, queued, key=lambda request: request.deadline
        )
        self._requests[queued.key] = queued

    def _charge(
        self,
        account_queues: collections.OrderedDict[str, AccountQueue],
        account: str,
        cost: float,
        quantum: float,
    ) -> None:
        """Charge a request to its account; a used-up deficit ends the turn."""
        account_queue = account_queues[account]
        if account_queue.deficit < cost:
            account_queue.deficit += quantum
        account_queue.deficit -= cost
        if account_queue.deficit < cost:
            account_queues.move_to_end(account)
