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
    Lists a prefix, and watches it from there.

    :ivar synced: whether the last call was answered.
    :ivar regained: time at which contact came back, seconds.
    :ivar contact: time of the last answer, seconds.
    """

    def __init__(
        self,
        prefix: str,
        store: PlatformStore,
        clock: Clock,
        chance: random.Random,
        log: Any,
        *,
        newest_only: bool = False,
    ) -> None:
        """
        Watch a prefix, not yet.

        :param newest_only: whether to list anew after a loss of contact,
            for items that are large and of which only the newest counts.
        """
        self._newest_only = newest_only
        self.synced = False
        self.regained = clock.now()
        self.contact = clock.now()
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
                changes = await self._ask(listed=listed)
            except HistoryGoneError:
                listed = False
                self._log.info('history_gone', prefix=self._prefix)
            except StoreUnavailableError as error:
                self._note(synced=False, reason=str(error))
                listed = listed and not self._newest_only
                await asyncio.sleep(RETRY_S * self._chance.uniform(0.5, 1.5))
            else:
                self._note(synced=True)
                take = take_some if listed else take_all
                take(changes)
                listed = True

    async def _ask(self, *, listed: bool) -> Changes:
        """Return what a listing or a watch brings."""
        if listed:
            # The first watch after a loss only tells that contact is back.
            wait = WATCH_S if self.synced else 0.0
            changes = await self._store.watch(
                self._prefix,
                self._revision,
                wait,
            )
        else:
            changes = await self._store.list_items(self._prefix)
        self._revision = changes.revision
        self.contact = self._clock.now()
        return changes

    def _note(self, *, synced: bool, reason: str = '') -> None:
        """Log when contact with the store is lost or regained."""
        if synced != self.synced:
            kind = 'store_reached' if synced else 'store_lost'
            self._log.warning(
                kind,
                prefix=self._prefix,
                revision=self._revision,
                reason=reason,
            )
            self.regained = self._clock.now()
        self.synced = synced
