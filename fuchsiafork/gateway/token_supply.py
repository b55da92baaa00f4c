"""Obtains tokens for the requests that wait at a VM with grants."""

import asyncio
from collections.abc import Callable
from typing import Any

from fuchsiafork.gateway.keyed_tasks import KeyedTasks
from fuchsiafork.gateway.ledger_sync import LedgerSync
from fuchsiafork.gateway.token_peers import TokenPeers
from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.errors import (
    BudgetExhaustedError,
    BudgetUnreachableError,
    FuchsiaforkError,
)
from fuchsiafork.prepaid import (
    SupplyOutlook,
    SupplyStep,
    TokenAllocator,
    WaitingRequest,
    choose_step,
)

# Maximum number of VMs asked for tokens of an account at a time.
MAX_PEERS_ASKED = 3
# Time for which a VM is not asked again that gave less than it was asked for.
DRY_S = 0.5
# Time between two looks for a change while others' writes are waited for.
POLL_INTERVAL_S = 0.1
RETRY_AFTER_S = 1.0


class TokenSupply:
    """Raises this VM's grant, from other VMs or by ledger writes."""

    def __init__(
        self,
        allocator: TokenAllocator,
        peers: TokenPeers,
        sync: LedgerSync,
        clock: Clock,
        log: Any,
        holder_addresses: Callable[[str], list[str]],
    ) -> None:
        """
        Supply an allocator.

        :param holder_addresses: returns the VMs that hold grants of an
            account, best first.
        """
        self._allocator = allocator
        self._peers = peers
        self._sync = sync
        self._clock = clock
        self._holder_addresses = holder_addresses
        self._tasks = KeyedTasks('supply', self._supply, log)
        # Time until which a VM is not asked, by account and address.
        self._dry_until: dict[tuple[str, str], float] = {}

    def add(self, request: WaitingRequest) -> None:
        """Obtain tokens for a request that waits."""
        self._tasks.start(request.account)

    def refusal(self, account: str, tokens: int) -> FuchsiaforkError:
        """Return the error for a request that did not get its tokens."""
        if self._allocator.exhausted(account, tokens):
            return BudgetExhaustedError(f'less than {tokens} tokens left')
        location = 'other VMs' if self._sync.store_reachable else 'the store'
        available = self._allocator.available(account)
        summary = self._allocator.summary(account)
        return BudgetUnreachableError(
            f'{tokens} tokens needed, {available} at hand, '
            f'more with {location}; '
            f'ledger {self._sync.record_age_s:.1f} s old: {summary}',
            retry_after=RETRY_AFTER_S,
        )

    async def _supply(self, account: str) -> None:
        """Obtain tokens until no request of an account waits."""
        steps = {
            SupplyStep.ASK_PEERS: self._ask_peer,
            SupplyStep.WRITE: self._write,
            SupplyStep.AWAIT_SHARE: self._await_share,
            SupplyStep.AWAIT_WRITES: self._await_writes,
        }
        while True:
            self._allocator.serve_waiting(account)
            self._refuse_uncovered(account)
            waiting = self._allocator.waiting(account)
            if not waiting:
                return
            outlook = self._outlook(account, waiting)
            step = choose_step(outlook)
            if step is SupplyStep.REFUSE:
                self._refuse(waiting)
                return
            await steps[step](account, outlook)

    def _outlook(
        self, account: str, waiting: list[WaitingRequest]
    ) -> SupplyOutlook:
        """Return what is known of the tokens for some requests."""
        smallest = min(request.tokens for request in waiting)
        latest = max(request.deadline for request in waiting)
        return SupplyOutlook(
            summary=self._allocator.summary(account),
            smallest=smallest,
            record_fresh=self._sync.record_is_fresh,
            store_answers=self._sync.store_reachable and not self._sync.stalled,
            peers_left=bool(self._peers_to_ask(account)),
            share_s=self._allocator.seconds_until(account, smallest),
            left_s=latest - self._clock.now(),
        )

    def _refuse_uncovered(self, account: str) -> None:
        """Refuse the requests that the tokens of all VMs can't cover."""
        if not self._sync.record_is_fresh:
            return
        unspent = self._allocator.summary(account).unspent
        self._refuse([
            request
            for request in self._allocator.waiting(account)
            if request.tokens > unspent
        ])

    def _refuse(self, requests: list[WaitingRequest]) -> None:
        """Refuse some requests."""
        for request in requests:
            request.refuse(self.refusal(request.account, request.tokens))

    async def _ask_peer(self, account: str, outlook: SupplyOutlook) -> None:
        """Ask the next VM for what all waiting requests need."""
        address = self._peers_to_ask(account)[0]
        missing = self._allocator.missing(account)
        given = await self._peers.request_tokens(address, account, missing)
        if given < missing:
            self._dry_until[account, address] = self._clock.now() + DRY_S
        if given:
            self._allocator.transfer_in(account, given)

    async def _write(self, account: str, outlook: SupplyOutlook) -> None:
        """Write the ledger, or wait until the share suffices before."""
        await self._sync.wait_for_end(_earlier(outlook))

    async def _await_share(self, account: str, outlook: SupplyOutlook) -> None:
        """Wait until more of the share may be spent."""
        await asyncio.sleep(min(POLL_INTERVAL_S, _earlier(outlook)))

    async def _await_writes(self, account: str, outlook: SupplyOutlook) -> None:
        """Wait until others may have written what they don't need."""
        await asyncio.sleep(min(POLL_INTERVAL_S, _earlier(outlook)))

    def _peers_to_ask(self, account: str) -> list[str]:
        """
        Return addresses of VMs that may give tokens.

        A holder that had nothing to write since it started knows only the
        holders that wrote before it.
        """
        addresses = self._allocator.peers_by_grant(account)
        addresses += self._holder_addresses(account)
        now = self._clock.now()
        return [
            address
            for address in tuple(dict.fromkeys(addresses))[:MAX_PEERS_ASKED]
            if now >= self._dry_until.get((account, address), now)
        ]


def _earlier(outlook: SupplyOutlook) -> float:
    """Return the seconds until the share suffices or the wait ends."""
    if outlook.share_s is None:
        return outlook.left_s
    return min(outlook.left_s, outlook.share_s)


__all__ = ('TokenSupply',)
