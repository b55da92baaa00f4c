"""Prefix cache of the engine model and its change events."""

import collections
import dataclasses
import random
from collections.abc import Callable
from typing import Protocol


class CacheSettings(Protocol):
    """Engine settings that the cache uses."""

    @property
    def cache_blocks(self) -> int:
        """Capacity of the cache in prefixes."""

    @property
    def event_lag_s(self) -> float:
        """Delay of cache events in seconds."""

    @property
    def event_gap(self) -> float:
        """Probability that a batch of events is lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class CacheBatch:
    """Cache changes with the sequence numbers of the first and last change."""

    first: int
    last: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class PrefixCache:
    """LRU cache of prompt prefixes."""

    def __init__(
        self,
        settings: CacheSettings,
        now: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Start empty at sequence number 0."""
        self._settings = settings
        self._now = now
        self._rng = rng
        self._prefixes: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._sequence = 0
        self._batches: collections.deque[tuple[float, CacheBatch]] = (
            collections.deque(maxlen=4096)
        )

    def __len__(self) -> int:
        """Return the number of prefixes cached."""
        return len(self._prefixes)

    def match(self, prefixes: tuple[int, ...]) -> int:
        """Return the number of leading prefixes cached; mark them as used."""
        for count, prefix in enumerate(prefixes):
            if prefix not in self._prefixes:
                return count
            self._prefixes.move_to_end(prefix)
        return len(prefixes)

    def store(self, prefixes: tuple[int, ...], moment: float) -> None:
        """Cache a prompt's prefixes at a time and evict beyond the capacity."""
        stored = tuple(one for one in prefixes if one not in self._prefixes)
        for prefix in prefixes:
            self._prefixes[prefix] = None
            self._prefixes.move_to_end(prefix)
        evicted = []
        while len(self._prefixes) > self._settings.cache_blocks:
            evicted.append(self._prefixes.popitem(last=False)[0])
        self._publish(stored, tuple(evicted), moment)

    def clear(self) -> None:
        """Evict everything, as when another version is loaded."""
        evicted = tuple(self._prefixes)
        self._prefixes.clear()
        self._publish((), evicted, self._now())

    def events(self) -> list[CacheBatch]:
        """Return the batches that are due, without those randomly lost."""
        due = self._now() - self._settings.event_lag_s
        batches = []
        while self._batches and self._batches[0][0] <= due:
            batches.append(self._batches.popleft()[1])
        return [
            batch
            for batch in batches
            if self._rng.random() >= self._settings.event_gap
        ]

    def _publish(
        self,
        stored: tuple[int, ...],
        evicted: tuple[int, ...],
        moment: float,
    ) -> None:
        """Queue a batch of changes under the next sequence numbers."""
        changes = len(stored) + len(evicted)
        if changes:
            batch = CacheBatch(
                self._sequence + 1,
                self._sequence + changes,
                stored,
                evicted,
            )
            self._sequence += changes
            self._batches.append((moment, batch))
