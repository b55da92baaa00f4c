"""Writes one process's use and grants of prepaid tokens into the ledger."""

import asyncio
import contextlib
import heapq
import operator
import random
from collections.abc import Callable
from typing import Any

from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.errors import (
    FuchsiaforkError,
    StoreUnavailableError,
)
from fuchsiafork.platform.store import (
    Item,
    PlatformStore,
    StoreOutcomeUnknownError,
)
from fuchsiafork.prepaid import (
    Ledger,
    RetiredHolder,
    TokenAllocator,
    decode_ledger,
    encode_ledger,
)

LEDGER_KEY = 'fuchsiafork/ledger'
# Fleet size up to which each VM writes at the full rate. All VMs write the
# same record, so each VM of a larger fleet writes less often and the total
# rate of writes stays constant.
FULL_RATE_FLEET_SIZE = 8
# Time between two writes while tokens are used.
WRITE_INTERVAL_S = 1.5
# Shortest time between two writes, used while requests wait for tokens.
MIN_WRITE_INTERVAL_S = 0.1
# Time over which the writes of all holders are spread when they have the same
# cause, for each holder.
WRITE_SPREAD_S = 0.1
# Time over which further attempts are spread after two conflicts in a row, for
# each holder.
CONFLICT_SPREAD_S = 0.02
# Attempts in a row when other VMs write the record concurrently.
MAX_WRITE_ATTEMPTS = 6
# A write that takes longer than this indicates an unresponsive store.
STALLED_WRITE_S = 0.5
# Maximum age of a record that is recent enough to refuse a request for lack of
# free tokens without another write.
FRESH_RECORD_S = 0.8
# Accounts whose withheld tokens are listed in the log line on a predecessor.
MAX_LOGGED_ACCOUNTS = 12


class LedgerSync:
    """
    Settles used tokens and renews the grants of an allocator.

    :ivar store_reachable: whether the store answered the last call.
    """

    def __init__(
        self,
        allocator: TokenAllocator,
        store: PlatformStore,
        clock: Clock,
        rng: random.Random,
        log: Any,
        count_known_holders: Callable[[], int],
    ) -> None:
        """
        Start before the first write, with the store marked unreachable.

        :param count_known_holders: returns the number of VMs that are known
            to hold grants.
        """
        self.store_reachable = False
        self._allocator = allocator
        self._store = store
        self._clock = clock
        self._rng = rng
        self._log = log
        self._count_known_holders = count_known_holders
        self._write_requested = False
        self._write_due = asyncio.Event()
        self._finished = asyncio.Condition()
        self._started_at: float | None = None
        self._last_synced_at = -FRESH_RECORD_S
        self._granted = False
        self._demand_updated_at = clock.now()

    @property
    def granted(self) -> bool:
        """Whether a write has given this process grants."""
        return self._granted

    @property
    def record_age_s(self) -> float:
        """Seconds since the last successful ledger write."""
        return self._clock.now() - self._last_synced_at

    @property
    def record_is_fresh(self) -> bool:
        """Whether the known record is recent enough to refuse a request."""
        return self.record_age_s < FRESH_RECORD_S * self._interval_factor

    @property
    def stalled(self) -> bool:
        """Whether the write in progress takes too long."""
        if self._started_at is None:
            return False
        return (
            self._clock.now() - self._started_at
            > STALLED_WRITE_S * self._interval_factor
        )

    def request_write(self) -> None:
        """Schedule a write even if no tokens were used."""
        self._write_requested = True
        self._write_due.set()

    def hasten(self) -> None:
        """Start the next write as soon as possible, if one is needed."""
        self._write_due.set()

    def spread_write(self) -> None:
        """Schedule a write for a reason that all holders have at once."""
        if not self._allocator.holding:
            self.request_write()
            return
        self._write_requested = True
        delay_s = self._rng.uniform(0, WRITE_SPREAD_S * (self._holders - 1))
        asyncio.get_running_loop().call_later(delay_s, self._write_due.set)

    async def run(self) -> None:
        """Write periodically and on demand until cancelled."""
        while True:
            # Update the demand even if nothing is written: otherwise the idle
            # time between two writes would dilute the demand that follows.
            self._update_demand()
            if self._write_needed:
                await self.sync()
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

    async def sync(self) -> None:
        """Settle used tokens and renew the grants by a write."""
        self._write_due.clear()
        self._started_at = self._clock.now()
        self._write_requested = False
        try:
            written = await self._write_ledger()
        except FuchsiaforkError as error:
            self.set_store_reachable(reachable=False, reason=str(error))
        else:
            self.set_store_reachable(reachable=True, reason='')
            self._note_result(written=written)
        self._started_at = None
        async with self._finished:
            self._finished.notify_all()

    async def wait_for_end(self, seconds: float) -> None:
        """Trigger a write and wait for its end, up to a timeout."""
        self._write_due.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                async with self._finished:
                    await self._finished.wait()

    def set_store_reachable(self, *, reachable: bool, reason: str) -> None:
        """Set whether the store is reachable, and log changes."""
        if reachable != self.store_reachable:
            kind = 'ledger_reached' if reachable else 'ledger_lost'
            self._log.warning(kind, reason=reason)
        self.store_reachable = reachable

    @property
    def _holders(self) -> int:
        """Number of VMs that may write the record."""
        return max(self._allocator.fleet_size, self._count_known_holders())

    @property
    def _interval_factor(self) -> float:
        """Factor by which a VM of a large fleet extends its write interval."""
        return max(1.0, self._allocator.fleet_size / FULL_RATE_FLEET_SIZE)

    @property
    def _write_needed(self) -> bool:
        """Whether there is anything to write."""
        if not self._allocator.holding:
            return (
                self._allocator.has_ledger_entries or not self.store_reachable
            )
        changed = (
            self._allocator.has_unrecorded_tokens
            or self._allocator.has_shortage
        )
        return changed or self._write_requested or not self.store_reachable

    def _update_demand(self) -> None:
        """Update the moving average of the demand."""
        now = self._clock.now()
        self._allocator.update_demand(now - self._demand_updated_at)
        self._demand_updated_at = now

    def _note_result(self, *, written: bool) -> None:
        """Record the time of a write, or schedule another attempt."""
        if written:
            self._last_synced_at = self._clock.now()
            self._granted = self._granted or self._allocator.has_grants
        else:
            self._log.warning('ledger_contended', writes=MAX_WRITE_ATTEMPTS)
            self.request_write()

    async def _write_ledger(self) -> bool:
        """
        Read and update the record, retrying after conflicting writes.

        :return: False if every attempt conflicted with another VM's write.
        :raises StoreUnavailableError: if the store doesn't answer.
        """
        item = await self._store.read(LEDGER_KEY)
        if not self._must_write(item):
            return True
        for attempt in range(MAX_WRITE_ATTEMPTS):
            current = await self._compare_and_swap(item)
            if current is None:
                return True
            item = await self._next_record(attempt, current)
        return False

    async def _next_record(self, attempt: int, current: Item) -> Item:
        """
        Return the record to change after a conflict.

        Where many VMs write at once, each success makes the writes of all
        others conflict, so that from the second conflict on they retry at
        random times.

        :param attempt: number of attempts before the one that conflicted.
        :raises StoreUnavailableError: if the store doesn't answer.
        """
        if not attempt:
            return current
        longest_s = CONFLICT_SPREAD_S * self._holders
        await asyncio.sleep(self._rng.uniform(0, longest_s))
        return await self._store.read(LEDGER_KEY)

    def _must_write(self, item: Item) -> bool:
        """Return whether this VM has anything to change in the record."""
        if self._allocator.holding:
            return True
        self._apply_record(item)
        return self._allocator.has_ledger_entries

    def _apply_record(self, item: Item) -> Ledger:
        """Return the stored record with what this process knows of it."""
        ledger = decode_ledger(item.value or b'')
        self._allocator.start_era(self._store.era or 0)
        lost = self._allocator.apply_record(ledger, item.revision)
        if lost:
            self._log.warning(
                'ledger_parts_restored',
                revision=item.revision,
                era=self._store.era,
                holders=','.join(lost),
            )
        return ledger

    async def _compare_and_swap(self, item: Item) -> Item | None:
        """Write once; return the current record if the write conflicted."""
        era = self._store.era
        ledger = self._apply_record(item)
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
        if self._store.era != era:
            raise StoreOutcomeUnknownError('the store came back from a copy')
        if swap.revision:
            self._allocator.confirm_write(change, ledger)
            self._log_retired(change.retired)
            return None
        self._allocator.discard_write(change)
        if swap.current:
            return swap.current[0]
        return await self._store.read(LEDGER_KEY)

    def _log_retired(self, retired: list[RetiredHolder]) -> None:
        """Log how the tokens of earlier processes of this VM were resolved."""
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


__all__ = ('LEDGER_KEY', 'MAX_WRITE_ATTEMPTS', 'LedgerSync')
