"""Lets requests to engines wait while the places of the fleet are taken."""

from typing import Any

from fuchsiafork.admission import AccountShares, PoolQueue
from fuchsiafork.balancing import AccountUse, LoadView
from fuchsiafork.gateway.memory_bounds import MemoryBounds
from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.gateway.service_pool import ServicePool
from fuchsiafork.gateway.target_gate import TargetGate
from fuchsiafork.gateway.waiting_requests import (
    Applicant,
    Place,
    WaitingRequests,
)
from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.errors import StoppingError

# Part of the memory for callers that bodies of waiting requests may take, so
# that others can be read meanwhile. Each body counts twice in that memory.
WAITING_PART = 0.25


class RequestAdmission:
    """Admits requests to the services of engines."""

    def __init__(
        self,
        gate: TargetGate,
        load_view: LoadView,
        account_use: AccountUse,
        memory: MemoryBounds,
        clock: Clock,
        metrics: GatewayMetrics,
        log: Any,
    ) -> None:
        """Start without requests."""
        self._gate = gate
        self._load_view = load_view
        self._shares = AccountShares(account_use, clock)
        self._memory = memory
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._stopping = False
        self._services: dict[str, WaitingRequests] = {}

    async def acquire(self, applicant: Applicant) -> Place:
        """
        Return a place for a request, after a wait if need be.

        :raises PoolOverloadedError: if it gets none in time.
        :raises StoppingError: if the process stops meanwhile.
        :raises FuchsiaforkError: if ``Applicant.check`` does.
        """
        if self._stopping:
            raise _stopping()
        service = applicant.service
        waiting = self._services.get(service)
        if waiting is None:
            waiting = self._make_waiting(service)
            self._services[service] = waiting
        return await waiting.acquire(applicant)

    def stop(self) -> None:
        """End all waits, and admit no request any more."""
        self._stopping = True
        for waiting in self._services.values():
            waiting.end_all(_stopping)

    def waiting(self) -> dict[str, int]:
        """Return the number of requests that wait, by service."""
        return {name: len(found) for name, found in self._services.items()}

    def _make_waiting(self, service: str) -> WaitingRequests:
        """Return a service without requests."""
        return WaitingRequests(
            service,
            PoolQueue(self._shares, self._max_body_bytes, self._clock),
            ServicePool(
                service, self._gate, self._load_view, self._shares, self._clock
            ),
            lambda: self._load_view.fleet_known,
            self._metrics,
            self._log,
        )

    def _max_body_bytes(self) -> int:
        """Return the bound on the bodies that wait for one service."""
        limits = self._memory.guard.resources.limits
        return int(WAITING_PART * limits.memory_bytes)


def _stopping() -> StoppingError:
    """Return the error for a request that waits while the process stops."""
    return StoppingError('the process is stopping', retry_after=0)


__all__ = ('RequestAdmission',)
