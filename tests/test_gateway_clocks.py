"""Tests of the clock synchronization between VMs."""

import asyncio
import random
from typing import cast
from unittest import mock

from fuchsiafork.gateway.clocks import ClockCheck
from fuchsiafork.gateway.peers import Peers
from fuchsiafork.kernel import SystemClock
from fuchsiafork.prepaid import FleetTime, TokenAllocator
from fuchsiafork.transport.pool import ConnectionPool
from tests.gateway_case import GatewayCase

JUMP_S = 2.0
CHECK_S = 1.0


class TestClockCheck(GatewayCase):
    """Clock checks among gateways on loopback."""

    async def asyncSetUp(self) -> None:
        """Start two more VMs; the test itself acts as a fourth."""
        await super().asyncSetUp()
        await self.site.add_gateway('a-2', 'a')
        await self.site.add_gateway('b-1', 'b')
        self.clock = SystemClock()
        self.time = FleetTime(self.clock)
        self.log = mock.Mock()
        self.prepaid_tokens = mock.Mock()
        self.addresses = [
            gateway._settings.peer_address
            for gateway in self.site.gateways.values()
        ]

    async def check(self) -> None:
        """Run the clock check for a limited time."""
        allocator = mock.Mock(spec=TokenAllocator)
        allocator.peer_addresses = self.addresses
        pool = ConnectionPool(self.clock)
        peers = Peers(pool, self.clock, self.log)
        rng = random.Random(1)
        check = ClockCheck(
            self.time,
            cast(TokenAllocator, allocator),
            peers,
            self.prepaid_tokens,
            rng,
            self.log,
        )
        task = asyncio.create_task(check.run())
        await asyncio.sleep(CHECK_S)
        task.cancel()

    async def test_agreeing_clocks_trigger_a_ledger_write(self) -> None:
        """Guards against a successor that never gets the fleet time."""
        await self.check()
        self.assertTrue(self.time.synchronized)
        self.prepaid_tokens.request_write.assert_called_once_with()
        unix_time = self.time.unix_time(self.clock.now())
        assert unix_time is not None
        self.assertAlmostEqual(unix_time, self.clock.wall(), places=1)

    async def test_clock_that_has_jumped_is_rejected(self) -> None:
        """Guards against trusting a clock that other VMs contradict."""
        ahead = mock.Mock(wraps=self.clock)
        ahead.wall = lambda: SystemClock().wall() + JUMP_S
        self.clock = cast(SystemClock, ahead)
        self.time = FleetTime(ahead)
        await self.check()
        self.assertFalse(self.time.synchronized)
        self.prepaid_tokens.request_write.assert_not_called()

    async def test_one_other_vm_is_not_enough(self) -> None:
        """Guards against a fleet time based on a single other VM."""
        self.addresses = self.addresses[:1]
        await self.check()
        self.assertFalse(self.time.synchronized)
