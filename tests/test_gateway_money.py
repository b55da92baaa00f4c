"""Tokens that a gateway gets in time."""

import asyncio
import random
import unittest
from typing import cast
from unittest import mock

from fuchsiafork.gateway.money import LEDGER_KEY, MOST_CONFLICTS, Money
from fuchsiafork.gateway.peers import Peers
from fuchsiafork.kernel import SystemClock
from fuchsiafork.kernel.errors import StoreUnavailableError
from fuchsiafork.observability.logs import configure_logs
from fuchsiafork.platform.store import Item, PlatformStore, Swap
from fuchsiafork.prepaid import FleetTime, Purse, decode_ledger
from fuchsiafork.prepaid.ledger import Share
from fuchsiafork.transport.pool import ConnectionPool
from standins.platform_site import eventually
from tests.gateway_case import PREPAID, GatewayCase, make_configuration

# Longer than the usual time between two writes.
IDLE_S = 2.4
# Longer than some of them.
LONG_IDLE_S = 6.0
# Longest time between two writes while tokens are used, and some.
WRITE_S = 2.0
# Longer than the pause after a write, shorter than the time between two.
SETTLE_S = 0.3
SOON_S = 0.3


class TestGrants(GatewayCase):
    """Grants of an account that nobody has used for a while."""

    def shares(self, account: str) -> list[Share]:
        """Return the shares of an account in the stored ledger."""
        ledger = decode_ledger(self.store.content.get(LEDGER_KEY) or b'')
        entry = ledger.accounts.get(account)
        return list(entry.shares.values()) if entry else []

    async def test_budgets_that_come_late_are_granted_unasked(self) -> None:
        """Guards against refusing the first requests of an account."""
        changed = make_configuration(2)
        newcomer = {'name': 'new', 'apiKeys': ['key-of-new'], 'prepaid': 5000}
        changed['tenants'].append(newcomer)
        self.store.put('op/config', changed)
        await self.eventually(
            lambda: any(share.grant for share in self.shares('new'))
        )

    async def test_idle_ledger_is_no_lost_store(self) -> None:
        """Guards against refusals where one write would bring the tokens."""
        await asyncio.sleep(IDLE_S)
        wanted = f'100,{PREPAID // 2}'
        reply = await self.call_engine(x_token_count=wanted)
        self.assertEqual(reply.status, 200)

    async def test_idle_time_does_not_dilute_the_demand(self) -> None:
        """Guards against windows too small for what comes after a lull."""
        await asyncio.sleep(LONG_IDLE_S)
        used = 30_000
        await self.call_engine(x_token_count=f'{used},10')
        await self.eventually(
            lambda: sum(share.demand for share in self.shares('acme'))
        )
        demand = sum(share.demand for share in self.shares('acme'))
        self.assertGreater(demand, used / WRITE_S)


class _Store:
    """A store of one record, that may be away or have changed each time."""

    def __init__(self) -> None:
        self.away = False
        self.conflicts = 0
        self.item = Item(LEDGER_KEY, 1, None)
        self.writes = 0

    async def read(self, key: str) -> Item:
        if self.away:
            raise StoreUnavailableError('away')
        return self.item

    async def swap(self, key: str, revision: int, value: bytes) -> Swap:
        if self.conflicts:
            self.conflicts -= 1
            self.item = Item(key, self.item.revision + 1, self.item.value)
            return Swap(0, (self.item,))
        self.writes += 1
        self.item = Item(key, revision + 1, value)
        return Swap(self.item.revision)


class TestTroubledStore(unittest.IsolatedAsyncioTestCase):
    """When the ledger is written again after trouble with the store."""

    async def asyncSetUp(self) -> None:
        """Write the ledger of a process once."""
        configure_logs('critical')
        self.store = _Store()
        self.log = mock.Mock()
        self.money = self.make_money('a-1#1')
        self.task = asyncio.create_task(self.money.run())
        self.money.set_prepaid({'acme': PREPAID})
        await eventually(lambda: self.store.writes)
        await asyncio.sleep(SETTLE_S)
        self.store.writes = 0

    async def asyncTearDown(self) -> None:
        """End the process."""
        self.task.cancel()

    def make_money(self, holder: str) -> Money:
        """Return what holds the tokens of a process of the VM."""
        clock = SystemClock()
        purse = Purse(holder, '127.0.0.1:1', clock, FleetTime(clock))
        peers = Peers(purse, ConnectionPool(clock), clock, self.log)
        store = cast(PlatformStore, self.store)
        chance = random.Random(1)
        return Money(purse, peers, store, clock, chance, self.log)

    async def test_written_as_soon_as_the_store_answers(self) -> None:
        """Guards against refusals while the store is there again."""
        self.store.away = True
        self.money.renew()
        await asyncio.sleep(SETTLE_S)
        self.store.away = False
        self.money.note_contact()
        await eventually(lambda: self.store.writes, SOON_S)

    async def test_contention_is_no_lost_store(self) -> None:
        """Guards against refusals because many VMs write at once."""
        self.store.conflicts = MOST_CONFLICTS
        self.money.renew()
        await asyncio.sleep(SETTLE_S)
        wanted = self.money.available()['acme'] + 1
        held = await self.money.reserve('acme', wanted, 5.0)
        self.assertEqual(held.tokens, wanted)
        self.assertEqual(self.store.writes, 1)

    async def test_line_on_what_a_predecessor_left(self) -> None:
        """Guards against withheld tokens that no line explains."""
        self.task.cancel()
        await self.make_money('a-1#2').stop()
        fields = next(
            line.kwargs
            for line in self.log.warning.call_args_list
            if line.args == ('predecessor_retired',)
        )
        self.assertEqual(fields['holder'], 'a-1#1')
        self.assertGreater(fields['freed'], 0)
        self.assertEqual(fields['accounts'], f'acme:{fields["withheld"]}')
