"""Batch of the engine model: steps, streams, cache and load."""

import collections
import random
from collections.abc import Callable

from standins.engine_cache import PrefixCache
from standins.engine_types import (
    ACTIVE,
    KEPT,
    EngineSettings,
    Record,
    Report,
    ReportHistory,
    State,
)
from standins.engine_versions import HEALTHY, VersionBehaviour


class EngineCore:
    """The work of an engine between the calls that it gets."""

    def __init__(
        self,
        name: str,
        now: Callable[[], float],
        chance: random.Random,
        settings: EngineSettings | None = None,
        version: str = 'v1',
    ) -> None:
        """Start ready and empty; ``now`` returns seconds."""
        self.name = name
        self.settings = settings or EngineSettings()
        self.behaviours: dict[str, VersionBehaviour] = {}
        self.version = version
        self.role = 'mixed'
        self.leaving_since = float('inf')
        self._announced = False
        self.counts: collections.Counter[str] = collections.Counter()
        self.max_active = 0
        self.records: dict[str, Record] = {}
        self._now = now
        self._chance = chance
        self._starts = 0
        self.cache = PrefixCache(self.settings, now, chance)
        self._step_ends = 0.0
        self._begin()

    @property
    def identity(self) -> str:
        """Name of this start of the engine."""
        return f'{self.name}#{self._starts}'

    @property
    def ready(self) -> bool:
        """Whether the engine takes requests now."""
        return not (self.is_down or self._announced)

    @property
    def is_down(self) -> bool:
        """Whether a connection to the engine fails now."""
        return self._now() < self._down_until

    @property
    def active(self) -> int:
        """Streams that hold a place in the batch."""
        return len(self._batch)

    def advance(self) -> None:
        """Run the steps that are due."""
        now = self._now()
        if self._batch and now < self._step_ends:
            return
        while self._batch and self._step_ends <= now:
            self._step(self._step_ends)
            self._step_ends += self._step_time()
        if not self._batch:
            self._step_ends = now + self._step_time()
        self._note_load(now)

    def _begin(self) -> None:
        """Start a new identity with nothing cached."""
        self._starts += 1
        self.started_at = self._now()
        self._batch: list[Record] = []
        self._down_until = self._now()
        self.loaded_at = self._now()
        self._step_ends = self._now() + self.settings.step_s
        self.cache = PrefixCache(self.settings, self._now, self._chance)
        self._reports = ReportHistory()
        self._note_load(self._now())

    def _step(self, ended: float) -> None:
        """Work one step: prefill by priority, one token for each stream."""
        budget = self.settings.prefill_tokens
        running = [one for one in self._batch if one.state is State.RUNNING]
        waiting = [one for one in self._batch if one.state is State.PREFILL]
        waiting.sort(key=lambda one: (one.submission.priority, one.started))
        for record in waiting:
            used = min(budget, record.prefill_left)
            budget -= used
            record.prefill_left -= used
            if not record.prefill_left:
                self.cache.store(record.submission.prefixes, ended)
                record.state = State.RUNNING
        for record in running:
            self._generate(record, ended)

    def _generate(self, record: Record, moment: float) -> None:
        """Add one token to a stream and end it when it is whole."""
        wanted = record.submission.output_tokens
        if record.fails and record.tokens * 2 >= wanted - 1:
            self._end(record, State.FAILED)
            return
        if not record.tokens:
            record.first_token = moment
        record.tokens += 1
        self.counts['tokens'] += 1
        if record.tokens >= wanted:
            self._end(record, State.DONE)
            record.ended = moment

    def _end(self, record: Record, state: State) -> None:
        """Take a stream out of the batch for good."""
        if record.state in ACTIVE:
            self._batch.remove(record)
        record.state = state
        record.ended = self._now()
        self.counts[state.value] += 1

    def _fail_all(self) -> None:
        """Fail every stream that is kept."""
        for record in self.records.values():
            if record.state in KEPT:
                self._end(record, State.FAILED)

    def _behaviour(self, route: str) -> VersionBehaviour:
        """Return how the version behaves now on a route."""
        behaviour = self.behaviours.get(self.version, HEALTHY)
        age = self._now() - self.loaded_at
        return behaviour.at(age, len(self._batch), route)

    def _step_time(self) -> float:
        """Return the length of the next step; the slowest route sets it."""
        routes = {one.submission.route for one in self._batch}
        slowdowns = [self._behaviour(route).slowdown for route in routes]
        added = self.settings.stream_s * len(self._batch)
        return (self.settings.step_s + added) * max(slowdowns, default=1)

    def _note_load(self, now: float) -> None:
        """Keep the present load for reports to come."""
        place = (self.identity, self.version, self.role, self.ready)
        report = Report(*place, len(self._batch), self.settings.capacity)
        self._reports.note(now, report)
