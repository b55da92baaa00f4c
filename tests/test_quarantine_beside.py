"""Sound parts that requests with a bad part hold as well."""

import asyncio
import time

from tests.quarantine_case import (
    FATAL_PART,
    FIRST_PART,
    STABLE_S,
    QuarantineCase,
)

BAD_PER_S = 8.0
SOUND_EVERY_S = 0.5
BAD_S = 16.0
SOUND_PART = 'beside'
LEAST_SOUND_SHARE = 0.5


class TestPartBehindTheBadOne(QuarantineCase):
    """The bad part comes first, and the sound one is in each such prompt."""

    vm_count = 2
    engine_count = 8

    async def test_sound_part_is_released(self) -> None:
        """Guards against a bad request that is the probe of a sound part."""
        self.engines.fatal_part = FATAL_PART
        sound = asyncio.create_task(self._send_sound())
        # A caller whose prompts were answered before.
        await asyncio.sleep(3)
        await self._send_bad()
        sound.cancel()
        ends = self.engines.fatal_ends
        settled_at = ends[min(4, len(ends) - 1)].at + 2 * STABLE_S
        self.assertGreater(self.sound_share(settled_at), LEAST_SOUND_SHARE)

    async def _send_sound(self) -> None:
        """Send prompts of one caller until cancelled."""
        while True:
            sent_at = time.monotonic()
            vm = self.rng.choice(tuple(self.site.ports))
            reply = await self.prompt(vm, '/ask/1', FIRST_PART, SOUND_PART)
            self.sound.append((sent_at, reply.status))
            await asyncio.sleep(SOUND_EVERY_S)

    async def _send_bad(self) -> None:
        """Send prompts that end engines."""
        ends_at = time.monotonic() + BAD_S
        while time.monotonic() < ends_at:
            await asyncio.sleep(1 / BAD_PER_S)
            vm = self.rng.choice(tuple(self.site.ports))
            self.start(self._send_bad_prompt(vm))

    async def _send_bad_prompt(self, vm: str) -> None:
        """Send one of them."""
        await self.prompt(vm, '/ask/1', FATAL_PART, SOUND_PART)
