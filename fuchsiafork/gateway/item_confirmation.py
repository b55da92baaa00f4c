"""Confirms that no newer item is known before a refusal relies on that."""

import asyncio
from typing import Any

from fuchsiafork.gateway.item_replication import ItemReplication
from fuchsiafork.gateway.peers import CallLimits
from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.errors import StoreUnavailableError
from fuchsiafork.platform.store import HistoryGoneError, PlatformStore

# How long a confirmation holds for further requests.
CONFIRMATION_TTL_S = 0.5
PEER_TIMEOUT_S = 0.15
STORE_TIMEOUT_S = 0.5

_LIMITS = CallLimits(PEER_TIMEOUT_S, backoff_s=0)


class ItemConfirmation:
    """
    Asks another VM, and the store if that doesn't answer, for newer items.

    An answer to a watch may be lost, or late on a full link, so that a VM
    can't tell an unknown route from a new one by itself.
    """

    def __init__(
        self,
        prefix: str,
        items: ItemReplication,
        store: PlatformStore,
        clock: Clock,
        log: Any,
    ) -> None:
        """Confirm the items under a prefix."""
        self._prefix = prefix
        self._items = items
        self._store = store
        self._clock = clock
        self._log = log
        self._confirmed_until = clock.now()
        self._call: asyncio.Task[bool] | None = None

    async def confirm(self) -> bool:
        """
        Apply the newest items; return False if nobody could be asked.

        Requests that ask at the same time share one call.
        """
        if self._clock.now() < self._confirmed_until:
            return True
        if self._call is None:
            self._call = asyncio.create_task(self._ask())
            self._call.add_done_callback(self._end_call)
        return await asyncio.shield(self._call)

    def _end_call(self, call: asyncio.Task[bool]) -> None:
        """Keep a confirmation for a while."""
        self._call = None
        if not call.cancelled() and not call.exception() and call.result():
            self._confirmed_until = self._clock.now() + CONFIRMATION_TTL_S

    async def _ask(self) -> bool:
        """Ask another VM, then the store; return whether one answered."""
        address = self._items.source_address
        if address and await self._items.fetch(address, 0, _LIMITS):
            return True
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                changes = await self._store.watch(
                    self._prefix, self._items.revision, 0
                )
        except (StoreUnavailableError, HistoryGoneError, TimeoutError) as error:
            self._log.warning('configuration_unconfirmed', reason=repr(error))
            return False
        return self._items.apply(changes)


__all__ = ('ItemConfirmation',)
