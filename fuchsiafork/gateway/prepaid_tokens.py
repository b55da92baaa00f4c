"""Reserves prepaid tokens for requests and other VMs."""

import random
from collections.abc import Sequence
from typing import Any

from fuchsiafork.gateway.ledger_sync import (
    LEDGER_KEY,
    MAX_WRITE_ATTEMPTS,
    LedgerSync,
)
from fuchsiafork.gateway.token_draws import TokenDraws
from fuchsiafork.gateway.token_peers import TokenPeers
from fuchsiafork.gateway.token_supply import TokenSupply
from fuchsiafork.gateway.waiting_group import WaitingGroup
from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.errors import BudgetExhaustedError
from fuchsiafork.platform.store import PlatformStore
from fuchsiafork.prepaid import Reservation, TokenAllocator, WaitingRequest

# Limits of the time that a request waits for tokens: absolute, and as a
# fraction of the time left until its deadline.
MAX_WAIT_S = 1.0
MAX_WAIT_FRACTION = 0.3


class PrepaidTokens:
    """Reserves tokens for requests, and renews the grants by ledger writes."""

    def __init__(
        self,
        allocator: TokenAllocator,
        peers: TokenPeers,
        store: PlatformStore,
        clock: Clock,
        rng: random.Random,
        log: Any,
        draws: TokenDraws | None = None,
    ) -> None:
        """
        Start before the first write, with the store marked unreachable.

        :param draws: obtains tokens while this VM holds no grants; None if it
            always holds some.
        """
        self._draws = draws
        self._allocator = allocator
        self._clock = clock
        self._log = log
        self._sync = LedgerSync(
            allocator, store, clock, rng, log, self._count_holders
        )
        self._supply = TokenSupply(
            allocator, peers, self._sync, clock, log, self._holder_addresses
        )

    def set_prepaid(self, prepaid: dict[str, int]) -> None:
        """Set the prepaid tokens by account from a new configuration."""
        if self._allocator.set_prepaid(prepaid):
            # Without a grant, the first request of a new account would have to
            # wait for a ledger write.
            self._sync.spread_write()

    def request_write(self) -> None:
        """Schedule a ledger write even if no tokens were used."""
        self._sync.request_write()

    def set_holding(self, holding: bool) -> None:
        """Set whether this VM holds grants or draws from those that do."""
        if holding == self._allocator.holding:
            return
        self._log.info('holding_changed', holding=holding)
        self._allocator.holding = holding
        if holding:
            # The store has just stored the claim.
            self._sync.set_store_reachable(
                reachable=True, reason='slot claimed'
            )
        self.request_write()

    @property
    def ready(self) -> bool:
        """Whether this VM has had grants or knows a holder of some."""
        return self._sync.granted or (
            self._draws is not None and bool(self._draws.holder_addresses(''))
        )

    @property
    def ledger_age_s(self) -> float:
        """Seconds since the last successful ledger write."""
        return self._sync.record_age_s

    def available(self) -> dict[str, int]:
        """Return the tokens that may be reserved now, by account."""
        return {
            account: self._allocator.available(account)
            for account in self._allocator.accounts
        }

    async def reserve(
        self,
        account: str,
        tokens: int,
        remaining_s: float,
    ) -> Reservation:
        """
        Reserve tokens for a request, waiting for more tokens if necessary.

        :raises BudgetExhaustedError: if the budget can't cover the tokens.
        :raises BudgetUnreachableError: if the tokens can't be obtained from
            other VMs or the store in time.
        """
        wait_s = min(MAX_WAIT_S, MAX_WAIT_FRACTION * remaining_s)
        group = await self._wait(account, (tokens,), wait_s)
        request = group.requests[0]
        if request.reservation is None:
            raise request.error or self._supply.refusal(account, tokens)
        return request.reservation

    async def allot(
        self, account: str, needs: Sequence[int], wait_s: float
    ) -> int:
        """
        Give tokens for requests of a VM that holds no grants.

        :param needs: tokens that each request needs.
        :param wait_s: seconds for which to obtain more than are at hand.
        :return: tokens for those requests that they suffice for.
        :raises BudgetExhaustedError: if the budget can't cover the smallest.
        :raises BudgetUnreachableError: if none can be obtained in time.
        """
        if wait_s:
            group = await self._wait(account, needs, min(MAX_WAIT_S, wait_s))
            reservations = group.reservations
        else:
            reservations = self._reserve_at_hand(account, needs)
        if not reservations:
            raise self._supply.refusal(account, min(needs))
        for reservation in reservations:
            self._allocator.settle(reservation, reservation.tokens)
        return sum(reservation.tokens for reservation in reservations)

    def _reserve_at_hand(
        self, account: str, needs: Sequence[int]
    ) -> list[Reservation]:
        """
        Reserve tokens for those requests that they suffice for.

        The others don't count as demand, as they are asked for again.
        """
        reservations = [
            self._allocator.reserve(account, tokens)
            for tokens in needs
            if tokens <= self._allocator.available(account)
        ]
        return [
            reservation
            for reservation in reservations
            if reservation is not None
        ]

    async def _wait(
        self, account: str, needs: Sequence[int], wait_s: float
    ) -> WaitingGroup:
        """
        Wait until requests have their tokens or are refused.

        :param needs: tokens that each request needs.
        """
        group = WaitingGroup(self._allocator)
        deadline = self._clock.now() + wait_s
        await group.wait(account, needs, deadline, wait_s, self._obtain)
        return group

    def _obtain(self, request: WaitingRequest) -> None:
        """Obtain tokens for a request that waits."""
        if self._draws is not None and not self._allocator.holding:
            self._draws.add(request)
        else:
            self._supply.add(request)

    def require_budget(self, account: str, tokens: int) -> None:
        """
        Check that a budget may still cover the cost of a request.

        :raises BudgetExhaustedError: if it can't.
        """
        if self._allocator.exhausted(account, tokens):
            raise BudgetExhaustedError(f'less than {tokens} tokens left')

    def notify_store_answered(self) -> None:
        """Write soon if the store, which just answered, was unreachable."""
        if not self._sync.store_reachable:
            self._sync.spread_write()

    def settle(self, reservation: Reservation, tokens: int) -> None:
        """Close a reservation and charge the actual cost of the request."""
        self._allocator.settle(reservation, tokens)

    def start_era(self, era: int) -> None:
        """Write soon what a store that came back from a copy has lost."""
        self._allocator.start_era(era)
        self._sync.spread_write()

    async def run(self) -> None:
        """Write the ledger periodically and on demand until cancelled."""
        await self._sync.run()

    async def stop(self) -> None:
        """Release the granted tokens that open requests don't need."""
        if self._draws is not None and not self._allocator.holding:
            await self._draws.return_unused()
        self._allocator.begin_shutdown()
        await self._sync.sync()

    def _count_holders(self) -> int:
        """Return the number of VMs that are known to hold grants."""
        return len(self._holder_addresses('')) + 1

    def _holder_addresses(self, account: str) -> list[str]:
        """Return the VMs that hold grants of an account, best first."""
        return self._draws.holder_addresses(account) if self._draws else []


__all__ = ('LEDGER_KEY', 'MAX_WRITE_ATTEMPTS', 'PrepaidTokens')
