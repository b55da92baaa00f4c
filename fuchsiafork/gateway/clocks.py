"""Compares the time of day with other VMs until they agree."""

import asyncio
import random
from typing import Any

from fuchsiafork.gateway.money import Money
from fuchsiafork.gateway.peers import Peers
from fuchsiafork.prepaid import FleetTime, TokenAllocator

# Other VMs that are asked.
MOST_ASKED = 4
# Seconds between two tries, at first and at most: VMs that start together
# don't answer yet, and a clock that has jumped stays wrong for seconds.
FIRST_S = 0.1
LONGEST_S = 5.0


class ClockCheck:
    """Asks other VMs for the time."""

    def __init__(
        self,
        fleet_time: FleetTime,
        allocator: TokenAllocator,
        peers: Peers,
        money: Money,
        chance: random.Random,
        log: Any,
    ) -> None:
        """Ask the VMs that the purse knows."""
        self._fleet_time = fleet_time
        self._allocator = allocator
        self._peers = peers
        self._money = money
        self._chance = chance
        self._log = log

    async def run(self) -> None:
        """Ask until the clocks agree, then have the ledger written."""
        pause = FIRST_S
        while not await self._agreed():
            await asyncio.sleep(pause * self._chance.uniform(0.8, 1.2))
            pause = min(LONGEST_S, pause * 2)
        self._log.info('clocks_agree')
        self._money.renew()
        # A system that ends is taken for one that has failed.
        await asyncio.Event().wait()

    async def _agreed(self) -> bool:
        """Return whether the clocks of some VMs agree with this one."""
        others = self._allocator.peer_addresses
        some = self._chance.sample(others, min(MOST_ASKED, len(others)))
        found = await asyncio.gather(*map(self._peers.ask_clock, some))
        known = [apart for apart in found if apart is not None]
        return self._fleet_time.synchronize(known)
