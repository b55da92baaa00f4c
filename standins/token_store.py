"""A model of the store's ledger record, with latency and outages."""

import asyncio
import dataclasses

from fuchsiafork.gateway.prepaid_tokens import LEDGER_KEY
from fuchsiafork.platform.store import CALL_TIMEOUT_S, StoreOutcomeUnknownError
from fuchsiafork.platform.store_items import Item, Swap
from fuchsiafork.prepaid import Ledger, decode_ledger

_BITS_PER_BYTE = 8


@dataclasses.dataclass(slots=True)
class StoreCalls:
    """
    Calls that the store answered.

    :ivar conflicts: writes among ``writes`` that were not stored.
    """

    reads: int = 0
    writes: int = 0
    conflicts: int = 0

    @property
    def total(self) -> int:
        """All calls."""
        return self.reads + self.writes


class LedgerStore:
    """
    The stored ledger record.

    :ivar away: whether the store answers nobody.
    """

    def __init__(self, call_s: float) -> None:
        """
        Start without a record.

        :param call_s: time of one call without the transfer of its content.
        """
        self.call_s = call_s
        self.item = Item(LEDGER_KEY, 1, None)
        self.calls = StoreCalls()
        self.away = False

    def ledger(self) -> Ledger:
        """Return the stored ledger."""
        return decode_ledger(self.item.value or b'')


class StoreClient:
    """One VM's client of the ledger record."""

    def __init__(self, store: LedgerStore, link_mbps: float) -> None:
        """
        Call a store over a link.

        :param link_mbps: bandwidth of the link, Mbit/s.
        """
        self.era = None
        self._store = store
        self._bytes_per_s = link_mbps * 1e6 / _BITS_PER_BYTE

    async def read(self, key: str) -> Item:
        """
        Read the record.

        :raises StoreUnavailableError: if the store is away.
        """
        await self._travel(b'')
        self._store.calls.reads += 1
        item = self._store.item
        await self._travel(item.value)
        return item

    async def swap(self, key: str, revision: int, value: bytes) -> Swap:
        """
        Write the record if it still has the expected revision.

        :raises StoreUnavailableError: if the store is away.
        """
        await self._travel(value)
        calls = self._store.calls
        calls.writes += 1
        current = self._store.item
        if current.revision != revision:
            calls.conflicts += 1
            await self._travel(current.value)
            return Swap(0, (current,))
        self._store.item = Item(key, revision + 1, value)
        await self._travel(b'')
        return Swap(revision + 1)

    async def _travel(self, content: bytes | None) -> None:
        """
        Transfer a call or its answer.

        :raises StoreUnavailableError: if the store is away.
        """
        transfer_s = len(content or b'') / self._bytes_per_s
        await asyncio.sleep(self._store.call_s / 2 + transfer_s)
        if self._store.away:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise StoreOutcomeUnknownError('no answer')


__all__ = ('LedgerStore', 'StoreCalls', 'StoreClient')
