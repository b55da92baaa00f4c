"""Tests of how a VM draws tokens from the VMs that hold the grants."""

import random
import unittest
from unittest import mock

from fuchsiafork.gateway.peers import Draw, Peers, PeerSilentError
from fuchsiafork.gateway.token_draws import TokenDraws
from fuchsiafork.kernel import SystemClock
from fuchsiafork.kernel.errors import BudgetUnreachableError
from fuchsiafork.prepaid import HolderSlots, Occupant, TokenAllocator
from fuchsiafork.prepaid.holder_slots import Slot
from tests.gateway_case import GatewayCase

TOKENS = 5000
WAIT_S = 1.0


class TestDrawsOnLoopback(GatewayCase):
    """Draws between gateways."""

    async def test_vm_without_grants_is_skipped(self) -> None:
        """Guards against a refusal by a VM that holds no grants any more."""
        other = await self.site.add_gateway('a-2', 'a')
        other._shared.prepaid_tokens._allocator.holding = False
        address = other._settings.peer_address
        peers = self.gateway._shared.peers
        with self.assertRaises(PeerSilentError):
            await peers.draw(address, 'acme', TOKENS, 0)
        self.assertTrue(peers.is_silent(address))


class TestDrawDecisions(unittest.IsolatedAsyncioTestCase):
    """Which holders are asked, and for how much."""

    async def asyncSetUp(self) -> None:
        """Know two holders of the same failure domain."""
        slots = HolderSlots('a-9', 'a')
        for number, vm in enumerate(('a-1', 'a-2')):
            slots.update(Slot('a', number, 1, Occupant(vm, f'{vm}:1')))
        self.allocator = mock.Mock(spec=TokenAllocator)
        self.allocator.available.return_value = 0
        self.peers = mock.AsyncMock(spec=Peers)
        self.peers.is_silent = mock.Mock(return_value=False)
        self.clock = SystemClock()
        self.draws = TokenDraws(
            'a-9',
            self.allocator,
            slots,
            self.peers,
            self.clock,
            random.Random(1),
            mock.Mock(),
        )

    async def obtain(self) -> None:
        """Draw tokens for a request."""
        deadline = self.clock.now() + WAIT_S
        await self.draws.obtain('acme', TOKENS, deadline)

    async def test_draws_no_more_than_the_request_needs(self) -> None:
        """Guards against drawing a deficit of an unresolved ledger write."""
        self.allocator.available.return_value = -400_000
        self.peers.draw.return_value = Draw(0, 'too few')
        with self.assertRaises(BudgetUnreachableError):
            await self.obtain()
        drawn = {call.args[2] for call in self.peers.draw.await_args_list}
        self.assertEqual(drawn, {TOKENS})

    async def test_second_holder_is_asked_if_the_first_is_silent(self) -> None:
        """Guards against a refusal while another holder has the tokens."""

        async def draw(
            address: str, account: str, tokens: int, wait_s: float
        ) -> Draw:
            if address == 'a-1:1':
                raise PeerSilentError('no answer', sent=False)
            self.allocator.available.return_value = tokens
            return Draw(tokens)

        self.peers.draw = draw
        await self.obtain()
        self.allocator.transfer_in.assert_called_once_with('acme', TOKENS)

    async def test_one_holder_is_asked_to_obtain_more(self) -> None:
        """Guards against a refusal that a ledger write would avoid."""

        async def draw(
            address: str, account: str, tokens: int, wait_s: float
        ) -> Draw:
            if not wait_s:
                return Draw(0, 'too few')
            self.allocator.available.return_value = tokens
            return Draw(tokens)

        self.peers.draw = draw
        await self.obtain()
        self.allocator.transfer_in.assert_called_once_with('acme', TOKENS)
