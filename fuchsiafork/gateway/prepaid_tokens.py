"""Keeps the grants of this process in step with the ledger in the store."""

import asyncio
import contextlib
import heapq
import operator
import random
from typing import Any

from fuchsiafork.gateway.peers import Peers
from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.errors import (
    BudgetExhaustedError,
    BudgetUnreachableError,
    FuchsiaforkError,
    StoreUnavailableError,
)
from fuchsiafork.platform.store import (
    Item,
    PlatformStore,
    StoreOutcomeUnknownError,
)
from fuchsiafork.prepaid import (
    Reservation,
    RetiredHolder,
    TokenAllocator,
    decode_ledger,
    encode_ledger,
)

LEDGER_KEY = 'fuchsiafork/ledger'
# VMs up to which each one writes at its usual rate. All write one record, so
# the store sees no more writes of a larger fleet.
FULL_RATE_FLEET_SIZE = 8
# Seconds between two writes while tokens are used.
WRITE_INTERVAL_S = 1.5
# Least seconds between two writes, when requests wait for tokens.
MIN_WRITE_INTERVAL_S = 0.1
# Writes tried in a row when other VMs write at the same time.
MAX_WRITE_ATTEMPTS = 6
# Longest wait of a request for tokens, and its share of the time left.
MAX_WAIT_S = 1.0
MAX_WAIT_FRACTION = 0.3
RETRY_AFTER_S = 1.0
# A write that takes longer than this waits for a store that doesn't answer.
STALLED_WRITE_S = 0.5
# A record read this long ago still tells whether tokens are free.
FRESH_RECORD_S = 0.8
# Accounts of which a line names what a predecessor left withheld.
MAX_LOGGED_ACCOUNTS = 12
# Other VMs that are asked for the tokens of one request.
MAX_PEERS_ASKED = 3


class PrepaidTokens:
    """Reserves tokens for requests, and renews them from the ledger."""

    def __init__(
        self,
        allocator: TokenAllocator,
        peers: Peers,
        store: PlatformStore,
        clock: Clock,
        rng: random.Random,
        log: Any,
    ) -> None:
        """Start before the first write."""
        self._allocator = allocator
        self._peers = peers
        self._store = store
        self._clock = clock
        self._rng = rng
        self._log = log
        self._write_requested = False
        self._write_due = asyncio.Event()
        self._sync_finished = asyncio.Condition()
        self._store_reachable = False
        self._sync_started_at: float | None = None
        self._last_synced_at = -FRESH_RECORD_S
        self._demand_updated_at = clock.now()

    def set_prepaid(self, prepaid: dict[str, int]) -> None:
        """Take over the budgets of a new configuration."""
        if self._allocator.set_prepaid(prepaid):
            # An account whose tokens nobody holds would refuse its first
            # request.
            self.request_write()

    def request_write(self) -> None:
        """Write the ledger soon, although no tokens were used."""
        self._write_requested = True
        self._write_due.set()

    @property
    def ledger_age_s(self) -> float:
        """Seconds since the ledger was last written."""
        return self._clock.now() - self._last_synced_at

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
        Return a reservation, after a wait for tokens if need be.

        :raises BudgetExhaustedError: if the budget can't cover the tokens.
        :raises BudgetUnreachableError: if other VMs or the store hold them.
        """
        deadline = self._clock.now() + min(
            MAX_WAIT_S, MAX_WAIT_FRACTION * remaining_s
        )
        while True:
            reservation = self._allocator.reserve(account, tokens)
            if reservation is not None:
                return reservation
            if self._allocator.exhausted(account, tokens):
                raise BudgetExhaustedError(f'less than {tokens} tokens left')
            if await self._request_from_peers(account, tokens):
                continue
            left = deadline - self._clock.now()
            if left <= 0 or self._write_cannot_help(account, tokens):
                raise self._budget_unreachable(account, tokens)
            await self._wait_for_sync(left)

    def notify_store_answered(self) -> None:
        """Write at once if the store, which has just answered, was lost."""
        if not self._store_reachable:
            self._write_due.set()

    def settle(self, reservation: Reservation, tokens: int) -> None:
        """End a reservation with what the request has cost."""
        self._allocator.settle(reservation, tokens)

    async def run(self) -> None:
        """Write the ledger whenever it is due."""
        while True:
            # Also while nothing is written: idle time between two writes
            # would dilute the demand that comes after it.
            self._update_demand()
            if self._write_needed:
                await self._sync()
                await asyncio.sleep(
                    MIN_WRITE_INTERVAL_S * self._interval_factor
                )
            period = (
                WRITE_INTERVAL_S
                * self._interval_factor
                * self._rng.uniform(0.8, 1.2)
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period):
                    await self._write_due.wait()
            self._write_due.clear()

    async def stop(self) -> None:
        """Give back the tokens that no open request may cost."""
        self._allocator.begin_shutdown()
        await self._sync()

    @property
    def _interval_factor(self) -> float:
        """How much less often each VM of a large fleet writes."""
        return max(1.0, self._allocator.fleet_size / FULL_RATE_FLEET_SIZE)

    @property
    def _write_needed(self) -> bool:
        """Whether a write would change anything."""
        changed = (
            self._allocator.has_unrecorded_tokens
            or self._allocator.has_shortage
        )
        return changed or self._write_requested or not self._store_reachable

    async def _request_from_peers(self, account: str, tokens: int) -> bool:
        """Return whether other VMs have given enough tokens."""
        addresses = self._allocator.peers_by_grant(account)
        for address in addresses[:MAX_PEERS_ASKED]:
            missing = tokens - self._allocator.available(account)
            if missing <= 0:
                break
            given = await self._peers.request_tokens(address, account, missing)
            if given:
                self._allocator.transfer_in(account, given)
        return self._allocator.available(account) >= tokens

    def _write_cannot_help(self, account: str, tokens: int) -> bool:
        """Return whether a write now would not bring the tokens."""
        if not self._store_reachable or self._write_stalled:
            return True
        fresh = self.ledger_age_s < FRESH_RECORD_S * self._interval_factor
        return fresh and self._allocator.summary(account).obtainable < tokens

    @property
    def _write_stalled(self) -> bool:
        """Whether a write is under way that takes long."""
        if self._sync_started_at is None:
            return False
        return (
            self._clock.now() - self._sync_started_at
            > STALLED_WRITE_S * self._interval_factor
        )

    async def _wait_for_sync(self, seconds: float) -> None:
        """Wait for the end of the next write, or some seconds."""
        self._write_due.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                async with self._sync_finished:
                    await self._sync_finished.wait()

    def _update_demand(self) -> None:
        """Average the demand up to now."""
        now = self._clock.now()
        self._allocator.update_demand(now - self._demand_updated_at)
        self._demand_updated_at = now

    async def _sync(self) -> None:
        """Settle and renew the grants by one write."""
        self._write_due.clear()
        self._sync_started_at = self._clock.now()
        self._write_requested = False
        try:
            written = await self._write_ledger()
        except FuchsiaforkError as error:
            self._set_store_reachable(reachable=False, reason=str(error))
        else:
            self._set_store_reachable(reachable=True, reason='')
            self._note_write_result(written=written)
        self._sync_started_at = None
        async with self._sync_finished:
            self._sync_finished.notify_all()

    def _note_write_result(self, *, written: bool) -> None:
        """Note when the ledger was written, or that it must be tried anew."""
        if written:
            self._last_synced_at = self._clock.now()
        else:
            self._log.warning('ledger_contended', writes=MAX_WRITE_ATTEMPTS)
            self.request_write()

    async def _write_ledger(self) -> bool:
        """
        Read the record and write it anew until no other write interferes.

        :return: False if others wrote first each time.
        :raises StoreUnavailableError: if the store doesn't answer.
        """
        item = await self._store.read(LEDGER_KEY)
        for _ in range(MAX_WRITE_ATTEMPTS):
            current = await self._compare_and_swap(item)
            if current is None:
                return True
            item = current
        return False

    async def _compare_and_swap(self, item: Item) -> Item | None:
        """Return what is stored instead if the record has changed."""
        ledger = decode_ledger(item.value or b'')
        self._allocator.apply_record(ledger, item.revision)
        change = self._allocator.plan_write(ledger, item.revision)
        try:
            swap = await self._store.swap(
                LEDGER_KEY,
                item.revision,
                encode_ledger(ledger),
            )
        except StoreOutcomeUnknownError:
            raise
        except StoreUnavailableError:
            self._allocator.discard_write(change)
            raise
        if swap.revision:
            self._allocator.confirm_write(change, ledger)
            self._log_retired(change.retired)
            return None
        self._allocator.discard_write(change)
        if swap.current:
            return swap.current[0]
        return await self._store.read(LEDGER_KEY)

    def _log_retired(self, retired: list[RetiredHolder]) -> None:
        """Log what became of the tokens of earlier processes of this VM."""
        for predecessor in retired:
            largest = heapq.nlargest(
                MAX_LOGGED_ACCOUNTS,
                predecessor.withheld.items(),
                key=operator.itemgetter(1),
            )
            self._log.warning(
                'predecessor_retired',
                holder=predecessor.holder,
                elapsed_s=predecessor.elapsed_s
                and round(predecessor.elapsed_s, 2),
                freed=predecessor.freed,
                withheld=sum(predecessor.withheld.values()),
                accounts=','.join(f'{name}:{left}' for name, left in largest),
            )

    def _set_store_reachable(self, *, reachable: bool, reason: str) -> None:
        """Log when the ledger is lost or regained."""
        if reachable != self._store_reachable:
            kind = 'ledger_reached' if reachable else 'ledger_lost'
            self._log.warning(kind, reason=reason)
        self._store_reachable = reachable

    def _budget_unreachable(
        self, account: str, tokens: int
    ) -> FuchsiaforkError:
        """Return what to tell a caller whose tokens are elsewhere."""
        location = 'other VMs' if self._store_reachable else 'the store'
        available_tokens = self._allocator.available(account)
        summary = self._allocator.summary(account)
        return BudgetUnreachableError(
            f'{tokens} tokens needed, {available_tokens} at hand, '
            f'more with {location}; '
            f'ledger {self.ledger_age_s:.1f} s old: {summary}',
            retry_after=RETRY_AFTER_S,
        )
