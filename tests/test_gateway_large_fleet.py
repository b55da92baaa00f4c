"""Tests of budgets in a fleet that is larger than an account has prompts."""

import asyncio
import json
import unittest

from fuchsiafork.gateway.holder_election import SLOTS_PREFIX
from fuchsiafork.gateway.prepaid_tokens import LEDGER_KEY
from fuchsiafork.observability.logs import configure_logs
from fuchsiafork.prepaid import Ledger, decode_ledger
from fuchsiafork.prepaid.holder_slots import SLOTS_PER_DOMAIN
from fuchsiafork.prepaid.ledger import RAMP_END_S
from standins.platform_caller import Call, Reply, call_once
from standins.platform_site import PlatformSite, wait_until
from standins.platform_store import StoreFault
from standins.platform_targets import PlatformTarget
from tests.gateway_case import KEY, GatewayCase, make_configuration

VMS = tuple(f'a-{number}' for number in range(1, 13))
PREPAID = 100_000
# Larger than the grants of four VMs if twelve hold the usual third.
PROMPT_TOKENS = 15_000
# Time after which unused tokens were returned and written.
SETTLED_S = 5.0
# Longest time until the slot of a dead VM is claimed.
SLOT_CLAIMED_S = 8.0


class TestLapsedLease(GatewayCase):
    """One VM whose lease ended while the store was down."""

    async def test_slot_is_claimed_again_after_its_lease_lapsed(self) -> None:
        """Guards against claims under a lease that has ended."""
        content = self.store.content

        def occupied() -> bool:
            return any(key.startswith(SLOTS_PREFIX) for key in content.items)

        await self.eventually(occupied)
        for lease in content.leases.values():
            lease.expires_at = 0
        content.expire()
        self.assertFalse(occupied())
        self.store.notify_watchers()
        await self.eventually(occupied)


class TestLargeFleet(unittest.IsolatedAsyncioTestCase):
    """Twelve VMs in one failure domain and one account."""

    async def asyncSetUp(self) -> None:
        """Start the fleet and wait for the first grants."""
        configure_logs('critical')
        self.site = PlatformSite()
        configuration = make_configuration()
        configuration['tenants'] = [
            {'name': 'acme', 'apiKeys': [KEY], 'prepaid': PREPAID}
        ]
        targets = [PlatformTarget(f'e-{n}', 'engine', 'a') for n in (1, 2)]
        await self.site.start(configuration, targets)
        for vm in VMS:
            await self.site.add_gateway(vm, 'a')
        await wait_until(lambda: self.granted() > PREPAID / 4)

    async def asyncTearDown(self) -> None:
        """Stop the fleet and the stand-ins."""
        await self.site.stop()

    def ledger(self) -> Ledger:
        """Return the stored ledger."""
        return decode_ledger(self.site.store.content.get(LEDGER_KEY) or b'')

    def granted(self) -> int:
        """Return the granted tokens of the account."""
        shares = self.ledger().entry('acme').shares
        return sum(share.grant for share in shares.values())

    def occupants(self) -> list[str]:
        """Return the VMs in the slots."""
        content = self.site.store.content
        return [
            json.loads(content.get(key) or b'[""]')[0]
            for key in content.items
            if key.startswith(SLOTS_PREFIX)
        ]

    async def ask(self, vm: str, prompt_tokens: int) -> Reply:
        """Send a prompt to a VM."""
        call = Call(
            '/ask/1',
            body=b'{}',
            key=KEY,
            request_id=f'r-{vm}',
            deadline_ms='3000',
            extra_headers={
                'x_token_count': f'{prompt_tokens},10',
                'x_model': 'm',
            },
        )
        return await call_once(self.site.ports[vm], call)

    async def test_prompt_above_an_equal_part_is_served_without_store(
        self,
    ) -> None:
        """Guards against refusals while other VMs hold the tokens."""
        await asyncio.gather(*(self.ask(vm, 1000) for vm in VMS))
        await asyncio.sleep(SETTLED_S)
        self.site.store.fault = StoreFault.SILENT
        await asyncio.sleep(RAMP_END_S + 1)
        reply = await self.ask(VMS[-1], PROMPT_TOKENS)
        self.assertEqual(reply.status, 200)

    async def test_record_does_not_grow_with_the_fleet(self) -> None:
        """Guards against a record that each VM of a large fleet writes."""
        replies = await asyncio.gather(*(self.ask(vm, 1000) for vm in VMS))
        self.assertEqual({reply.status for reply in replies}, {200})
        await asyncio.sleep(SETTLED_S)
        self.assertLessEqual(len(self.ledger().holders), SLOTS_PER_DOMAIN)

    async def test_unused_tokens_of_all_vms_return_to_the_ledger(self) -> None:
        """Guards against tokens that stay counted as spent."""
        await asyncio.gather(*(self.ask(vm, 1000) for vm in VMS))
        costs = sum(
            run.tokens for target in self.site.targets for run in target.runs
        )
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(self.ledger().entry('acme').spent, costs)

    async def test_vacant_slot_is_claimed_by_another_vm(self) -> None:
        """Guards against a fleet without grants after its holders died."""
        holders = {name.partition('#')[0] for name in self.ledger().holders}
        for vm in holders:
            self.site.gateways[vm].close()
        await wait_until(
            lambda: len(self.ledger().holders) > SLOTS_PER_DOMAIN,
            SLOT_CLAIMED_S,
        )
        survivor = next(vm for vm in VMS if vm not in holders)
        reply = await self.ask(survivor, 1000)
        self.assertEqual(reply.status, 200, reply.body)

    async def test_stopping_holder_gives_up_its_slot(self) -> None:
        """Guards against draws from a VM that is about to end."""
        holder = next(iter(self.ledger().holders)).partition('#')[0]
        self.assertIn(holder, self.occupants())
        await self.site.gateways[holder].stop()
        await wait_until(
            lambda: (
                len(self.occupants()) == SLOTS_PER_DOMAIN
                and holder not in self.occupants()
            )
        )
