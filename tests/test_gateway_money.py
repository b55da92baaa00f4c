"""Tokens that a gateway gets in time."""

import asyncio

from fuchsiafork.gateway.money import LEDGER_KEY
from fuchsiafork.prepaid import decode_ledger
from fuchsiafork.prepaid.ledger import Share
from tests.gateway_case import PREPAID, GatewayCase, make_configuration

# Longer than the usual time between two writes.
IDLE_S = 2.4
# Longer than some of them.
LONG_IDLE_S = 6.0
# Longest time between two writes while tokens are used, and some.
WRITE_S = 2.0


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
        reply = await self.ask(x_token_count=wanted)
        self.assertEqual(reply.status, 200)

    async def test_idle_time_does_not_dilute_the_demand(self) -> None:
        """Guards against windows too small for what comes after a lull."""
        await asyncio.sleep(LONG_IDLE_S)
        used = 30_000
        await self.ask(x_token_count=f'{used},10')
        await self.eventually(
            lambda: sum(share.demand for share in self.shares('acme'))
        )
        demand = sum(share.demand for share in self.shares('acme'))
        self.assertGreater(demand, used / WRITE_S)
