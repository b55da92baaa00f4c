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
USUAL_FLEET = 8
# Seconds between two writes while tokens are used.
SYNC_S = 1.5
# Least seconds between two writes, when requests wait for tokens.
SHORTAGE_SYNC_S = 0.1
# Writes tried in a row when other VMs write at the same time.
MOST_CONFLICTS = 6
# Longest wait of a request for tokens, and its share of the time left.
WAIT_S = 1.0
WAIT_SHARE = 0.3
RETRY_AFTER_S = 1.0
# A write that takes longer than this waits for a store that doesn't answer.
STALLED_S = 0.5
# A record read this long ago still tells whether tokens are free.
FRESH_S = 0.8
# Accounts of which a line names what a predecessor left withheld.
MOST_LOGGED = 12
# Other VMs that are asked for the tokens of one request.
MOST_ASKED = 3


class Money:
    """Reserves tokens for requests, and renews them from the ledger."""

    def __init__(
        self,
        allocator: TokenAllocator,
        peers: Peers,
        store: PlatformStore,
        clock: Clock,
        chance: random.Random,
        log: Any,
    ) -> None:
        """Start before the first write."""
        self._allocator = allocator
        self._peers = peers
        self._store = store
        self._clock = clock
        self._chance = chance
        self._log = log
        self._outdated = False
        self._due = asyncio.Event()
        self._round = asyncio.Condition()
        self._reached = False
        self._began_at: float | None = None
        self._synced_at = -FRESH_S
        self._ticked = clock.now()

    def set_prepaid(self, prepaid: dict[str, int]) -> None:
        """Take over the budgets of a new configuration."""
        if self._allocator.set_prepaid(prepaid):
            # An account whose tokens nobody holds would refuse its first
            # request.
            self.renew()

    def renew(self) -> None:
        """Write the ledger soon, although no tokens were used."""
        self._outdated = True
        self._due.set()

    @property
    def age_s(self) -> float:
        """Seconds since the ledger was last written."""
        return self._clock.now() - self._synced_at

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
        until = self._clock.now() + min(WAIT_S, WAIT_SHARE * remaining_s)
        while True:
            reservation = self._allocator.reserve(account, tokens)
            if reservation is not None:
                return reservation
            if self._allocator.exhausted(account, tokens):
                raise BudgetExhaustedError(f'less than {tokens} tokens left')
            if await self._ask_peers(account, tokens):
                continue
            left = until - self._clock.now()
            if left <= 0 or self._hopeless(account, tokens):
                raise self._unreachable(account, tokens)
            await self._wait_round(left)

    def note_contact(self) -> None:
        """Write at once if the store, which has just answered, was lost."""
        if not self._reached:
            self._due.set()

    def settle(self, reservation: Reservation, tokens: int) -> None:
        """End a reservation with what the request has cost."""
        self._allocator.settle(reservation, tokens)

    async def run(self) -> None:
        """Write the ledger whenever it is due."""
        while True:
            # Also while nothing is written: idle time between two writes
            # would dilute the demand that comes after it.
            self._average()
            if self._wanted:
                await self._sync()
                await asyncio.sleep(SHORTAGE_SYNC_S * self._scale)
            period = SYNC_S * self._scale * self._chance.uniform(0.8, 1.2)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period):
                    await self._due.wait()
            self._due.clear()

    async def stop(self) -> None:
        """Give back the tokens that no open request may cost."""
        self._allocator.begin_shutdown()
        await self._sync()

    @property
    def _scale(self) -> float:
        """How much less often each VM of a large fleet writes."""
        return max(1.0, self._allocator.fleet_size / USUAL_FLEET)

    @property
    def _wanted(self) -> bool:
        """Whether a write would change anything."""
        changed = (
            self._allocator.has_unrecorded_tokens
            or self._allocator.has_shortage
        )
        return changed or self._outdated or not self._reached

    async def _ask_peers(self, account: str, tokens: int) -> bool:
        """Return whether other VMs have given enough tokens."""
        addresses = self._allocator.peers_by_grant(account)
        for address in addresses[:MOST_ASKED]:
            missing = tokens - self._allocator.available(account)
            if missing <= 0:
                break
            given = await self._peers.ask(address, account, missing)
            if given:
                self._allocator.transfer_in(account, given)
        return self._allocator.available(account) >= tokens

    def _hopeless(self, account: str, tokens: int) -> bool:
        """Return whether a write now would not bring the tokens."""
        if not self._reached or self._stalled:
            return True
        fresh = self.age_s < FRESH_S * self._scale
        return fresh and self._allocator.summary(account).obtainable < tokens

    @property
    def _stalled(self) -> bool:
        """Whether a write is under way that takes long."""
        if self._began_at is None:
            return False
        return self._clock.now() - self._began_at > STALLED_S * self._scale

    async def _wait_round(self, seconds: float) -> None:
        """Wait for the end of the next write, or some seconds."""
        self._due.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                async with self._round:
                    await self._round.wait()

    def _average(self) -> None:
        """Average the demand up to now."""
        now = self._clock.now()
        self._allocator.update_demand(now - self._ticked)
        self._ticked = now

    async def _sync(self) -> None:
        """Settle and renew the grants by one write."""
        self._due.clear()
        self._began_at = self._clock.now()
        self._outdated = False
        try:
            written = await self._write()
        except FuchsiaforkError as error:
            self._note_reached(reached=False, reason=str(error))
        else:
            self._note_reached(reached=True, reason='')
            self._note_written(written=written)
        self._began_at = None
        async with self._round:
            self._round.notify_all()

    def _note_written(self, *, written: bool) -> None:
        """Note when the ledger was written, or that it must be tried anew."""
        if written:
            self._synced_at = self._clock.now()
        else:
            self._log.warning('ledger_contended', writes=MOST_CONFLICTS)
            self.renew()

    async def _write(self) -> bool:
        """
        Read the record and write it anew until no other write interferes.

        :return: False if others wrote first each time.
        :raises StoreUnavailableError: if the store doesn't answer.
        """
        item = await self._store.read(LEDGER_KEY)
        for _ in range(MOST_CONFLICTS):
            current = await self._swap(item)
            if current is None:
                return True
            item = current
        return False

    async def _swap(self, item: Item) -> Item | None:
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
        for gone in retired:
            most = heapq.nlargest(
                MOST_LOGGED,
                gone.withheld.items(),
                key=operator.itemgetter(1),
            )
            self._log.warning(
                'predecessor_retired',
                holder=gone.holder,
                elapsed_s=gone.elapsed_s and round(gone.elapsed_s, 2),
                freed=gone.freed,
                withheld=sum(gone.withheld.values()),
                accounts=','.join(f'{name}:{left}' for name, left in most),
            )

    def _note_reached(self, *, reached: bool, reason: str) -> None:
        """Log when the ledger is lost or regained."""
        if reached != self._reached:
            kind = 'ledger_reached' if reached else 'ledger_lost'
            self._log.warning(kind, reason=reason)
        self._reached = reached

    def _unreachable(self, account: str, tokens: int) -> FuchsiaforkError:
        """Return what to tell a caller whose tokens are elsewhere."""
        place = 'other VMs' if self._reached else 'the store'
        have = self._allocator.available(account)
        summary = self._allocator.summary(account)
        return BudgetUnreachableError(
            f'{tokens} tokens needed, {have} at hand, more with {place}; '
            f'ledger {self.age_s:.1f} s old: {summary}',
            retry_after=RETRY_AFTER_S,
        )
