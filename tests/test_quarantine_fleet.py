"""Fleets that are sent prompts with a part that ends engines."""

import time

from tests.quarantine_case import (
    FATAL_PART,
    MAX_LATE_ARRIVALS,
    QuarantineCase,
)

LOAD_S = 10.0
# Time in which the last part of a load is looked at.
LAST_S = 4.0
LEAST_SOUND_SHARE = 0.9


class TestEightVms(QuarantineCase):
    """Eight VMs, of which each sees less than one of five ends."""

    async def test_part_that_ends_engines_reaches_no_more_of_them(
        self,
    ) -> None:
        """Guards against prompts that end one target after another."""
        self.engines.fatal_part = FATAL_PART
        await self.run_load(LOAD_S)
        self.assertGreaterEqual(len(self.engines.fatal_ends), 2)
        self.assertLessEqual(len(self.late_arrivals()), MAX_LATE_ARRIVALS)
        share = self.sound_share(time.monotonic() - LAST_S)
        self.assertGreater(share, LEAST_SOUND_SHARE)


class TestSixtySixVms(TestEightVms):
    """Sixty-six VMs, of which none sees two ends."""

    vm_count = 66
