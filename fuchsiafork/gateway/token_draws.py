"""Draws the tokens of requests from the VMs that hold the grants."""

import asyncio
import random
from typing import Any

from fuchsiafork.gateway.keyed_tasks import KeyedTasks
from fuchsiafork.gateway.peers import PeerSilentError
from fuchsiafork.gateway.token_peers import TokenPeers
from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.errors import (
    BudgetExhaustedError,
    BudgetUnreachableError,
)
from fuchsiafork.prepaid import HolderSlots, TokenAllocator, WaitingRequest

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
        # Requests for which no holder was asked yet, by account.
        self._new: dict[str, list[WaitingRequest]] = {}
        # Requests for which no holder had tokens at hand, by account.
        self._tried: dict[str, list[WaitingRequest]] = {}
        self._draws_at_hand = KeyedTasks('draws', self._draw_new, log)
        self._waiting_draws = KeyedTasks('waiting_draws', self._draw_tried, log)

    def add(self, request: WaitingRequest) -> None:
        """
        Draw tokens for a request that waits.

        One call is made for all requests of an account that were added while
        the call before was under way.
        """
        self._new.setdefault(request.account, []).append(request)
        self._draws_at_hand.start(request.account)

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

    async def _draw_new(self, account: str) -> None:
        """Draw what holders have at hand, until no request is new."""
        while self._new.get(account):
            if not self.holder_addresses(account):
                await asyncio.sleep(POLL_INTERVAL_S)
                self._new[account] = _open(self._new[account])
                continue
            requests = self._new.pop(account)
            if self._allocator.available(account) < 0:
                # Draws would not help.
                reason = 'the outcome of a ledger write is unknown'
                self._refuse(requests, reason)
            await self._draw_at_hand(account, requests)
            tried = _open(requests)
            if tried:
                self._tried.setdefault(account, []).extend(tried)
                self._waiting_draws.start(account)

    async def _draw_at_hand(
        self, account: str, requests: list[WaitingRequest]
    ) -> None:
        """Draw what some holders have at hand."""
        answered = 0
        for address in self.holder_addresses(account):
            needs = self._needs(account, requests)
            if not needs or answered == MAX_HOLDERS_ASKED:
                return
            await self._draw(address, account, requests, wait=False)
            answered += not self._peers.is_silent(address)

    async def _draw_tried(self, account: str) -> None:
        """Let a holder obtain tokens, until no request was tried in vain."""
        while self._tried.get(account):
            requests = _open(self._tried.pop(account))
            reason = 'no holder answered'
            for address in self.holder_addresses(account):
                if not self._peers.is_silent(address):
                    reason = await self._draw(
                        address, account, requests, wait=True
                    )
                    break
            self._refuse(requests, reason)

    async def _draw(
        self,
        address: str,
        account: str,
        requests: list[WaitingRequest],
        *,
        wait: bool,
    ) -> str:
        """Draw tokens from one holder; return why it gave too few, if so."""
        needs = self._needs(account, requests)
        if not needs:
            return ''
        latest = max(request.deadline for request in requests)
        wait_s = max(0.0, latest - self._clock.now()) if wait else 0.0
        try:
            draw = await self._peers.draw_all(address, account, needs, wait_s)
        except PeerSilentError as error:
            return str(error)
        except BudgetExhaustedError as error:
            for request in _open(requests):
                request.refuse(error)
            return str(error)
        if draw.tokens:
            self._allocator.transfer_in(account, draw.tokens)
        return draw.reason or f'holder {address} gave tokens for others'

    def _needs(self, account: str, requests: list[WaitingRequest]) -> list[int]:
        """Return the tokens that open requests need besides those at hand."""
        at_hand = max(0, self._allocator.available(account))
        needs = [request.tokens for request in _open(requests)]
        if needs:
            needs[0] = max(1, needs[0] - at_hand)
        return needs

    def _refuse(self, requests: list[WaitingRequest], reason: str) -> None:
        """Refuse the requests that still wait."""
        for request in _open(requests):
            at_hand = self._allocator.available(request.account)
            request.refuse(
                BudgetUnreachableError(
                    f'{request.tokens} tokens needed, {at_hand} at hand; '
                    f'{reason}',
                    retry_after=RETRY_AFTER_S,
                )
            )


def _open(requests: list[WaitingRequest]) -> list[WaitingRequest]:
    """Return the requests that still wait."""
    return [request for request in requests if not request.ended]


__all__ = ('TokenDraws',)
