"""Limits of targets while VMs and the store have troubles."""

import asyncio
import contextlib
import functools
import time
from unittest import mock

from standins.platform_store import StoreFault
from tests.limit_case import LimitCase, allowed

LIMIT = 2.6
# Longest time until an engine without limit gets its share again.
RETURN_S = 3.0


class TestLimitTroubles(LimitCase):
    """Eight VMs and four engines, of which one names a limit."""

    async def limited(self) -> None:
        """Send prompts while the first engine names its limit."""
        self.engine = self.engines.live[0]
        self.name_limit(self.engine, LIMIT)
        await self.run_load(4.0)

    def issuer(self) -> str:
        """Return the VM that issues the permits of the limited engine."""
        lifetime = f'{self.engine.target_id}@0'
        issued: dict[str, float] = {}
        for vm, gateway in self.site.gateways.items():
            limits = gateway._shared.target_limits
            address = limits._fleet.addresses(lifetime)[0]
            if address == gateway._settings.peer_address:
                issued[vm] = 1
        self.assertEqual(len(issued), 1)
        return next(iter(issued))

    def assert_within_limit(self) -> None:
        """Check what the limited engine got."""
        self.assertGreater(len(self.counted(self.engine)), 0)
        most = self.most_in_window(self.engine)
        self.assertLessEqual(most, allowed(LIMIT))

    async def test_issuer_that_dies_is_replaced(self) -> None:
        """Guards against a limit that ends with the VM that keeps it."""
        await self.limited()
        vm = self.issuer()
        self.site.gateways.pop(vm).close()
        self.site.ports.pop(vm)
        died_at = time.monotonic()
        await self.run_load(6.0)
        self.assert_within_limit()
        later = [at for at in self.counted(self.engine) if at > died_at + 2]
        self.assertGreater(len(later), 0)

    async def test_sides_of_a_cut_keep_the_limit_each(self) -> None:
        """Guards against VMs that go on alone when they are cut off."""
        await self.limited()
        with contextlib.ExitStack() as cut:
            for vm, gateway in self.site.gateways.items():
                peers = gateway._shared.peers
                silent = functools.partial(self.is_cut, vm)
                patch = mock.patch.object(peers, 'is_silent', silent)
                cut.enter_context(patch)
            await self.run_load(6.0)
        healed_at = time.monotonic()
        await self.run_load(5.0)
        for side in ('ab', 'c'):
            self.assertGreater(len(self.counted(self.engine, side)), 0)
            most = self.most_in_window(self.engine, side)
            self.assertLessEqual(most, allowed(LIMIT))
        most = self.most_in_window(self.engine, since=healed_at)
        self.assertLessEqual(most, allowed(LIMIT))

    def is_cut(self, vm: str, address: str) -> bool:
        """Return whether a VM can't reach an address across the cut."""
        other = next(
            name
            for name, gateway in self.site.gateways.items()
            if gateway._settings.peer_address == address
        )
        return (vm[0] == 'c') != (other[0] == 'c')

    async def test_limit_holds_while_the_store_is_away(self) -> None:
        """Guards against permits that need the store."""
        self.site.store.fault = StoreFault.BUSY
        await self.limited()
        await self.run_load(5.0)
        self.assert_within_limit()

    async def test_starting_vm_keeps_the_limit(self) -> None:
        """Guards against a VM that takes an eighth of its own."""
        await self.limited()
        for number in range(self.vm_count, self.vm_count + 3):
            await self.add_vm(number)
        await self.run_load(6.0)
        self.assert_within_limit()

    async def test_engine_without_limit_gets_its_share_again(self) -> None:
        """Guards against a limit that is never lifted."""
        await self.limited()
        self.name_limit(self.engine, 0)
        await self.run_load(RETURN_S)
        before = len(self.engines.arrivals)
        await self.run_load(3.0)
        arrivals = self.engines.arrivals[before:]
        own = [
            arrival
            for arrival in arrivals
            if arrival.target_id == self.engine.target_id
        ]
        self.assertGreater(len(own), len(arrivals) / 12)

    async def test_requests_go_to_engines_without_limit(self) -> None:
        """Guards against refusals while others have room."""
        await self.limited()
        self.assertEqual(set(self.statuses(0)), {200})

    async def test_resumed_streams_need_permits(self) -> None:
        """Guards against repeats that come on top of the limit."""
        self.engine = self.engines.live[0]
        for engine in self.engines.live[1:]:
            engine.behaviour.truncate_after = 1
        self.name_limit(self.engine, LIMIT)
        await self.run_load(9.0)
        self.assert_within_limit()

    async def test_refusal_is_immediate_with_a_time_to_return(self) -> None:
        """Guards against requests that wait for a permit."""
        for engine in self.engines.live:
            self.name_limit(engine, LIMIT)
        await self.run_load(5.0)
        await asyncio.sleep(1)
        refused = [
            (took_s, reply)
            for _, took_s, reply in self.replies
            if reply.status == 503
        ]
        self.assertGreater(len(refused), 50)
        for took_s, reply in refused:
            self.assertLess(took_s, 0.5)
            self.assertIn(b'2208', reply.body)
            self.assertGreater(float(reply.headers['retry-after']), 0)
