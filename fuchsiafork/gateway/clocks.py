"""Synchronizes the fleet time with the clocks of other VMs."""

import asyncio
import random
from typing import Any

from fuchsiafork.gateway.peers import Peers
from fuchsiafork.gateway.prepaid_tokens import PrepaidTokens
from fuchsiafork.prepaid import FleetTime, TokenAllocator

# Maximum number of VMs asked per attempt.
MAX_PEERS_ASKED = 4
# Bounds of the exponential delay between attempts. VMs that start at the same
# time don't answer yet, and a clock that has jumped stays wrong for seconds.
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 5.0


class ClockCheck:
    """Queries the clocks of other VMs until they agree with this one."""

    def __init__(
        self,
        fleet_time: FleetTime,
        allocator: TokenAllocator,
        peers: Peers,
        prepaid_tokens: PrepaidTokens,
        rng: random.Random,
        log: Any,
    ) -> None:
        """Query the VMs that the allocator knows from the ledger."""
        self._fleet_time = fleet_time
        self._allocator = allocator
        self._peers = peers
        self._prepaid_tokens = prepaid_tokens
        self._rng = rng
        self._log = log

    async def run(self) -> None:
        """Query until the clocks agree, then request a ledger write."""
        delay = MIN_RETRY_DELAY_S
        while not await self._synchronize():
            await asyncio.sleep(delay * self._rng.uniform(0.8, 1.2))
            delay = min(MAX_RETRY_DELAY_S, delay * 2)
        self._log.info('clocks_agree')
        self._prepaid_tokens.request_write()
        # Never return: a task that ends is treated as failed.
        await asyncio.Event().wait()

    async def _synchronize(self) -> bool:
        """Query a random sample of VMs; return whether their clocks agree."""
        addresses = self._allocator.peer_addresses
        sampled = self._rng.sample(
            addresses, min(MAX_PEERS_ASKED, len(addresses))
        )
        offsets = await asyncio.gather(
            *map(self._peers.measure_clock_offset, sampled)
        )
        known = [offset for offset in offsets if offset is not None]
        return self._fleet_time.synchronize(known)
