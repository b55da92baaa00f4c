"""Calls of the store that VMs make for the same reason at the same time."""

import asyncio
import random
import unittest
from typing import cast
from unittest import mock

from fuchsiafork.gateway import watcher
from fuchsiafork.gateway.watcher import MAX_RETRY_DELAY_S, Watcher
from fuchsiafork.kernel import SystemClock
from fuchsiafork.kernel.errors import StoreUnavailableError
from fuchsiafork.platform.store import PlatformStore
from fuchsiafork.prepaid.holder_slots import SLOTS_PER_DOMAIN
from standins.platform_site import wait_until
from tests.fleet_case import DOMAINS, FleetCase
from tests.gateway_case import KEY, make_configuration

HOLDERS = len(DOMAINS) * SLOTS_PER_DOMAIN
SLOTS_PREFIX = 'fuchsiafork/holders/'
# Time after which the calls that a change causes were made.
SETTLED_S = 3.0
OUTAGE_S = 60.0


class TestCallsOfHolders(FleetCase):
    """Nine VMs that hold grants, and nine that draw from them."""

    vm_count = 2 * HOLDERS
    engine_count = 1

    async def asyncSetUp(self) -> None:
        """Start everything and wait until all slots are occupied."""
        await super().asyncSetUp()
        await wait_until(lambda: len(self._occupied()) == HOLDERS)
        await asyncio.sleep(SETTLED_S)
        self.site.store.calls.clear()

    async def test_slots_are_taken_back_without_conflicts(self) -> None:
        """Guards against claims of all VMs after leases have lapsed."""
        occupied = self._occupied()
        content = self.site.store.content
        for lease in content.leases.values():
            lease.expires_at = 0
        content.expire()
        self.site.store.notify_watchers()
        await wait_until(lambda: len(self._occupied()) == HOLDERS)
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(self._occupied(), occupied)
        self.assertLessEqual(self.site.store.calls['/api/kv-lease'], HOLDERS)

    async def test_slot_whose_lease_ended_is_claimed_once(self) -> None:
        """Guards against repeated claims until a watch shows the end."""
        content = self.site.store.content
        with mock.patch.object(self.site.store, 'notify_watchers'):
            for lease in content.leases.values():
                lease.expires_at = 0
            content.expire()
            await asyncio.sleep(SETTLED_S)
        self.assertLessEqual(
            self.site.store.calls['/api/kv-lease'], 2 * HOLDERS
        )

    async def test_budgets_are_renewed_with_few_conflicts(self) -> None:
        """Guards against writes of all holders at the same moment."""
        for version in (2, 3):
            newer = make_configuration(version)
            newer['tenants'] = [
                {'name': 'acme', 'apiKeys': [KEY], 'prepaid': version * 10**8}
            ]
            self.site.store.put('op/config', newer)
            await asyncio.sleep(SETTLED_S)
        writes = self.site.store.calls['/api/kv-txn']
        self.assertGreaterEqual(writes, HOLDERS)
        self.assertLessEqual(writes, 2 * 2 * HOLDERS)

    def _occupied(self) -> dict[str, bytes | None]:
        """Return the values of the occupied slots by key."""
        content = self.site.store.content
        return {
            key: content.get(key)
            for key in content.items
            if key.startswith(SLOTS_PREFIX)
        }


class _AbsentStore:
    """A store that can't be reached."""

    def __init__(self) -> None:
        self.calls = 0

    async def list_items(self, prefix: str) -> None:
        """Fail."""
        self.calls += 1
        raise StoreUnavailableError('away')


class TestCallsWhileTheStoreIsAway(unittest.IsolatedAsyncioTestCase):
    """One VM that can't reach the store."""

    async def test_number_of_calls_is_bounded(self) -> None:
        """Guards against a herd of calls that keeps the store down."""
        store = _AbsentStore()
        waited_s = 0.0

        async def sleep(seconds: float) -> None:
            nonlocal waited_s
            self.assertLessEqual(seconds, MAX_RETRY_DELAY_S)
            waited_s += seconds
            if waited_s > OUTAGE_S:
                raise asyncio.CancelledError

        follower = Watcher(
            'op/',
            cast(PlatformStore, store),
            SystemClock(),
            random.Random(1),
            mock.Mock(),
        )
        with (
            mock.patch.object(watcher.asyncio, 'sleep', sleep),
            self.assertRaises(asyncio.CancelledError),
        ):
            await follower.run(mock.Mock(), mock.Mock())
        self.assertLess(store.calls, 2 * OUTAGE_S / MAX_RETRY_DELAY_S + 8)
