"""Decides which requests at one service pass, wait or are refused."""

from collections.abc import Callable

from fuchsiafork.admission.account_shares import AccountShares
from fuchsiafork.admission.estimates import (
    EndRate,
    Position,
    expected_wait_s,
    retry_after_s,
)
from fuchsiafork.admission.fair_queue import FairQueue
from fuchsiafork.admission.places import PlaceRule, PoolLoad
from fuchsiafork.admission.requests import (
    Changes,
    Reason,
    Refusal,
    WaitingRequest,
)
from fuchsiafork.kernel import Clock

# Requests that wait at a VM for one service.
MAX_WAITING = 256


class PoolQueue:
    """
    The requests of this VM that wait for places of one service.

    Each method returns what it decided, also on requests that waited before.
    """

    def __init__(
        self,
        shares: AccountShares,
        max_body_bytes: Callable[[], int],
        clock: Clock,
    ) -> None:
        """
        Start without requests.

        :param max_body_bytes: returns the bound on the bodies that wait.
        """
        self._shares = shares
        self._max_body_bytes = max_body_bytes
        self._clock = clock
        self._queue = FairQueue(shares, clock)
        self._rule = PlaceRule()
        self._ends = EndRate(clock)

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._queue)

    @property
    def body_bytes(self) -> int:
        """Bytes of the bodies of the requests that wait."""
        return self._queue.body_bytes

    @property
    def ends_per_s(self) -> float:
        """Rate at which requests of this VM end, 0 if it is unknown."""
        return self._ends.per_s

    def submit(self, request: WaitingRequest, pool: PoolLoad) -> Changes:
        """Decide on a new request."""
        self._shares.update()
        self._queue.record_asked(request)
        over = self._queue.is_over(request)
        if not self._queue and self._rule.has_place(
            pool, waiting=False, over=over
        ):
            self._queue.record_served(request)
            return Changes(started=[request])
        changes = self.advance(pool)
        for _ in changes.started:
            pool = pool.after_start()
        self._enqueue(request, pool, changes)
        return changes

    def advance(self, pool: PoolLoad) -> Changes:
        """Refuse requests whose wait is over, and start those with places."""
        self._shares.update()
        changes = Changes()
        self._refuse_expired(changes)
        self._start(pool, changes)
        return changes

    def release(self) -> Changes:
        """Start all requests, as the load of the pool is unknown."""
        started = self._queue.requests()
        for request in started:
            self._queue.remove(request)
            self._queue.record_served(request)
        return Changes(started=started)

    def withdraw(self, request: WaitingRequest) -> None:
        """Remove a request that waits no more, if it does."""
        self._queue.remove(request)

    def record_end(self) -> None:
        """Record that a request of this VM has ended."""
        self._ends.record()

    def _enqueue(
        self, request: WaitingRequest, pool: PoolLoad, changes: Changes
    ) -> None:
        """Queue a new request, or refuse it if it can't be served in time."""
        position = self._queue.position(request)
        wait_s = expected_wait_s(position, self._ends.per_s)
        limit_s = request.wait_until - self._clock.now()
        too_large = request.body_bytes > self._max_body_bytes()
        if too_large or wait_s > limit_s:
            reason = Reason.QUEUE_FULL if too_large else Reason.EXPECTED_WAIT
            refusal = self._refusal(request, reason, position)
            changes.refused.append((request, refusal))
            return
        self._queue.push(request)
        self._start(pool, changes)
        self._enforce_bounds(changes)

    def _start(self, pool: PoolLoad, changes: Changes) -> None:
        """Start requests while there are places."""
        while self._rule.has_place(pool, waiting=True):
            over = self._rule.has_place(pool, waiting=True, over=True)
            request = self._queue.pop(over=over)
            if request is None:
                return
            self._queue.record_served(request)
            changes.started.append(request)
            pool = pool.after_start()

    def _refuse_expired(self, changes: Changes) -> None:
        """Refuse the requests that may wait no longer."""
        now = self._clock.now()
        for request in self._queue.requests():
            if request.wait_until <= now:
                self._refuse(request, Reason.WAIT_OVER, changes)

    def _enforce_bounds(self, changes: Changes) -> None:
        """Refuse requests until the others keep the bounds."""
        while len(self._queue) > MAX_WAITING:
            self._refuse(self._queue.worst(), Reason.QUEUE_FULL, changes)
        while self._queue.body_bytes > self._max_body_bytes():
            self._refuse(self._queue.largest(), Reason.QUEUE_FULL, changes)

    def _refuse(
        self, request: WaitingRequest, reason: Reason, changes: Changes
    ) -> None:
        """Remove a request that waits, and refuse it."""
        position = self._queue.position(request)
        self._queue.remove(request)
        refusal = self._refusal(request, reason, position)
        changes.refused.append((request, refusal))

    def _refusal(
        self, request: WaitingRequest, reason: Reason, position: Position
    ) -> Refusal:
        """Return why a request is refused."""
        rate = self._ends.per_s
        waiting = len(self._queue)
        return Refusal(
            reason,
            waiting,
            position.ahead,
            expected_wait_s(position, rate),
            request.wait_until - self._clock.now(),
            self._queue.is_over(request),
            retry_after_s(waiting, rate, request.priority),
        )


__all__ = ('MAX_WAITING', 'PoolQueue')
