"""Test case with many gateways and engines that end on a prompt part."""

import asyncio
import time

from standins.engine_fleet import Arrival
from tests.fleet_case import PATHS, FleetCase

FATAL_PART = 'fatal'
FIRST_PART = 'first'
# Ends after which a part must reach no more targets, once this time passed.
MAX_ENDS = 5
STABLE_S = 3.0
# Requests with such a part that may still arrive then.
MAX_LATE_ARRIVALS = 3
SUBJECTS = 20
# Code of a refusal because of a part in quarantine.
QUARANTINED = b'2207'
SOUND_PER_S = 40.0
FATAL_PER_S = 4.0


class QuarantineCase(FleetCase):
    """Sends sound prompts, and some that end engines."""

    async def asyncSetUp(self) -> None:
        """Start everything and wait until the gateways are ready."""
        await super().asyncSetUp()
        self.sound: list[tuple[float, int]] = []
        # Sound prompts refused because of a part in quarantine.
        self.refused = 0

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
            self.start(self._send(vm, fatal=fatal))

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
