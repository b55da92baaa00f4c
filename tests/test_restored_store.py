"""A store that comes back from a copy: whole VMs, counted at the targets."""

import asyncio
import itertools
import unittest

from fuchsiafork.observability.logs import configure_logs
from standins.platform_caller import Call, Reply, call_once
from standins.platform_site import PlatformSite, make_route, wait_until
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
# Time in which a change is applied.
APPLY_LIMIT_S = 2.0
OTHER_CHANGES = 40
# Start of a target, Unix milliseconds.
STARTED_MS = 1_700_000_000_000
REQUESTS = 8
OK_STATUS = 200


class RestoredStoreCase(unittest.IsolatedAsyncioTestCase):
    """Three VMs, an engine, and one account."""

    async def asyncSetUp(self) -> None:
        """Start everything."""
        configure_logs('critical')
        asyncio.get_running_loop().set_debug(False)
        self.site = PlatformSite()
        self.store = self.site.store
        self.configuration = make_configuration()
        self.configuration['tenants'] = [
            {'name': 'acme', 'apiKeys': [KEY], 'prepaid': PREPAID}
        ]
        self.engine = PlatformTarget('e-1', 'engine', 'a')
        self.plain = [PlatformTarget(f'p-{n}', 'plain', 'a') for n in (1, 2)]
        await self.site.start(self.configuration, [self.engine, *self.plain])
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

    async def look(self, vm: str, path: str = '/look/1') -> Reply:
        """Send a request that may be repeated to a VM."""
        call = Call(path, key=KEY, request_id=f'r-{next(self._ids)}')
        return await call_once(self.site.ports[vm], call)

    def add_route(self, prefix: str) -> None:
        """Write a configuration with one more route."""
        route = make_route(prefix, 'safe', 'plain', public=True)
        self.configuration = {
            **self.configuration,
            'version': self.configuration['version'] + 1,
            'routes': [*self.configuration['routes'], route],
        }
        self.store.put('op/config', self.configuration)

    def raise_revision(self) -> None:
        """Make changes that no VM follows."""
        for number in range(OTHER_CHANGES):
            self.store.content.put(f'other/{number}', b'')

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


class TestFollowedItems(RestoredStoreCase):
    """Items whose revisions are given out again."""

    async def test_route_added_after_the_return_is_served(self) -> None:
        """Guards against a watch that goes on from a revision given twice."""
        copy = self.store.content.copy()
        self.raise_revision()
        self.add_route('/gap/')
        await asyncio.sleep(APPLY_LIMIT_S)
        self.store.restore(copy)
        self.add_route('/after/')
        self.raise_revision()
        self.raise_revision()
        await asyncio.sleep(APPLY_LIMIT_S)
        for path in ('/gap/1', '/after/1'):
            replies = [await self.look(vm, path) for vm in VMS]
            self.assertEqual({reply.status for reply in replies}, {OK_STATUS})

    async def test_target_added_after_the_return_gets_requests(self) -> None:
        """Guards against a target that is never seen, as a revision is low."""
        copy = self.store.content.copy()
        self.raise_revision()
        self.site.register(self.plain[0])
        await asyncio.sleep(APPLY_LIMIT_S)
        self.store.restore(copy)
        added = PlatformTarget('p-3', 'plain', 'a')
        await self.site.add_target(added)
        self.raise_revision()
        self.raise_revision()
        await asyncio.sleep(APPLY_LIMIT_S)
        for vm in VMS * REQUESTS:
            await self.look(vm)
        self.assertGreater(added.arrivals, 0)

    async def test_leaving_target_gets_no_request(self) -> None:
        """Guards against an entry from before the target was leaving."""
        leaving = self.plain[0]
        self.site.register(leaving, born=STARTED_MS)
        copy = self.store.content.copy()
        self.site.register(leaving, born=STARTED_MS, state='draining')
        await asyncio.sleep(APPLY_LIMIT_S)
        self.store.restore(copy, rewrite=False)
        await asyncio.sleep(APPLY_LIMIT_S)
        arrivals = leaving.arrivals
        for vm in VMS * REQUESTS:
            await self.look(vm)
        self.assertEqual(leaving.arrivals, arrivals)

    async def test_copy_from_before_a_restart(self) -> None:
        """Guards against what a target announced since it restarted."""
        leaving = self.plain[0]
        self.site.register(leaving, born=STARTED_MS)
        await asyncio.sleep(APPLY_LIMIT_S)
        copy = self.store.content.copy()
        self.site.register(leaving, born=STARTED_MS + 1)
        leaving.behaviour.leaving = True
        await asyncio.sleep(APPLY_LIMIT_S)
        for vm in VMS * REQUESTS:
            await self.look(vm)
        self.store.restore(copy, rewrite=False)
        await asyncio.sleep(APPLY_LIMIT_S)
        arrivals = leaving.arrivals
        self.assertGreater(arrivals, 0)
        for vm in VMS * REQUESTS:
            await self.look(vm)
        self.assertEqual(leaving.arrivals, arrivals)


class TestRollout(RestoredStoreCase):
    """A version that was taken back after the copy was taken."""

    async def asyncSetUp(self) -> None:
        """Register targets of a version that fails."""
        await super().asyncSetUp()
        self.bad = PlatformTarget('n-1', 'plain', 'a')
        self.bad.behaviour.status = 500
        await self.site.add_target(self.bad, version='v2')

    def order(self) -> None:
        """Order to move the service to that version."""
        order = {'service': 'plain', 'to': 'v2', 'durationS': 60}
        self.store.put('op/rollout/plain', order)

    @property
    def taken_back(self) -> bool:
        """Whether the operator sees that the version was taken back."""
        status = self.store.content.get('status/rollout/plain') or b''
        return b'rolled_back' in status

    async def take_back(self) -> None:
        """Send requests until the version is taken back."""
        while not self.taken_back:
            for vm in VMS:
                await self.look(vm)
        await asyncio.sleep(APPLY_LIMIT_S)

    async def check(self) -> None:
        """Check that the version gets no request, and its status returns."""
        await asyncio.sleep(APPLY_LIMIT_S)
        arrivals = self.bad.arrivals
        for vm in VMS * REQUESTS:
            await self.look(vm)
        self.assertEqual(self.bad.arrivals, arrivals)
        await wait_until(lambda: self.taken_back)

    async def test_version_of_a_kept_order_stays_back(self) -> None:
        """Guards against a verdict that is lost with the copy."""
        self.order()
        copy = self.store.content.copy()
        await self.take_back()
        self.store.restore(copy)
        await self.check()

    async def test_version_of_an_order_written_again_stays_back(self) -> None:
        """Guards against starting over for an order with a new revision."""
        copy = self.store.content.copy()
        self.order()
        await self.take_back()
        self.store.restore(copy)
        self.store.put('other', {})
        self.order()
        await self.check()
