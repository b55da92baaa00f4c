"""Fleets with engines that name a limit on the requests of all VMs."""

from tests.limit_case import LimitCase, allowed

LOAD_S = 9.0
ONE_LIMIT = 2.6
ALL_LIMIT = 3.9


class TestEightVms(LimitCase):
    """Eight VMs, each with an eighth of the limit."""

    async def test_one_limited_engine_gets_no_more_than_its_limit(
        self,
    ) -> None:
        """Guards against VMs that go on as if no limit had been named."""
        engine = self.engines.live[0]
        self.name_limit(engine, ONE_LIMIT)
        await self.run_load(LOAD_S)
        self.assertGreater(len(self.counted(engine)), 0)
        self.assertLessEqual(self.most_in_window(engine), allowed(ONE_LIMIT))

    async def test_limited_engines_get_no_more_than_their_limits(self) -> None:
        """Guards against a load that no engine is left for."""
        for engine in self.engines.live:
            self.name_limit(engine, ALL_LIMIT)
        await self.run_load(LOAD_S)
        for engine in self.engines.live:
            most = self.most_in_window(engine)
            self.assertLessEqual(most, allowed(ALL_LIMIT))


class TestSixtySixVms(TestEightVms):
    """Sixty-six VMs, more than a limit allows requests in a window."""

    vm_count = 66
