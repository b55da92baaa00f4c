"""Follows the items under a prefix of the platform's store."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.errors import StoreUnavailableError
from fuchsiafork.platform.store import Changes, HistoryGoneError, PlatformStore

# Seconds that a watch waits at the store for a change.
WATCH_S = 15.0
# Seconds between two tries while the store doesn't answer.
RETRY_S = 0.3


class Watcher:
    """
    Lists a prefix once, and watches it from there.

    :ivar synced: whether the last call was answered.
    :ivar regained: time at which contact came back, seconds.
    """

    def __init__(
        self,
        prefix: str,
        store: PlatformStore,
        clock: Clock,
        chance: random.Random,
        log: Any,
    ) -> None:
        """Watch a prefix, not yet."""
        self.synced = False
        self.regained = clock.now()
        self._prefix = prefix
        self._store = store
        self._clock = clock
        self._chance = chance
        self._log = log
        self._revision = 0

    async def run(
        self,
        take_all: Callable[[Changes], None],
        take_some: Callable[[Changes], None],
    ) -> None:
        """Call one function with each listing, another with each change."""
        listed = False
        while True:
            try:
                await self._step(take_some if listed else take_all, listed)
                listed = True
                self._note(synced=True)
            except HistoryGoneError:
                listed = False
                self._log.info('history_gone', prefix=self._prefix)
            except StoreUnavailableError as error:
                self._note(synced=False, reason=str(error))
                await asyncio.sleep(RETRY_S * self._chance.uniform(0.5, 1.5))

    async def _step(
        self,
        take: Callable[[Changes], None],
        listed: bool,
    ) -> None:
        """List or watch once."""
        if listed:
            changes = await self._store.watch(
                self._prefix,
                self._revision,
                WATCH_S,
            )
        else:
            changes = await self._store.list_items(self._prefix)
        self._revision = changes.revision
        take(changes)

    def _note(self, *, synced: bool, reason: str = '') -> None:
        """Log when contact with the store is lost or regained."""
        if synced != self.synced:
            kind = 'store_reached' if synced else 'store_lost'
            self._log.info(kind, prefix=self._prefix, reason=reason)
            self.regained = self._clock.now()
        self.synced = synced
