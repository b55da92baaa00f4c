"""A store that comes back from a copy: whole VMs, counted at the targets."""

import asyncio
import itertools
import unittest

from fuchsiafork.observability.logs import configure_logs
from standins.platform_caller import Call, Reply, call_once
from standins.platform_site import PlatformSite
from standins.platform_store import StoreFault
from standins.platform_targets import PlatformTarget
from tests.gateway_case import KEY, make_configuration

VMS = ('a-1', 'b-2', 'c-3')
PREPAID = 100_000
PROMPT_TOKENS = 1_000
# Prompts before the copy, and between the copy and the loss of the store.
PROMPTS_BEFORE = 6
PROMPTS_IN_GAP = 48
# Time in which holders write what they have used.
SETTLED_S = 2.5
DOWN_S = 0.5
# Time after the return in which an account with tokens is served again.
SERVED_LIMIT_S = 2.0
# Attempts to use up the account after the return.
ROUNDS = 50
ROUND_INTERVAL_S = 0.2
OK_STATUS = 200


class RestoredStoreCase(unittest.IsolatedAsyncioTestCase):
    """Three VMs, an engine, and one account."""

    async def asyncSetUp(self) -> None:
        """Start everything."""
        configure_logs('critical')
        asyncio.get_running_loop().set_debug(False)
        self.site = PlatformSite()
        self.store = self.site.store
        configuration = make_configuration()
        configuration['tenants'] = [
            {'name': 'acme', 'apiKeys': [KEY], 'prepaid': PREPAID}
        ]
        self.engine = PlatformTarget('e-1', 'engine', 'a')
        await self.site.start(configuration, [self.engine])
        for vm in VMS:
            await self.site.add_gateway(vm, vm[0])
        self._ids = itertools.count()

    async def asyncTearDown(self) -> None:
        """Stop everything."""
        await self.site.stop()

    async def ask(self, vm: str) -> Reply:
        """Send a prompt to a VM."""
        call = Call(
            '/ask/1',
            body=b'{}',
            key=KEY,
            request_id=f'r-{next(self._ids)}',
            deadline_ms='2000',
            extra_headers={
                'x_token_count': f'{PROMPT_TOKENS},10',
                'x_model': 'm',
            },
        )
        return await call_once(self.site.ports[vm], call)

    async def ask_all(self, count: int) -> None:
        """Send prompts to the VMs in turn."""
        vms = itertools.islice(itertools.cycle(VMS), count)
        for vm in vms:
            await self.ask(vm)

    async def lose_the_gap(self) -> None:
        """Use tokens, then let the store come back from before that."""
        await self.ask_all(PROMPTS_BEFORE)
        await asyncio.sleep(SETTLED_S)
        copy = self.store.content.copy()
        await self.ask_all(PROMPTS_IN_GAP)
        await asyncio.sleep(SETTLED_S)
        self.store.fault = StoreFault.RESET
        self.store.server.break_connections()
        await asyncio.sleep(DOWN_S)
        self.store.fault = StoreFault.NONE
        self.store.restore(copy)

    @property
    def spent(self) -> int:
        """Tokens that the engine has counted."""
        return sum(run.tokens for run in self.engine.runs)


class TestSettledTokens(RestoredStoreCase):
    """Tokens that were settled after the copy was taken."""

    async def test_account_gets_no_more_tokens_than_it_paid_for(self) -> None:
        """Guards against tokens that are free once more after the return."""
        await self.lose_the_gap()
        for _ in range(ROUNDS):
            await asyncio.gather(*(self.ask(vm) for vm in VMS))
            await asyncio.sleep(ROUND_INTERVAL_S)
        self.assertLessEqual(self.spent, PREPAID)
        # Nearly all of it can still be used.
        self.assertGreater(self.spent, PREPAID * 0.9)

    async def test_account_with_tokens_is_served_again_soon(self) -> None:
        """Guards against holders that wait for each other."""
        await self.lose_the_gap()
        await asyncio.sleep(SERVED_LIMIT_S)
        replies = [await self.ask(vm) for vm in VMS]
        self.assertEqual({reply.status for reply in replies}, {OK_STATUS})
