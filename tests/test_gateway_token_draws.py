"""Tests of how a VM draws tokens from the VMs that hold the grants."""

import asyncio
import random
import unittest
from typing import Any
from unittest import mock

from fuchsiafork.gateway.peers import PeerSilentError
from fuchsiafork.gateway.token_draws import TokenDraws
from fuchsiafork.gateway.token_peers import DRAW_BACKOFF_S, Draw, TokenPeers
from fuchsiafork.kernel import SystemClock
from fuchsiafork.kernel.errors import BudgetUnreachableError
from fuchsiafork.prepaid import HolderSlots, Occupant, TokenAllocator
from fuchsiafork.prepaid.draw_records import DrawRecords
from fuchsiafork.prepaid.holder_slots import Slot
from fuchsiafork.transport.client_connection import BrokenAnswerError
from fuchsiafork.transport.json_call import call_json
from tests.gateway_case import GatewayCase

TOKENS = 5000
WAIT_S = 1.0
# Tokens that a holder has at hand at its start.
DRAWN = 100


class TestDrawsOnLoopback(GatewayCase):
    """Draws between gateways."""

    async def test_vm_without_grants_is_skipped(self) -> None:
        """Guards against a refusal by a VM that holds no grants any more."""
        other = await self.site.add_gateway('a-2', 'a')
        address = other._settings.peer_address
        peers = self.gateway._shared.prepaid_tokens._peers
        # The election of the other VM would set it again at any moment.
        not_holding = mock.patch.object(
            TokenAllocator,
            'holding',
            property(lambda allocator: False, lambda allocator, holding: None),
        )
        with not_holding, self.assertRaises(PeerSilentError):
            await peers.draw(address, 'acme', TOKENS, 0)
        self.assertTrue(peers.is_silent(address))

    async def test_unanswered_draw_is_cancelled(self) -> None:
        """Guards against tokens that stay counted as spent."""
        other = await self.site.add_gateway('a-2', 'a')
        allocator = self.gateway._shared.prepaid_tokens._allocator
        address = self.gateway._settings.peer_address
        caller = other._shared.prepaid_tokens._peers
        answers = []

        async def lose_answer(*call: Any) -> None:
            answers.append(await call_json(*call))
            raise BrokenAnswerError('the answer was lost')

        lost = mock.patch('fuchsiafork.gateway.peers.call_json', lose_answer)
        with lost, self.assertRaises(PeerSilentError):
            await caller.draw(address, 'acme', DRAWN, 0)
        self.assertEqual([answer.body for answer in answers], [DRAWN])
        await asyncio.sleep(DRAW_BACKOFF_S)
        with mock.patch.object(allocator, 'transfer_in') as transfer_in:
            await caller.cancel_unanswered()
        transfer_in.assert_called_once_with('acme', DRAWN)

    async def test_draw_that_comes_after_its_cancellation_is_not_given(
        self,
    ) -> None:
        """Guards against a delayed draw that is cancelled too early."""
        records = DrawRecords(SystemClock())
        self.assertIsNone(records.cancel('d-1'))
        self.assertFalse(records.record('d-1', 'acme', TOKENS))
        self.assertTrue(records.record('d-2', 'acme', TOKENS))
        self.assertIsNotNone(records.cancel('d-2'))
        self.assertIsNone(records.cancel('d-2'))


class TestDrawDecisions(unittest.IsolatedAsyncioTestCase):
    """Which holders are asked, and for how much."""

    async def asyncSetUp(self) -> None:
        """Know two holders of the same failure domain."""
        slots = HolderSlots('a-9', 'a')
        for number, vm in enumerate(('a-1', 'a-2')):
            slots.update(Slot('a', number, 1, Occupant(vm, f'{vm}:1')))
        self.allocator = mock.Mock(spec=TokenAllocator)
        self.allocator.available.return_value = 0
        self.peers = mock.AsyncMock(spec=TokenPeers)
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

    async def test_deficit_of_an_unresolved_write_is_not_drawn(self) -> None:
        """Guards against draws that no request can use."""
        self.allocator.available.return_value = -400_000
        self.peers.draw.return_value = Draw(0, 'too few')
        with self.assertRaises(BudgetUnreachableError):
            await self.obtain()
        self.peers.draw.assert_not_awaited()

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
