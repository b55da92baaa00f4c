"""Short run of the measurement of announcements under random troubles."""

import asyncio
import unittest

from fuchsiafork.observability.logs import configure_logs
from measurements.announcements import measure

SEED = 5
LOAD_S = 7.0


class TestRandomTroubles(unittest.IsolatedAsyncioTestCase):
    """Targets that leave, refuse and restart while the store is away."""

    async def test_announcements_hold_in_any_order(self) -> None:
        """Guards against an announcement that another event undoes."""
        configure_logs('critical')
        asyncio.get_running_loop().set_debug(False)
        counts = await measure('/look/1', SEED, LOAD_S)
        self.assertGreater(counts['announcements'], 0)
        self.assertGreater(counts['pauses'], 0)
        self.assertEqual(counts['late'], 0)
        self.assertEqual(counts['broken_pauses'], 0)
