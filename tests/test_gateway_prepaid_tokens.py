"""Tests of how a gateway obtains prepaid tokens."""

import asyncio
import random
import unittest
from typing import cast
from unittest import mock

from fuchsiafork.gateway.peers import Peers
from fuchsiafork.gateway.prepaid_tokens import (
    LEDGER_KEY,
    MAX_WRITE_ATTEMPTS,
    PrepaidTokens,
)
from fuchsiafork.gateway.token_peers import TokenPeers
from fuchsiafork.kernel import SystemClock
from fuchsiafork.kernel.errors import StoreUnavailableError
from fuchsiafork.observability.logs import configure_logs
from fuchsiafork.platform.store import Item, PlatformStore, Swap
from fuchsiafork.prepaid import FleetTime, TokenAllocator, decode_ledger
from fuchsiafork.prepaid.ledger import Share
from fuchsiafork.transport.pool import ConnectionPool
from standins.platform_site import wait_until
from tests.gateway_case import PREPAID, GatewayCase, make_configuration

# Longer than the usual write interval.
IDLE_S = 2.4
# Longer than several write intervals.
LONG_IDLE_S = 6.0
# Longest write interval while tokens are used, plus a margin.
WRITE_S = 2.0
# Longer than the minimum write interval, shorter than the usual one.
AFTER_WRITE_S = 0.3
SOON_S = 0.3


class TestGrants(GatewayCase):
    """Grants of new and idle accounts."""

    def shares(self, account: str) -> list[Share]:
        """Return the shares of an account in the stored ledger."""
        ledger = decode_ledger(self.store.content.get(LEDGER_KEY) or b'')
        entry = ledger.accounts.get(account)
        return list(entry.shares.values()) if entry else []

    async def test_new_budget_is_granted_without_a_request(self) -> None:
        """Guards against refusing the first requests of a new account."""
        changed = make_configuration(2)
        newcomer = {'name': 'new', 'apiKeys': ['key-of-new'], 'prepaid': 5000}
        changed['tenants'].append(newcomer)
        self.store.put('op/config', changed)
        await self.eventually(
            lambda: any(share.grant for share in self.shares('new'))
        )

    async def test_idle_ledger_does_not_cause_refusals(self) -> None:
        """Guards against refusals when one write would provide the tokens."""
        await asyncio.sleep(IDLE_S)
        wanted = f'100,{PREPAID // 2}'
        reply = await self.call_engine(x_token_count=wanted)
        self.assertEqual(reply.status, 200)

    async def test_idle_time_does_not_dilute_the_demand(self) -> None:
        """Guards against bursts that are too small after an idle period."""
        await asyncio.sleep(LONG_IDLE_S)
        used = 30_000
        await self.call_engine(x_token_count=f'{used},10')
        await self.eventually(
            lambda: sum(share.demand for share in self.shares('acme'))
        )
        demand = sum(share.demand for share in self.shares('acme'))
        self.assertGreater(demand, used / WRITE_S)


class _Store:
    """Store of one record that may be unavailable or return conflicts."""

    def __init__(self) -> None:
        self.era = None
        self.unavailable = False
        self.conflicts = 0
        self.item = Item(LEDGER_KEY, 1, None)
        self.writes = 0

    async def read(self, key: str) -> Item:
        if self.unavailable:
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


class TestStoreFailures(unittest.IsolatedAsyncioTestCase):
    """Ledger writes after failures of the store."""

    async def asyncSetUp(self) -> None:
        """Start a process and wait for its first ledger write."""
        configure_logs('critical')
        self.store = _Store()
        self.log = mock.Mock()
        self.prepaid_tokens = self.make_prepaid_tokens('a-1#1')
        self.task = asyncio.create_task(self.prepaid_tokens.run())
        self.prepaid_tokens.set_prepaid({'acme': PREPAID})
        await wait_until(lambda: self.store.writes)
        await asyncio.sleep(AFTER_WRITE_S)
        self.store.writes = 0

    async def asyncTearDown(self) -> None:
        """Cancel the process."""
        self.task.cancel()

    def make_prepaid_tokens(self, holder: str) -> PrepaidTokens:
        """Return the prepaid tokens of a process of the VM."""
        clock = SystemClock()
        allocator = TokenAllocator(
            holder, '127.0.0.1:1', clock, FleetTime(clock)
        )
        peers = TokenPeers(
            allocator,
            Peers(ConnectionPool(clock), clock, self.log),
            clock,
            self.log,
        )
        store = cast(PlatformStore, self.store)
        rng = random.Random(1)
        return PrepaidTokens(allocator, peers, store, clock, rng, self.log)

    async def test_writes_as_soon_as_the_store_answers(self) -> None:
        """Guards against refusals after the store is available again."""
        self.store.unavailable = True
        self.prepaid_tokens.request_write()
        await asyncio.sleep(AFTER_WRITE_S)
        self.store.unavailable = False
        self.prepaid_tokens.notify_store_answered()
        await wait_until(lambda: self.store.writes, SOON_S)

    async def test_contention_does_not_cause_refusals(self) -> None:
        """Guards against refusals while many VMs write concurrently."""
        self.store.conflicts = MAX_WRITE_ATTEMPTS
        self.prepaid_tokens.request_write()
        await asyncio.sleep(AFTER_WRITE_S)
        wanted = self.prepaid_tokens.available()['acme'] + 1
        reservation = await self.prepaid_tokens.reserve('acme', wanted, 5.0)
        self.assertEqual(reservation.tokens, wanted)
        self.assertEqual(self.store.writes, 1)

    async def test_logs_withheld_tokens_of_a_predecessor(self) -> None:
        """Guards against withheld tokens without a log line about them."""
        self.task.cancel()
        await self.make_prepaid_tokens('a-1#2').stop()
        fields = next(
            line.kwargs
            for line in self.log.warning.call_args_list
            if line.args == ('predecessor_retired',)
        )
        self.assertEqual(fields['holder'], 'a-1#1')
        self.assertGreater(fields['freed'], 0)
        self.assertEqual(fields['accounts'], f'acme:{fields["withheld"]}')
