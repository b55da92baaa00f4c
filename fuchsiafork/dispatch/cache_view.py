"""What an owner believes a target's prefix cache to hold."""

import collections
from collections.abc import Iterable

from fuchsiafork.messages import CacheEvents

# Prefixes kept from events, for each target.
MAX_KNOWN = 4096
# Prefixes kept of the prompts sent last, for each target. They outlast a gap
# in the events: recency alone misses fewer cached prefixes than a view that
# starts anew at each gap.
MAX_SENT = 512

Prefixes = collections.OrderedDict[int, None]


class CacheView:
    """
    Cached prefixes, from late events with gaps and from prompts just sent.

    A prompt that was sent counts as cached before its event arrives.
    """

    def __init__(self, max_known: int = MAX_KNOWN) -> None:
        """Start empty; at most ``max_known`` prefixes come from events."""
        self._max_known = max_known
        self._known: Prefixes = collections.OrderedDict()
        self._sent: Prefixes = collections.OrderedDict()
        self._last = -1

    def __len__(self) -> int:
        """Return the number of prefixes known from events."""
        return len(self._known)

    def match(self, prefixes: Iterable[int]) -> int:
        """Return how many leading prefixes are believed to be cached."""
        count = 0
        for prefix in prefixes:
            if prefix not in self._sent and prefix not in self._known:
                break
            count += 1
        return count

    def expect(self, prefixes: Iterable[int]) -> None:
        """Take note that a prompt was sent to the target."""
        _keep(self._sent, prefixes, MAX_SENT)

    def apply(self, events: CacheEvents) -> bool:
        """
        Return whether the events followed the ones before without a gap.

        A gap clears what was known from events, as evictions may have been
        missed. Events that were seen before change nothing.
        """
        if events.last <= self._last:
            return True
        gapless = self._last < 0 or events.first <= self._last + 1
        if not gapless:
            self._known.clear()
        self._last = events.last
        _keep(self._known, events.stored, self._max_known)
        for prefix in events.evicted:
            self._known.pop(prefix, None)
            self._sent.pop(prefix, None)
        return gapless

    def clear(self) -> None:
        """Forget everything, as after a restart of the target."""
        self._known.clear()
        self._sent.clear()
        self._last = -1


def _keep(rows: Prefixes, prefixes: Iterable[int], limit: int) -> None:
    """Add prefixes and drop the least recent ones past a limit."""
    for prefix in prefixes:
        rows[prefix] = None
        rows.move_to_end(prefix)
    while len(rows) > limit:
        rows.popitem(last=False)
