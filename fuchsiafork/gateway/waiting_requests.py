"""The requests that wait for places of one service."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

from fuchsiafork.admission import (
    Changes,
    PoolLoad,
    PoolQueue,
    Refusal,
    WaitingRequest,
)
from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.gateway.service_pool import ServicePool
from fuchsiafork.kernel.errors import FuchsiaforkError, PoolOverloadedError

# Time between two looks at places that became free at other VMs, and at what
# ends a wait.
TICK_S = 0.1


class Place:
    """
    The place of one request, from when it gets one until it ends.

    :ivar held: whether the request has it now.
    """

    def __init__(self, pool: ServicePool, on_end: Callable[[], None]) -> None:
        """
        Start without the place.

        :param on_end: called when the place becomes free.
        """
        self.held = False
        self._pool = pool
        self._on_end = on_end
        self._sent = False

    def hold(self) -> None:
        """Take the place."""
        self.held = True
        self._pool.hold()

    def start_sending(self) -> None:
        """Record that the request is counted at its target from now on."""
        if self.held and not self._sent:
            self._sent = True
            self._pool.start_sending()

    def release(self) -> None:
        """Free the place; further calls have no effect."""
        if self.held:
            self.held = False
            self._pool.release(sent=self._sent)
            self._on_end()


@dataclasses.dataclass(frozen=True, slots=True)
class Applicant:
    """
    A request that asks for a place.

    :ivar check: raises the error that ends the wait, if anything does.
    """

    request: WaitingRequest
    request_id: str
    service: str
    check: Callable[[], None]


@dataclasses.dataclass(slots=True)
class _Wait:
    """
    The wait of one request.

    :ivar error: why it gets no place, None if it does.
    """

    applicant: Applicant
    place: Place
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    error: FuchsiaforkError | None = None

    def end(self, error: FuchsiaforkError | None = None) -> None:
        """End the wait, with the place if there is no error."""
        if error is None:
            self.place.hold()
        self.error = error
        self.ended.set()


class WaitingRequests:
    """Lets requests wait until the queue gives them places or refuses them."""

    def __init__(
        self,
        service: str,
        queue: PoolQueue,
        pool: ServicePool,
        fleet_known: Callable[[], bool],
        metrics: GatewayMetrics,
        log: Any,
    ) -> None:
        """
        Start without requests.

        :param fleet_known: returns whether the load of other VMs is known.
        """
        self._service = service
        self._queue = queue
        self._pool = pool
        self._fleet_known = fleet_known
        self._metrics = metrics
        self._log = log
        self._waits: dict[WaitingRequest, _Wait] = {}
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._queue)

    async def acquire(self, applicant: Applicant) -> Place:
        """
        Return a place, after a wait if need be.

        :raises PoolOverloadedError: if the request gets none in time.
        :raises FuchsiaforkError: if ``Applicant.check`` does.
        """
        place = Place(self._pool, self._on_end)
        if not self._fleet_known():
            place.hold()
            return place
        wait = self._submit(applicant, place)
        if not wait.ended.is_set():
            await self._wait(wait)
        if wait.error is not None:
            raise wait.error
        return place

    def end_all(self, make_error: Callable[[], FuchsiaforkError]) -> None:
        """End all waits with an error."""
        for request, wait in tuple(self._waits.items()):
            self._queue.withdraw(request)
            self._end(wait, make_error())

    def _submit(self, applicant: Applicant, place: Place) -> _Wait:
        """Decide on a request; return its wait, which may be over."""
        wait = _Wait(applicant, place)
        self._waits[applicant.request] = wait
        self._apply(self._queue.submit(applicant.request, self._pool.load()))
        return wait

    async def _wait(self, wait: _Wait) -> None:
        """Wait until a request has a place or an error."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        pool = self._pool.load()
        ahead = len(self._queue) - 1
        if self._timer is None:
            self._timer = loop.call_later(TICK_S, self._tick)
        try:
            await wait.ended.wait()
        except asyncio.CancelledError:
            self._withdraw(wait)
            raise
        finally:
            self._record(wait, pool, ahead, loop.time() - started_at)

    def _withdraw(self, wait: _Wait) -> None:
        """Remove a request whose caller has left, with its place if any."""
        self._waits.pop(wait.applicant.request, None)
        self._queue.withdraw(wait.applicant.request)
        self._update_depth()
        wait.place.release()

    def _on_end(self) -> None:
        """Give the place that became free to a request that waits."""
        self._queue.record_end()
        if self._waits:
            self._advance()

    def _tick(self) -> None:
        """End waits that have no cause any more, and go on with the others."""
        self._timer = None
        for request, wait in tuple(self._waits.items()):
            error = _error_of(wait.applicant.check)
            if error is not None:
                self._queue.withdraw(request)
                self._end(wait, error)
        self._advance()
        if self._waits:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TICK_S, self._tick)

    def _advance(self) -> None:
        """Start the requests that have places now, and refuse others."""
        if self._fleet_known():
            self._apply(self._queue.advance(self._pool.load()))
        else:
            self._apply(self._queue.release())

    def _apply(self, changes: Changes) -> None:
        """End the waits on which the queue has decided."""
        for request in changes.started:
            self._end(self._waits[request])
        for refused, refusal in changes.refused:
            self._metrics.overload_refusals.labels(refusal.reason.value).inc()
            self._end(self._waits[refused], self._overloaded(refusal))
        self._update_depth()

    def _end(self, wait: _Wait, error: FuchsiaforkError | None = None) -> None:
        """End a wait."""
        self._waits.pop(wait.applicant.request, None)
        self._update_depth()
        wait.end(error)

    def _update_depth(self) -> None:
        """Update the number of requests that wait."""
        depth = self._metrics.waiting_requests.labels(self._service)
        depth.set(len(self._queue))

    def _overloaded(self, refusal: Refusal) -> PoolOverloadedError:
        """Return the error for a request that gets no place."""
        pool = self._pool.load()
        over = ', account over its share' if refusal.over_share else ''
        return PoolOverloadedError(
            f'{refusal.reason.value}: {pool.in_flight} of {pool.places} places '
            f'of service {self._service!r} taken, {pool.own} of '
            f'{pool.own_places} by this VM, view {pool.age_s:.2f} s old; '
            f'{refusal.ahead} of {refusal.waiting} waiting requests first, '
            f'{refusal.expected_wait_s:.2f} of {refusal.limit_s:.2f} s{over}',
            retry_after=refusal.retry_after_s,
        )

    def _record(
        self, wait: _Wait, pool: PoolLoad, ahead: int, seconds: float
    ) -> None:
        """Log and count a wait that is over."""
        outcome = 'placed' if wait.place.held else 'left'
        if wait.error is not None:
            outcome = str(wait.error.code)
        self._metrics.place_waits.labels(outcome).observe(seconds)
        request = wait.applicant.request
        self._log.info(
            'request_waited',
            request_id=wait.applicant.request_id,
            service=self._service,
            account=request.account,
            priority=request.priority,
            units=round(request.units),
            outcome=outcome,
            seconds=round(seconds, 3),
            waiting=ahead,
            ends_per_s=round(self._queue.ends_per_s, 2),
            places=pool.places,
            in_flight=pool.in_flight,
            own=pool.own,
            own_places=pool.own_places,
            view_age_s=round(pool.age_s, 2),
        )


def _error_of(check: Callable[[], None]) -> FuchsiaforkError | None:
    """Return the error that a check raises, None if it raises none."""
    try:
        check()
    except FuchsiaforkError as error:
        return error
    return None


__all__ = ('Applicant', 'Place', 'WaitingRequests')
