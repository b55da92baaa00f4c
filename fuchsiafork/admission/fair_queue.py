"""Queue by priority, then by fair shares of the work between accounts."""

import bisect
import heapq
import operator

from fuchsiafork.admission.account_shares import AccountShares
from fuchsiafork.admission.estimates import Position
from fuchsiafork.admission.floors import Floors, ServedShares
from fuchsiafork.admission.requests import WaitingRequest
from fuchsiafork.kernel import Clock

# Least share of the places for each lower priority, unless it would be served
# more often than a more urgent one.
PRIORITY_FLOOR = 1 / 4
# The same for accounts over their share, all together.
OVER_FLOOR = 1 / 16
# Part of a full queue that a level may have before it gives way.
PROTECTED_PART = 1 / 8
# Tags that are kept; those left out count as the lowest.
MAX_TAGS = 4096
# Least work of a request, so that none is free.
MIN_UNITS = 1.0

_wait_until = operator.attrgetter('wait_until')

# Priority and account.
Flow = tuple[int, str]
# Whether the accounts are over their share, and priority.
Level = tuple[bool, int]


class FairQueue:
    """
    Orders requests by priority, fair share of the work and deadline.

    Accounts over their share come after all others. Within a priority, accounts
    are served by start-time fair queueing: each has a start tag, to which the
    work that it got is added, divided by its weight; the lowest tag is next.
    """

    def __init__(self, shares: AccountShares, clock: Clock) -> None:
        """Start empty."""
        self._shares = shares
        self._served = ServedShares(clock)
        # Requests in order of the time until which they may wait.
        self._flows: dict[Flow, list[WaitingRequest]] = {}
        self._tags: dict[Flow, float] = {}
        # Start tag of the request that was served last, by priority.
        self._virtual: dict[int, float] = {}
        self._band_floor = Floors(OVER_FLOOR)
        self._priority_floors = {
            False: Floors(PRIORITY_FLOOR),
            True: Floors(PRIORITY_FLOOR),
        }
        self._count = 0
        self._body_bytes = 0

    def __len__(self) -> int:
        """Return the number of requests."""
        return self._count

    @property
    def body_bytes(self) -> int:
        """Bytes of the bodies of all requests."""
        return self._body_bytes

    def requests(self) -> list[WaitingRequest]:
        """Return all requests."""
        return [request for flow in self._flows.values() for request in flow]

    def record_asked(self, request: WaitingRequest) -> None:
        """Record that a request asks for a place, with or without a wait."""
        if not self._shares.is_over(request.account):
            self._served.record_asked(request.priority)

    def record_served(self, request: WaitingRequest) -> None:
        """Record that a request got a place, with or without a wait."""
        if not self._shares.is_over(request.account):
            self._served.record_served(request.priority)

    def push(self, request: WaitingRequest) -> None:
        """Add a request."""
        flow = _flow(request)
        if flow not in self._flows:
            self._flows[flow] = []
            self._tags[flow] = self._start_tag(flow)
        bisect.insort(self._flows[flow], request, key=_wait_until)
        self._count += 1
        self._body_bytes += request.body_bytes

    def remove(self, request: WaitingRequest) -> bool:
        """Remove a request; return whether it was there."""
        flow = _flow(request)
        requests = self._flows.get(flow, [])
        if request not in requests:
            return False
        requests.remove(request)
        if not requests:
            self._flows.pop(flow)
        self._count -= 1
        self._body_bytes -= request.body_bytes
        return True

    def pop(self, *, over: bool = True) -> WaitingRequest | None:
        """
        Remove and return the request that is served next, None if none is.

        :param over: whether accounts over their share get places beyond their
            floor.
        """
        levels = self._levels()
        if not levels or (not over and all(found for found, _ in levels)):
            return None
        self._forfeit(levels)
        level = self._choose_level(levels)
        flow = min(levels[level], key=self._order)
        request = self._flows[flow][0]
        is_over, priority = level
        if not is_over:
            self._virtual[priority] = self._tags[flow]
        self._tags[flow] += self._charge(request)
        self.remove(request)
        self._forget_tags()
        return request

    def position(self, request: WaitingRequest) -> Position:
        """Return the position that a request has, or would have."""
        level = self._level(_flow(request))
        levels = self._levels()
        before = sum(
            len(self._flows[flow])
            for other, flows in levels.items()
            if other < level
            for flow in flows
        )
        beside = self._ahead_in_level(request, levels.get(level, []))
        over, _ = level
        floor = PRIORITY_FLOOR * (OVER_FLOOR if over else 1)
        return Position(before + beside, beside, floor)

    def worst(self) -> WaitingRequest:
        """
        Return the request that gives way when there are too many.

        It is of the last level that has more than its protected part, there of
        the account with the most requests, and there the one that came last.
        """
        levels = self._levels()
        counts = {
            level: sum(len(self._flows[flow]) for flow in flows)
            for level, flows in levels.items()
        }
        protected = PROTECTED_PART * self._count
        exposed = [level for level in levels if counts[level] > protected]
        last = max(exposed or [max(counts, key=counts.__getitem__)])
        flow = max(levels[last], key=lambda found: len(self._flows[found]))
        return self._flows[flow][-1]

    def largest(self) -> WaitingRequest:
        """
        Return the request that gives way when bodies take too many bytes.

        It has the largest body of the account with the most bytes, of equal
        ones the one that came last.
        """
        sizes: dict[str, int] = {}
        for request in self.requests():
            size = sizes.get(request.account, 0) + request.body_bytes
            sizes[request.account] = size
        account = max(sizes, key=sizes.__getitem__)
        return max(
            (found for found in self.requests() if found.account == account),
            key=operator.attrgetter('body_bytes', 'wait_until'),
        )

    def is_over(self, request: WaitingRequest) -> bool:
        """Return whether a request's account is over its share."""
        return self._shares.is_over(request.account)

    def _level(self, flow: Flow) -> Level:
        """Return the level of a flow at present."""
        priority, account = flow
        return self._shares.is_over(account), priority

    def _levels(self) -> dict[Level, list[Flow]]:
        """Return the flows of each level."""
        over = {
            account: self._shares.is_over(account)
            for account in {account for _, account in self._flows}
        }
        levels: dict[Level, list[Flow]] = {}
        for flow in self._flows:
            priority, account = flow
            levels.setdefault((over[account], priority), []).append(flow)
        return levels

    def _choose_level(self, levels: dict[Level, list[Flow]]) -> Level:
        """Return the level that gets a place."""
        bands = sorted({over for over, _ in levels})
        over = bool(self._band_floor.choose(bands, lambda band: True))
        priorities = sorted(
            priority for found, priority in levels if found == over
        )
        priority = self._priority_floors[over].choose(
            priorities,
            lambda other: over or self._served.is_behind(other),
        )
        return over, priority

    def _forfeit(self, levels: dict[Level, list[Flow]]) -> None:
        """
        Let accounts over their share catch up with the tags of the others.

        What they didn't get meanwhile is not due to them later.
        """
        for (over, _), flows in levels.items():
            if not over:
                continue
            for flow in flows:
                self._tags[flow] = self._start_tag(flow)

    def _order(self, flow: Flow) -> tuple[float, float]:
        """Return by what the flows of a level are ordered."""
        return self._tags[flow], self._flows[flow][0].wait_until

    def _start_tag(self, flow: Flow) -> float:
        """Return the start tag of a flow that begins to wait."""
        priority, _ = flow
        virtual = self._virtual.get(priority, 0.0)
        return max(self._tags.get(flow, 0.0), virtual)

    def _charge(self, request: WaitingRequest) -> float:
        """Return what a request adds to the tag of its account."""
        units = max(MIN_UNITS, request.units)
        return units / self._shares.weight(request.account)

    def _ahead_in_level(
        self, request: WaitingRequest, flows: list[Flow]
    ) -> int:
        """Return how many requests of its level are served before one."""
        own = _flow(request)
        waiting = self._flows.get(own, [])
        before = bisect.bisect_right(
            waiting, request.wait_until, key=_wait_until
        )
        if request in waiting:
            before = waiting.index(request)
        tag = self._start_tag(own) + sum(map(self._charge, waiting[:before]))
        others = (flow for flow in flows if flow != own)
        return before + sum(self._count_below(flow, tag) for flow in others)

    def _count_below(self, flow: Flow, limit: float) -> int:
        """Return how many requests of a flow have a tag below a limit."""
        tag = self._tags[flow]
        for count, request in enumerate(self._flows[flow]):
            if tag >= limit:
                return count
            tag += self._charge(request)
        return len(self._flows[flow])

    def _forget_tags(self) -> None:
        """Drop the lowest tags of accounts that don't wait."""
        if len(self._tags) <= MAX_TAGS:
            return
        largest = heapq.nlargest(
            MAX_TAGS // 2, self._tags.items(), key=operator.itemgetter(1)
        )
        waiting = {flow: self._tags[flow] for flow in self._flows}
        self._tags = {**dict(largest), **waiting}


def _flow(request: WaitingRequest) -> Flow:
    """Return the flow that a request belongs to."""
    return request.priority, request.account


__all__ = ('OVER_FLOOR', 'PRIORITY_FLOOR', 'FairQueue')
