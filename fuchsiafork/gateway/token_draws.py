"""Draws the tokens of each request from the VMs that hold the grants."""

import asyncio
import random
from typing import Any

from fuchsiafork.gateway.peers import PeerSilentError
from fuchsiafork.gateway.token_peers import TokenPeers
from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.errors import BudgetUnreachableError
from fuchsiafork.prepaid import HolderSlots, TokenAllocator

# Holders that are asked for tokens at hand before one of them is asked to
# obtain more.
MAX_HOLDERS_ASKED = 2
# Time between two looks for a holder while none is known.
POLL_INTERVAL_S = 0.05
# Time after which tokens that no request used go back to a holder.
RETURN_INTERVAL_S = 2.0
RETRY_AFTER_S = 1.0


class TokenDraws:
    """Obtains tokens for a VM that holds no grants, and returns the rest."""

    def __init__(
        self,
        vm: str,
        allocator: TokenAllocator,
        slots: HolderSlots,
        peers: TokenPeers,
        clock: Clock,
        rng: random.Random,
        log: Any,
    ) -> None:
        """Draw from the VMs in some slots into an allocator."""
        self._vm = vm
        self._allocator = allocator
        self._slots = slots
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._log = log

    async def obtain(self, account: str, tokens: int, deadline: float) -> None:
        """
        Try to make some tokens available to this VM's requests.

        Returns without them only if no holder is known yet.

        :param deadline: time until which a holder may wait for more, seconds.
        :raises BudgetExhaustedError: if the budget can't cover the tokens.
        :raises BudgetUnreachableError: if no holder has them in time.
        """
        if self._allocator.available(account) < 0:
            # The outcome of a ledger write is unknown; draws don't help.
            raise BudgetUnreachableError(
                'the outcome of a ledger write is unknown',
                retry_after=RETRY_AFTER_S,
            )
        addresses = self.holder_addresses(account)
        if not addresses and self._clock.now() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
            return
        answering = await self._draw_at_hand(
            addresses, account, tokens, deadline
        )
        missing = self._missing(account, tokens)
        if missing <= 0:
            return
        reason = f'{len(answering)} of {len(addresses)} holders answered'
        wait_s = deadline - self._clock.now()
        if answering and wait_s > 0:
            reason = await self._draw(answering[0], account, missing, wait_s)
        if reason:
            raise BudgetUnreachableError(
                f'{tokens} tokens needed, {tokens - missing} at hand; {reason}',
                retry_after=RETRY_AFTER_S,
            )

    def holder_addresses(self, account: str) -> list[str]:
        """Return the addresses of the holders to draw from, best first."""
        return self._slots.addresses_for(account)

    async def run(self) -> None:
        """Return unused tokens and cancel draws until cancelled."""
        while True:
            await asyncio.sleep(RETURN_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            await self._peers.cancel_unanswered()
            if not self._allocator.holding:
                await self.return_unused()

    async def return_unused(self) -> None:
        """Return the tokens that no request has reserved to a holder."""
        addresses = self._slots.addresses_for(self._vm)
        if not addresses:
            return
        unused = self._allocator.withdraw_unused()
        if unused and not await self._peers.return_tokens(addresses[0], unused):
            for account, tokens in unused.items():
                self._allocator.transfer_in(account, tokens)

    async def _draw_at_hand(
        self,
        addresses: list[str],
        account: str,
        tokens: int,
        deadline: float,
    ) -> list[str]:
        """Draw what some holders have at hand; return those that answered."""
        answering: list[str] = []
        for address in addresses:
            missing = self._missing(account, tokens)
            enough = missing <= 0 or len(answering) == MAX_HOLDERS_ASKED
            if enough or self._clock.now() >= deadline:
                break
            await self._draw(address, account, missing, 0)
            if not self._peers.is_silent(address):
                answering.append(address)
        return answering

    async def _draw(
        self, address: str, account: str, tokens: int, wait_s: float
    ) -> str:
        """Draw tokens from one holder; return why it gave none, if so."""
        try:
            draw = await self._peers.draw(address, account, tokens, wait_s)
        except PeerSilentError as error:
            return str(error)
        if draw.tokens:
            self._allocator.transfer_in(account, draw.tokens)
        return draw.reason

    def _missing(self, account: str, tokens: int) -> int:
        """Return how many of some tokens this VM lacks."""
        return tokens - self._allocator.available(account)


__all__ = ('TokenDraws',)
