"""Keeps the retries of the whole fleet within its allowance."""

from typing import Any

from fuchsiafork.gateway.fleet_limits import FleetLimits
from fuchsiafork.gateway.retry_budget import (
    ExtraRetries,
    RetryBudget,
    RetryLimits,
)
from fuchsiafork.kernel import Clock

RETRY_PATH = '/retries'
# Time for which no further retry is asked for after a refusal.
REFUSAL_S = 0.5
_MAX_SERVICE_CHARS = 256


class FleetRetries:
    """
    Decides on each retry.

    A share of a VM's own requests needs no other VM. The fixed allowance of the
    fleet is kept by one VM for each service.
    """

    def __init__(
        self, limits: RetryLimits, fleet: FleetLimits, clock: Clock
    ) -> None:
        """Start without requests."""
        self._fleet = fleet
        self._clock = clock
        self._refused_until: dict[str, float] = {}
        self.set_limits(limits)
        fleet.register(RETRY_PATH, self._handle)

    def set_limits(self, limits: RetryLimits) -> None:
        """Apply limits; what was used before is forgotten."""
        self._budget = RetryBudget(limits)
        self._extra = ExtraRetries(limits)

    def count_request(self, service: str) -> None:
        """Count a request for a service."""
        self._budget.count_request(service, self._clock.now())

    async def try_acquire(self, service: str) -> bool:
        """Return whether a request may be retried."""
        now = self._clock.now()
        if self._budget.try_acquire(service, now):
            return True
        if now < self._refused_until.get(service, now):
            return False
        key = f'retries/{service}'
        granted = await self._fleet.call(key, RETRY_PATH, service) is True
        if not granted:
            self._refused_until[service] = self._clock.now() + REFUSAL_S
        return granted

    async def _handle(self, content: Any) -> bool:
        """
        Decide on a retry of any VM.

        :raises ValueError: if the content is no service.
        """
        if not isinstance(content, str) or len(content) > _MAX_SERVICE_CHARS:
            raise ValueError(f'no service: {content!r:.40}')
        return self._extra.acquire(content, self._clock.now())


__all__ = ('FleetRetries',)
