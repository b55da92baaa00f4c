"""What an owner believes a target's prefix cache to hold."""

import collections
from collections.abc import Iterable

from fuchsiafork.messages import CacheEvents

MAX_PREFIXES = 4096


class CacheView:
    """
    Cached prefixes, from events that come late and with gaps.

    A prompt that was just sent counts as cached before its event arrives.
    """

    def __init__(self, limit: int = MAX_PREFIXES) -> None:
        """Start empty; at most ``limit`` prefixes are kept."""
        self._limit = limit
        self._rows: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._last = -1

    def __len__(self) -> int:
        """Return the number of prefixes kept."""
        return len(self._rows)

    def match(self, prefixes: Iterable[int]) -> int:
        """Return how many leading prefixes are believed to be cached."""
        count = 0
        for prefix in prefixes:
            if prefix not in self._rows:
                break
            count += 1
        return count

    def expect(self, prefixes: Iterable[int]) -> None:
        """Take note that a prompt was sent to the target."""
        self._add(prefixes)

    def apply(self, events: CacheEvents) -> bool:
        """
        Return whether the events followed the ones before without a gap.

        After a gap the view is cleared, as evictions may have been missed.
        Events that were seen before change nothing.
        """
        if events.last <= self._last:
            return True
        gapless = self._last < 0 or events.first <= self._last + 1
        if not gapless:
            self.clear()
        self._last = events.last
        self._add(events.stored)
        for prefix in events.evicted:
            self._rows.pop(prefix, None)
        return gapless

    def clear(self) -> None:
        """Forget everything, as after a restart of the target."""
        self._rows.clear()
        self._last = -1

    def _add(self, prefixes: Iterable[int]) -> None:
        """Keep prefixes, the least recent ones dropped past the limit."""
        for prefix in prefixes:
            self._rows[prefix] = None
            self._rows.move_to_end(prefix)
        while len(self._rows) > self._limit:
            self._rows.popitem(last=False)
