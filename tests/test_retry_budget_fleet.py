"""Retries of a fleet whose targets fail."""

import asyncio
import time

from standins.platform_targets import Behaviour, PlatformTarget
from tests.fleet_case import DOMAINS, FleetCase

# Allowance of the whole fleet in a window: a share of the requests and more.
RATIO = 0.2
EXTRA = 56
REQUESTS_PER_VM = 3


class TestSixtySixVms(FleetCase):
    """Sixty-six VMs, each with a few requests."""

    vm_count = 66
    engine_count = 1

    async def asyncSetUp(self) -> None:
        """Start everything, and targets that fail."""
        await super().asyncSetUp()
        self.plain = [
            PlatformTarget(f'p-{number}', 'plain', DOMAINS[number])
            for number in range(3)
        ]
        for target in self.plain:
            target.behaviour = Behaviour(status=500)
            await self.site.add_target(target)
        await asyncio.sleep(0.5)

    def retries(self) -> int:
        """Return the arrivals beyond the first of each request."""
        return sum(target.arrivals for target in self.plain) - len(self.sent_to)

    async def test_retries_stay_within_the_allowance_of_the_fleet(self) -> None:
        """Guards against an allowance that grows with the fleet."""
        started_at = time.monotonic()
        for _ in range(REQUESTS_PER_VM):
            prompts = [self.prompt(vm, '/look/1') for vm in self.site.ports]
            await asyncio.gather(*prompts)
        self.assertLess(time.monotonic() - started_at, 10)
        allowed = RATIO * len(self.sent_to) + EXTRA
        self.assertLessEqual(self.retries(), allowed)
        self.assertGreater(self.retries(), EXTRA / 5)

    async def test_first_failed_request_is_retried(self) -> None:
        """Guards against a share of each VM that is less than one retry."""
        vm = next(iter(self.site.ports))
        await self.prompt(vm, '/look/1')
        self.assertEqual(self.retries(), 1)
