"""Test case with many gateways, and targets that announce their state."""

import asyncio
import unittest

from fuchsiafork.observability.logs import configure_logs
from standins.announcing_fleet import AnnouncingFleet
from tests.gateway_case import KEY, make_fleet_configuration


class AnnouncementCase(unittest.IsolatedAsyncioTestCase):
    """Starts gateways and targets in three failure domains."""

    vm_count = 6
    target_count = 8
    path = '/look/1'

    async def asyncSetUp(self) -> None:
        """Start everything and wait until the gateways are ready."""
        configure_logs('critical')
        asyncio.get_running_loop().set_debug(False)
        self.fleet = AnnouncingFleet(self.path, KEY, seed=1)
        await self.fleet.start(
            make_fleet_configuration(), self.vm_count, self.target_count
        )

    async def asyncTearDown(self) -> None:
        """Stop everything."""
        await self.fleet.stop()
