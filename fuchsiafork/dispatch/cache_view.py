"""An owner's estimate of the contents of a target's prefix cache."""

import collections
from collections.abc import Iterable

from fuchsiafork.messages import CacheEvents

# Prefixes known from cache events, for each target.
MAX_REPORTED = 4096
# Prefixes of the most recently sent prompts, for each target. They are kept
# when a gap in the events clears the reported ones: recency alone misses fewer
# cached prefixes than a view that is empty after each gap.
MAX_SENT = 512

Prefixes = collections.OrderedDict[int, None]


class CacheView:
    """
    The prefixes that a target is expected to have cached.

    The sources are the target's cache events, which arrive late and with gaps,
    and the prompts sent to it: the prefixes of a sent prompt count as cached
    before the event arrives.
    """

    def __init__(self, max_reported: int = MAX_REPORTED) -> None:
        """Start empty; at most ``max_reported`` prefixes come from events."""
        self._max_reported = max_reported
        self._reported: Prefixes = collections.OrderedDict()
        self._sent: Prefixes = collections.OrderedDict()
        self._last_number = -1

    def __len__(self) -> int:
        """Return the number of prefixes known from events."""
        return len(self._reported)

    def match(self, prefixes: Iterable[int]) -> int:
        """Return how many leading prefixes are expected to be cached."""
        count = 0
        for prefix in prefixes:
            if prefix not in self._sent and prefix not in self._reported:
                break
            count += 1
        return count

    def record_sent(self, prefixes: Iterable[int]) -> None:
        """Record the prefixes of a prompt that was sent to the target."""
        _add_bounded(self._sent, prefixes, MAX_SENT)

    def apply(self, events: CacheEvents) -> bool:
        """
        Apply cache events; return whether no event before them is missing.

        A gap clears the prefixes known from events, because evictions may
        have been missed. Duplicate events are ignored.
        """
        if events.last <= self._last_number:
            return True
        gapless = self._last_number < 0 or events.first <= self._last_number + 1
        if not gapless:
            self._reported.clear()
        self._last_number = events.last
        _add_bounded(self._reported, events.stored, self._max_reported)
        for prefix in events.evicted:
            self._reported.pop(prefix, None)
            self._sent.pop(prefix, None)
        return gapless

    def clear(self) -> None:
        """Clear the view, for a target that was restarted or replaced."""
        self._reported.clear()
        self._sent.clear()
        self._last_number = -1


def _add_bounded(
    entries: Prefixes, prefixes: Iterable[int], limit: int
) -> None:
    """Add prefixes and drop the least recent ones beyond a limit."""
    for prefix in prefixes:
        entries[prefix] = None
        entries.move_to_end(prefix)
    while len(entries) > limit:
        entries.popitem(last=False)
