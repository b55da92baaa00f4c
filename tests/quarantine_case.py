"""Test case with many gateways and engines that end on a prompt part."""

import asyncio
import itertools
import random
import time
import unittest

from fuchsiafork.observability.logs import configure_logs
from standins.engine_fleet import Arrival, EngineFleet, prompt_headers
from standins.platform_caller import Call, Reply, call_once
from standins.platform_site import PlatformSite
from tests.gateway_case import KEY, make_configuration

FATAL_PART = 'fatal'
FIRST_PART = 'first'
DOMAINS = 'abc'
# Ends after which a part must reach no more targets, once this time passed.
MAX_ENDS = 5
STABLE_S = 3.0
# Requests with such a part that may still arrive then.
MAX_LATE_ARRIVALS = 3
SUBJECTS = 20
# Code of a refusal because of a part in quarantine.
QUARANTINED = b'2207'
PATHS = ('/ask/1', '/talk/1')
SOUND_PER_S = 40.0
FATAL_PER_S = 4.0


class QuarantineCase(unittest.IsolatedAsyncioTestCase):
    """Starts gateways in three failure domains and twelve engines."""

    vm_count = 8

    async def asyncSetUp(self) -> None:
        """Start everything and wait until the gateways are ready."""
        configure_logs('critical')
        # The debug mode of the test case makes each call several times slower.
        asyncio.get_running_loop().set_debug(False)
        self.rng = random.Random(1)
        self.site = PlatformSite()
        configuration = make_configuration()
        configuration['tenants'] = [
            {'name': 'acme', 'apiKeys': [KEY], 'prepaid': 100_000_000}
        ]
        self.engines = EngineFleet(self.site, DOMAINS, 12)
        await self.site.start(configuration, list(self.engines.live))
        self._ids = itertools.count()
        self._prompts: set[asyncio.Task[None]] = set()
        self.sound: list[tuple[float, int]] = []
        # Sound prompts refused because of a part in quarantine.
        self.refused = 0
        for number in range(self.vm_count):
            await self.add_vm(number)

    async def asyncTearDown(self) -> None:
        """Stop everything."""
        self.engines.stop()
        for task in self._prompts:
            task.cancel()
        await self.site.stop()

    async def add_vm(self, number: int, store_address: str = '') -> str:
        """Start a gateway and return the name of its VM."""
        domain = DOMAINS[number % len(DOMAINS)]
        vm = f'{domain}-{number}'
        await self.site.add_gateway(vm, domain, store_address)
        return vm

    async def prompt(self, vm: str, path: str, *parts: str) -> Reply:
        """Send a prompt with shared parts and a part of its own."""
        number = next(self._ids)
        call = Call(
            path,
            key=KEY,
            request_id=f'r-{number}',
            deadline_ms='3000',
            extra_headers=prompt_headers(*parts, f'own-{number}'),
        )
        return await call_once(self.site.ports[vm], call)

    async def run_load(
        self,
        seconds: float,
        fatal_per_s: float = FATAL_PER_S,
        vms: tuple[str, ...] = (),
    ) -> None:
        """Send sound prompts and fatal ones to random VMs."""
        ends_at = time.monotonic() + seconds
        fatal_share = fatal_per_s / (SOUND_PER_S + fatal_per_s)
        while time.monotonic() < ends_at:
            await asyncio.sleep(1 / (SOUND_PER_S + fatal_per_s))
            fatal = self.rng.random() < fatal_share
            vm = self.rng.choice(vms or tuple(self.site.ports))
            task = asyncio.create_task(self._send(vm, fatal=fatal))
            self._prompts.add(task)
            task.add_done_callback(self._prompts.discard)

    def late_arrivals(self, after: float | None = None) -> list[Arrival]:
        """Return the arrivals of the part that are too late."""
        if after is None:
            ends = self.engines.fatal_ends
            if len(ends) < MAX_ENDS:
                return []
            after = ends[MAX_ENDS - 1].at + STABLE_S
        return [
            arrival
            for arrival in self.engines.arrivals
            if FATAL_PART in arrival.parts[:-1] and arrival.at > after
        ]

    def sound_share(self, since: float) -> float:
        """Return the share of sound prompts served since a time."""
        statuses = [status for at, status in self.sound if at >= since]
        return statuses.count(200) / len(statuses)

    async def _send(self, vm: str, *, fatal: bool) -> None:
        """Send one prompt of the load."""
        path = self.rng.choice(PATHS)
        subject = f'subject-{self.rng.randrange(SUBJECTS)}'
        if fatal:
            await self.prompt(vm, path, FIRST_PART, FATAL_PART)
            return
        sent_at = time.monotonic()
        reply = await self.prompt(vm, path, FIRST_PART, subject)
        self.sound.append((sent_at, reply.status if reply.complete else 0))
        self.refused += QUARANTINED in reply.body
