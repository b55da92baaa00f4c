"""Notices changes in the store whose notification was lost."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from fuchsiafork.freshness import (
    Inquiry,
    Position,
    decode_inquiry,
    decode_positions,
    encode_inquiry,
    encode_positions,
    find_sources,
)
from fuchsiafork.gateway.peers import (
    OK_STATUS,
    CallLimits,
    Peers,
    PeerSilentError,
)
from fuchsiafork.gateway.watcher import Watcher
from fuchsiafork.kernel.decoding import DECODE_ERRORS
from fuchsiafork.prepaid import HolderSlots

FEEDS_PATH = '/feeds'
# Key by which the VMs that hold grants are ranked.
RANKING_KEY = 'feeds'
# Time that a call waits for a change at another VM.
WAIT_S = 1.0
# Time for its answer.
ANSWER_TIMEOUT_S = 0.4
# A VM that doesn't know for longer whether it has missed a change can't tell
# others.
MAX_SOURCE_AGE_S = 3.0
# The same for a VM that is followed, where changes must be applied in time.
MAX_FOLLOWED_AGE_S = 2.0
MIN_WAIT_S = 0.1
# Time in which the store's own notification of a change arrives after another
# VM's.
NOTIFICATION_SPREAD_S = 0.25
# Time between two attempts to ask other VMs while this VM asks the store.
RETRY_INTERVAL_S = 1.0
# Time between changes that another VM brings and the next call, which collects
# further changes.
BATCH_INTERVAL_S = 0.1

# Other calls go on to a VM whose answer to this one is late.
_LIMITS = CallLimits(WAIT_S + ANSWER_TIMEOUT_S, backoff_s=0)

# Obtains the changes that the VM at an address knows; returns whether it did.
Fetch = Callable[[str], Coroutine[Any, Any, bool]]


@dataclasses.dataclass(frozen=True, slots=True)
class Feed:
    """
    Changes under a prefix of the store.

    :ivar fetch: obtains them from another VM.
    :ivar urgent: whether its changes must be applied within some seconds.
    """

    watcher: Watcher
    fetch: Fetch
    urgent: bool = False


class FeedCheck:
    """
    Compares with other VMs up to which revision each feed is known.

    The VM that all others ask makes calls to the store that wait only briefly.
    A VM that nobody answers does the same.

    A VM that occupies no slot follows the VM that it asks instead of the store,
    until a call to it fails. So the calls to the store grow with the slots and
    not with the VMs, and large values reach narrow links as differences.
    """

    def __init__(
        self,
        own_address: str,
        feeds: Sequence[Feed],
        slots: HolderSlots,
        peers: Peers,
        count: Callable[[str], None],
        log: Any,
    ) -> None:
        """
        Answer the calls of other VMs.

        :param own_address: address of this VM for calls from others, IP:PORT.
        :param slots: names the VMs to ask.
        :param count: called with the prefix of each feed that lacked a change.
        """
        self._own_address = own_address
        self._feeds = {feed.watcher.prefix: feed for feed in feeds}
        self._slots = slots
        self._peers = peers
        self._count = count
        self._log = log
        self._news = asyncio.Event()
        self._source_address = ''
        # Age of what the VM that is followed knows.
        self._source_age_s = 0.0
        for feed in feeds:
            feed.watcher.set_on_news(self._notify)
        peers.register(FEEDS_PATH, self._handle)

    @property
    def source_address(self) -> str:
        """Address of the VM that is followed, empty if the store is."""
        return self._source_address

    async def run(self) -> None:
        """Ask one VM after the other, or the store, until cancelled."""
        # What was just listed needs no check.
        await asyncio.sleep(RETRY_INTERVAL_S)
        asked = 0
        while True:
            sources = self._sources()
            if asked >= len(sources):
                asked = 0
                self._set_source('')
                self._set_checking(checking=True)
                await asyncio.sleep(RETRY_INTERVAL_S)
            elif await self._ask(sources[asked]):
                self._set_checking(checking=False)
                holds_slot = self._slots.own_slot is not None
                self._set_source('' if holds_slot else sources[asked])
            else:
                asked += 1
                self._set_source('')

    def _sources(self) -> list[str]:
        """Return the addresses of the VMs to ask."""
        return find_sources(
            self._own_address,
            self._slots.ranked_addresses(RANKING_KEY),
            self._slots.addresses_for(self._own_address),
        )

    def _set_checking(self, *, checking: bool) -> None:
        """Set whether this VM asks the store whether it lacks a change."""
        for feed in self._feeds.values():
            feed.watcher.set_checking(checking=checking)

    def _set_source(self, address: str) -> None:
        """
        Set which VM brings the changes.

        :param address: its address, empty if the store does.
        """
        if address == self._source_address:
            return
        self._source_address = address
        self._log.info('feeds_followed', source=address or 'store')
        for feed in self._feeds.values():
            feed.watcher.set_following(following=bool(address))

    async def _ask(self, address: str) -> bool:
        """Catch up with another VM; return whether it knows all changes."""
        inquiry = Inquiry(self._wait_s(), self._positions())
        try:
            answer = await self._peers.call(
                address, FEEDS_PATH, encode_inquiry(inquiry), _LIMITS
            )
        except PeerSilentError:
            return False
        if answer.status != OK_STATUS:
            return False
        try:
            positions = decode_positions(answer.body)
        except DECODE_ERRORS as error:
            self._log.warning(
                'positions_unreadable', peer=address, reason=repr(error)
            )
            return False
        self._source_age_s = self._urgent_age_s(positions)
        obtained = await self._catch_up(address, positions)
        if not self._is_fresh(positions):
            return False
        followed = bool(self._source_address)
        return not followed or (
            obtained and self._source_age_s <= MAX_FOLLOWED_AGE_S
        )

    def _wait_s(self) -> float:
        """Return the seconds for which another VM waits for a change."""
        if not self._source_address:
            return WAIT_S
        # It should have confirmed what it knows by then.
        left_s = MAX_FOLLOWED_AGE_S - self._source_age_s
        return max(MIN_WAIT_S, min(WAIT_S, left_s))

    def _urgent_age_s(self, positions: dict[str, Position]) -> float:
        """Return the age of the urgent ones of a VM's positions."""
        ages = (
            positions[prefix].age_s
            for prefix, feed in self._feeds.items()
            if feed.urgent and prefix in positions
        )
        return max(ages, default=0.0)

    async def _catch_up(
        self, address: str, positions: dict[str, Position]
    ) -> bool:
        """
        Obtain the changes that another VM knows and this one doesn't.

        :returns: whether that VM had all of them.
        """
        lacking = []
        for prefix, feed in self._feeds.items():
            position = positions.get(prefix)
            if position is None:
                continue
            if feed.watcher.position.lacks(position):
                lacking.append((feed, position))
            else:
                feed.watcher.confirm(position)
        if not lacking:
            return True
        if self._source_address:
            fetches = [feed.fetch(address) for feed, _ in lacking]
            obtained = await asyncio.gather(*fetches)
            await asyncio.sleep(BATCH_INTERVAL_S)
            return all(obtained)
        await asyncio.sleep(NOTIFICATION_SPREAD_S)
        for feed, position in lacking:
            if feed.watcher.position.lacks(position):
                await self._recover(feed, position, address)
        return True

    async def _recover(
        self, feed: Feed, position: Position, address: str
    ) -> None:
        """Obtain the changes of one feed, whose notification was lost."""
        own = feed.watcher.position
        self._log.warning(
            'feed_behind',
            prefix=feed.watcher.prefix,
            peer=address,
            revision=own.revision,
            era=own.era,
            newest=position.changed_revision,
            newest_era=position.era,
            age_s=round(own.age_s, 2),
        )
        self._count(feed.watcher.prefix)
        if not await feed.fetch(address):
            feed.watcher.refresh()

    async def _handle(self, content: Any) -> Any:
        """Answer another VM once there is a change that it doesn't know."""
        inquiry = decode_inquiry(content)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(inquiry.wait_s):
                while not self._has_news(inquiry):
                    await self._news.wait()
        return encode_positions(self._positions())

    def _has_news(self, inquiry: Inquiry) -> bool:
        """Return whether to answer another VM at once."""
        positions = self._positions()
        return not self._is_fresh(positions) or any(
            position.lacks(positions[prefix])
            for prefix, position in inquiry.positions.items()
            if prefix in positions
        )

    def _is_fresh(self, positions: dict[str, Position]) -> bool:
        """Return whether a VM with these positions can tell others."""
        return all(
            prefix in positions and positions[prefix].age_s <= MAX_SOURCE_AGE_S
            for prefix in self._feeds
        )

    def _positions(self) -> dict[str, Position]:
        """Return the positions of this VM."""
        return {
            prefix: feed.watcher.position
            for prefix, feed in self._feeds.items()
        }

    def _notify(self) -> None:
        """Continue the calls that wait for a change."""
        self._news.set()
        self._news = asyncio.Event()


__all__ = ('FEEDS_PATH', 'RANKING_KEY', 'Feed', 'FeedCheck')
