"""Follows the items under a key prefix of the platform's store."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.errors import StoreUnavailableError
from fuchsiafork.platform.store import Changes, HistoryGoneError, PlatformStore

# Time that a watch call waits for a change, unless it is set otherwise.
WATCH_WAIT_S = 15.0
# Delay between two calls while the store doesn't answer: at random up to the
# first value, which doubles with each call up to the second.
RETRY_DELAY_S = 0.4
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.6
MAX_DOUBLINGS = 8
# Time between a change and the next call, which collects further changes:
# otherwise each change of one item costs one call of each VM.
BATCH_INTERVAL_S = 0.2
# Values that are received for longer than this could pile up on the link if
# each change of them were followed.
SLOW_TRANSFER_S = 0.1
# Time before they are listed again, which leaves the link to requests.
RELIST_PAUSE_S = 0.3


class Watcher:
    """
    Lists the items under a prefix, then watches for changes.

    :ivar connected: whether the last call was answered.
    :ivar connection_changed_at: time at which the connection to the store was
        last lost or restored, seconds.
    :ivar last_contact_at: time of the last answer, seconds.
    :ivar wait_s: seconds for which the next calls wait for a change. A call
        whose answer is lost is repeated only after that.
    :ivar transfer_s: seconds for which the last items were received.
    """

    def __init__(
        self,
        prefix: str,
        store: PlatformStore,
        clock: Clock,
        rng: random.Random,
        log: Any,
        *,
        newest_only: bool = False,
        batch_interval_s: float = BATCH_INTERVAL_S,
    ) -> None:
        """
        Prepare to watch a prefix.

        :param batch_interval_s: seconds between a change and the next call.
        :param newest_only: whether only the newest value of an item matters.
            A watch returns each value meanwhile, so that the items are listed
            instead after the connection was lost, and after a change that
            took long to receive until a listing shows no newer one.
        """
        self._newest_only = newest_only
        self._batch_interval_s = batch_interval_s
        self.wait_s = WATCH_WAIT_S
        self.connected = False
        self.connection_changed_at = clock.now()
        self.last_contact_at = clock.now()
        self.transfer_s = 0.0
        self._prefix = prefix
        self._store = store
        self._clock = clock
        self._rng = rng
        self._log = log
        self._revision = 0
        # Era of the store in which the revisions count.
        self._era = 0
        self._newest_item = 0
        # Calls in a row that failed.
        self._failures = 0
        self._listed = False
        self._call_limit = asyncio.timeout(None)
        self._caller: asyncio.Task[Any] | None = None

    def advance(self, revision: int, era: int) -> None:
        """
        Go on from a revision whose changes another source has brought.

        A call that may bring older ones is given up.
        """
        if era != self._era or revision <= self._revision:
            return
        self._revision = revision
        self._listed = True
        self._give_up_call()

    def start_era(self, era: int) -> None:
        """List all items, as the store gives their revisions out again."""
        if era == self._era:
            return
        self._listed = False
        if self._caller is not asyncio.current_task():
            self._give_up_call()

    async def run(
        self,
        on_listing: Callable[[Changes], None],
        on_changes: Callable[[Changes], None],
    ) -> None:
        """Pass each listing and each later batch of changes to a callback."""
        while True:
            listed = self._listed
            try:
                changes = await self._make_call(listed=listed)
            except HistoryGoneError:
                self._listed = False
                self._log.info('history_gone', prefix=self._prefix)
            except StoreUnavailableError as error:
                self._set_connected(connected=False, reason=str(error))
                self._listed = listed and not self._newest_only
                await asyncio.sleep(self._retry_delay_s())
            else:
                if changes is None:
                    continue
                self._set_connected(connected=True)
                self._log_slow_transfer(changes, listed=listed)
                self._apply(on_changes if listed else on_listing, changes)
                self._listed = not (
                    self._newest_only and self._falls_behind(changes)
                )
                await asyncio.sleep(self._pause_s(changes))

    async def _make_call(self, *, listed: bool) -> Changes | None:
        """Return the answer of the next call, None if it was given up."""
        self._call_limit = asyncio.timeout(None)
        self._caller = asyncio.current_task()
        try:
            async with self._call_limit:
                return await self._fetch(listed=listed)
        except TimeoutError:
            return None
        finally:
            self._caller = None

    def _give_up_call(self) -> None:
        """End the call under way, if any, without an answer."""
        if self._caller is not None and not self._call_limit.expired():
            self._call_limit.reschedule(asyncio.get_running_loop().time())

    def _apply(
        self, callback: Callable[[Changes], None], changes: Changes
    ) -> None:
        """Pass changes on; later ones are passed on even if that fails."""
        try:
            callback(changes)
        except Exception:
            self._log.exception(
                'changes_unapplied',
                prefix=self._prefix,
                revision=changes.revision,
            )

    async def _fetch(self, *, listed: bool) -> Changes:
        """Return all items, or the changes since the last call if listed."""
        if listed:
            # The first watch after a loss returns at once, to detect that the
            # store answers again.
            wait_s = self.wait_s if self.connected else 0.0
            changes = await self._store.watch(
                self._prefix,
                self._revision,
                wait_s,
            )
            if changes.era != self._era:
                raise HistoryGoneError(self._prefix)
        else:
            changes = await self._store.list_items(self._prefix)
            self._set_era(changes.era)
        self._failures = 0
        self._revision = changes.revision
        if changes.items:
            self.transfer_s = changes.transfer_s
        self.last_contact_at = self._clock.now()
        return changes

    def _set_era(self, era: int) -> None:
        """Set the era of the revisions; a new one is a loss of contact."""
        if era != self._era:
            self._era = era
            self._newest_item = 0
            self.connection_changed_at = self._clock.now()

    def _retry_delay_s(self) -> float:
        """Return the seconds until the next call after one that failed."""
        longest = min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2**self._failures)
        self._failures = min(self._failures + 1, MAX_DOUBLINGS)
        return self._rng.uniform(MIN_RETRY_DELAY_S, longest)

    def _pause_s(self, changes: Changes) -> float:
        """Return the seconds until the next call."""
        if not self._listed:
            return RELIST_PAUSE_S
        return self._batch_interval_s if changes.items else 0.0

    def _falls_behind(self, changes: Changes) -> bool:
        """Return whether further changes may have arrived during a call."""
        newest = max((item.revision for item in changes.items), default=0)
        changed = newest > self._newest_item
        self._newest_item = max(self._newest_item, newest)
        return changed and changes.transfer_s > SLOW_TRANSFER_S

    def _log_slow_transfer(self, changes: Changes, *, listed: bool) -> None:
        """Log an answer that took long to receive."""
        if changes.transfer_s > SLOW_TRANSFER_S:
            self._log.info(
                'slow_transfer',
                prefix=self._prefix,
                listing=not listed,
                items=len(changes.items),
                revision=changes.revision,
                transfer_s=round(changes.transfer_s, 2),
            )

    def _set_connected(self, *, connected: bool, reason: str = '') -> None:
        """Set the connection state; log and time its changes."""
        if connected != self.connected:
            event = 'store_reached' if connected else 'store_lost'
            self._log.warning(
                event,
                prefix=self._prefix,
                revision=self._revision,
                reason=reason,
            )
            self.connection_changed_at = self._clock.now()
        self.connected = connected
