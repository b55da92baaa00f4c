"""Prefix cache of the engine model and the events that it publishes."""

import collections
import dataclasses
import random
from collections.abc import Callable
from typing import Protocol


class CacheSettings(Protocol):
    """The settings of an engine that its cache reads."""

    @property
    def cache_blocks(self) -> int:
        """Prefixes that the cache has memory for."""

    @property
    def event_lag_s(self) -> float:
        """Delay of cache events in seconds."""

    @property
    def event_gap(self) -> float:
        """Probability that a batch of events is lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class CacheBatch:
    """Cache changes with the sequence numbers of the first and the last."""

    first: int
    last: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class PrefixCache:
    """Prefixes in memory; the least recently used one is evicted."""

    def __init__(
        self,
        settings: CacheSettings,
        now: Callable[[], float],
        chance: random.Random,
    ) -> None:
        """Start empty at sequence number 0."""
        self._settings = settings
        self._now = now
        self._chance = chance
        self._rows: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._sequence = 0
        self._batches: collections.deque[tuple[float, CacheBatch]] = (
            collections.deque(maxlen=4096)
        )

    def __len__(self) -> int:
        """Return the number of prefixes cached."""
        return len(self._rows)

    def match(self, prefixes: tuple[int, ...]) -> int:
        """Return how many leading prefixes are cached, and mark them used."""
        for count, prefix in enumerate(prefixes):
            if prefix not in self._rows:
                return count
            self._rows.move_to_end(prefix)
        return len(prefixes)

    def store(self, prefixes: tuple[int, ...], moment: float) -> None:
        """Cache a prompt's prefixes at a time, evicting what has no room."""
        stored = tuple(one for one in prefixes if one not in self._rows)
        for prefix in prefixes:
            self._rows[prefix] = None
            self._rows.move_to_end(prefix)
        evicted = []
        while len(self._rows) > self._settings.cache_blocks:
            evicted.append(self._rows.popitem(last=False)[0])
        self._publish(stored, tuple(evicted), moment)

    def clear(self) -> None:
        """Drop everything, as for the load of another version."""
        evicted = tuple(self._rows)
        self._rows.clear()
        self._publish((), evicted, self._now())

    def events(self) -> list[CacheBatch]:
        """Return the batches that are due and not lost."""
        due = self._now() - self._settings.event_lag_s
        batches = []
        while self._batches and self._batches[0][0] <= due:
            batches.append(self._batches.popleft()[1])
        return [
            batch
            for batch in batches
            if self._chance.random() >= self._settings.event_gap
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
