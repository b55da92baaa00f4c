"""Follows the items under a key prefix of the platform's store."""

import asyncio
import random
import typing
from collections.abc import Callable
from typing import Any

from fuchsiafork.freshness import (
    CHECK_WAIT_S,
    KnownChanges,
    Position,
    WatchTiming,
)
from fuchsiafork.gateway.store_outage import StoreOutage
from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.errors import StoreUnavailableError
from fuchsiafork.platform.store import (
    Changes,
    HistoryGoneError,
    PlatformStore,
    StoreOutcomeUnknownError,
)

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


class Recorder(typing.Protocol):
    """Keeps the items under a prefix for other VMs."""

    def on_listing(self, changes: Changes) -> None:
        """Record a complete listing."""

    def on_changes(self, changes: Changes) -> None:
        """Record changes."""


class Watcher:
    """
    Lists the items under a prefix, then watches for changes.

    While another VM brings the changes, it makes no calls to the store.

    :ivar prefix: prefix of the items that it follows.
    :ivar connection_changed_at: time at which the connection to the store was
        last lost or restored, seconds.
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
        check_wait_s: float = CHECK_WAIT_S,
        outage: StoreOutage | None = None,
    ) -> None:
        """
        Prepare to watch a prefix.

        :param outage: shared with the watchers of other prefixes, so that one
            of them finds out when the store answers again.

        :param batch_interval_s: seconds between a change and the next call.
        :param check_wait_s: seconds for which a call waits for a change while
            this VM checks that it knows the newest one.
        :param newest_only: whether only the newest value of an item matters.
            A watch returns each value meanwhile, so that the items are listed
            instead after the connection was lost, and after a change that
            took long to receive until a listing shows no newer one.
        """
        self._newest_only = newest_only
        self._batch_interval_s = batch_interval_s
        self.connection_changed_at = clock.now()
        self.transfer_s = 0.0
        self.prefix = prefix
        self._timing = WatchTiming(clock, check_wait_s)
        self._known = KnownChanges(clock)
        self._on_news: Callable[[], None] = _ignore_news
        self._store = store
        self._clock = clock
        self._rng = rng
        self._log = log
        self._newest_item = 0
        # Calls in a row that failed.
        self._failures = 0
        self._listed = False
        self._call_limit = asyncio.timeout(None)
        self._caller: asyncio.Task[Any] | None = None
        self._outage = outage or StoreOutage()
        # Whether another VM brings the changes.
        self._following = False
        self._resumed = asyncio.Event()
        self._on_changes: Callable[[Changes], None] = _ignore_changes
        self._recorder: Recorder | None = None

    @property
    def connected(self) -> bool:
        """Whether the last call was answered."""
        return self._timing.connected

    @property
    def position(self) -> Position:
        """Up to which revision the changes are known."""
        return self._known.position

    @property
    def confirmed_at(self) -> float:
        """Time at which no newer change was known to exist, seconds."""
        return self._known.confirmed_at

    def set_on_news(self, on_news: Callable[[], None]) -> None:
        """Call a function after each change."""
        self._on_news = on_news

    def set_recorder(self, recorder: Recorder) -> None:
        """Pass all changes to a recorder first."""
        self._recorder = recorder

    def confirm(self, position: Position) -> None:
        """Record that another VM knows no newer change, as it says."""
        self._known.confirm(position)

    def set_following(self, *, following: bool) -> None:
        """
        Set whether another VM brings the changes, in place of the store.

        Items that were never listed are listed all the same. Afterwards the
        store is asked at once for the changes that the VM didn't bring.
        """
        if following == self._following:
            return
        self._following = following
        if following:
            self._give_up_call()
            return
        self._timing.refreshing = True
        self._outage.end()
        self._resumed.set()

    def set_checking(self, *, checking: bool) -> None:
        """Set whether this VM itself checks that it knows all changes."""
        started = checking and not self._timing.checking
        self._timing.checking = checking
        if started:
            self.refresh()

    def refresh(self) -> None:
        """
        Ask for the changes so far if a call waits for changes.

        Its answer may have been lost.
        """
        if self.connected and self._listed and self._timing.wait_s:
            self._timing.refreshing = True
            self._give_up_call()

    def advance(
        self, revision: int, era: int, changed_revision: int = 0
    ) -> None:
        """
        Go on from a revision whose changes another source has brought.

        A call that may bring older ones is given up.

        :param changed_revision: revision of the newest one of these changes.
        """
        if era != self._known.era or revision <= self._known.revision:
            return
        self._known.advance(revision, changed_revision)
        self._listed = True
        self._give_up_call()
        self._on_news()

    def start_era(self, era: int) -> None:
        """List all items, as the store gives their revisions out again."""
        if era == self._known.era:
            return
        self._listed = False
        self._resumed.set()
        if self._caller is not asyncio.current_task():
            self._give_up_call()

    def apply_changes(
        self,
        changes: Changes,
        changed_revision: int,
        apply: Callable[[Changes], None] | None = None,
    ) -> None:
        """
        Apply changes that another source has brought.

        :param changed_revision: revision of the newest one.
        :param apply: applies them; None to handle them like the store's.
        """
        self._apply(apply or self._on_changes, changes)
        self.advance(changes.revision, changes.era, changed_revision)

    async def run(
        self,
        on_listing: Callable[[Changes], None],
        on_changes: Callable[[Changes], None],
    ) -> None:
        """Pass each listing and each later batch of changes to a callback."""
        self._on_changes = on_changes
        while True:
            await self._wait_for_store()
            listed = self._listed
            try:
                changes = await self._make_call(listed=listed)
            except HistoryGoneError:
                self._listed = False
                self._log.info('history_gone', prefix=self.prefix)
            except StoreUnavailableError as error:
                if listed and self._is_overdue(error):
                    continue
                self._set_connected(connected=False, reason=str(error))
                self._listed = listed and not self._newest_only
                await self._outage.wait(self.prefix, self._retry_delay_s())
            else:
                if changes is None:
                    continue
                self._outage.end()
                self._set_connected(connected=True)
                self._log_slow_transfer(changes, listed=listed)
                self._record(changes, listed=listed)
                self._apply(on_changes if listed else on_listing, changes)
                if changes.items or not listed:
                    self._on_news()
                self._listed = not (
                    self._newest_only and self._falls_behind(changes)
                )
                await asyncio.sleep(self._pause_s(changes))

    async def _wait_for_store(self) -> None:
        """Wait while another VM brings the changes of listed items."""
        while self._following and self._listed:
            self._resumed.clear()
            await self._resumed.wait()

    def _record(self, changes: Changes, *, listed: bool) -> None:
        """Pass changes to the recorder."""
        recorder = self._recorder
        if recorder is not None:
            record = recorder.on_changes if listed else recorder.on_listing
            self._apply(record, changes)

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
                prefix=self.prefix,
                revision=changes.revision,
            )

    async def _fetch(self, *, listed: bool) -> Changes:
        """Return all items, or the changes since the last call if listed."""
        if listed:
            changes = await self._watch()
        else:
            changes = await self._store.list_items(self.prefix)
            self._record_listing(changes)
        self._failures = 0
        if changes.items:
            self.transfer_s = changes.transfer_s
        return changes

    async def _watch(self) -> Changes:
        """
        Return the changes since the last call.

        :raises HistoryGoneError: if the store doesn't have them any more.
        """
        timing = self._timing
        wait_s = timing.wait_s
        timing.start()
        changes = await self._store.watch(
            self.prefix, self._known.revision, wait_s, timing.margin_s
        )
        timing.record_answer(waited=wait_s > 0)
        if changes.era != self._known.era:
            raise HistoryGoneError(self.prefix)
        revisions = {item.key: item.revision for item in changes.items}
        deleted = (item.key for item in changes.items if item.value is None)
        self._known.record_changes(revisions, deleted, changes.revision)
        return changes

    def _is_overdue(self, error: StoreUnavailableError) -> bool:
        """Return whether to ask once more before the store counts as lost."""
        lost = isinstance(error, StoreOutcomeUnknownError)
        if not lost or not self._timing.record_no_answer():
            return False
        self._log.info(
            'watch_overdue', prefix=self.prefix, revision=self._known.revision
        )
        return True

    def _record_listing(self, changes: Changes) -> None:
        """Record the revisions of a listing; a new era is a loss of contact."""
        if changes.era != self._known.era:
            self._known.start_era(changes.era)
            self._newest_item = 0
            self.connection_changed_at = self._clock.now()
        revisions = {item.key: item.revision for item in changes.items}
        self._known.record_listing(revisions, changes.revision)

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
                prefix=self.prefix,
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
                prefix=self.prefix,
                revision=self._known.revision,
                reason=reason,
            )
            self.connection_changed_at = self._clock.now()
        if connected:
            self._timing.connected = True
        else:
            self._timing.record_loss()


def _ignore_news() -> None:
    """Do nothing; used if nobody waits for changes."""


def _ignore_changes(changes: Changes) -> None:
    """Do nothing; used before the watcher runs."""
