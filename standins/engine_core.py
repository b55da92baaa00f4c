"""Continuous batching of the engine model: steps, streams and load reports."""

import collections
import random
from collections.abc import Callable

from standins.engine_cache import PrefixCache
from standins.engine_types import (
    ACTIVE,
    UNFINISHED,
    EngineSettings,
    Record,
    Report,
    ReportHistory,
    State,
)
from standins.engine_versions import HEALTHY, VersionBehaviour


class EngineCore:
    """State of an engine and its progress over time."""

    def __init__(
        self,
        name: str,
        now: Callable[[], float],
        rng: random.Random,
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
        self._leave_announced = False
        self.counts: collections.Counter[str] = collections.Counter()
        self.max_active = 0
        self.records: dict[str, Record] = {}
        self._now = now
        self._rng = rng
        self._start_count = 0
        self.cache = PrefixCache(self.settings, now, rng)
        self._step_ends = 0.0
        self._start_instance()

    @property
    def identity(self) -> str:
        """Identity of the engine process, different after each start."""
        return f'{self.name}#{self._start_count}'

    @property
    def ready(self) -> bool:
        """Whether the readiness check succeeds now."""
        return not (self.is_down or self._leave_announced)

    @property
    def is_down(self) -> bool:
        """Whether connections to the engine fail now."""
        return self._now() < self._down_until

    @property
    def active(self) -> int:
        """Number of streams in the batch."""
        return len(self._batch)

    def advance(self) -> None:
        """Run the batch steps that are due."""
        now = self._now()
        if self._batch and now < self._step_ends:
            return
        while self._batch and self._step_ends <= now:
            self._step(self._step_ends)
            self._step_ends += self._step_time()
        if not self._batch:
            self._step_ends = now + self._step_time()
        self._record_load(now)

    def _start_instance(self) -> None:
        """Start with a new identity, an empty batch and an empty cache."""
        self._start_count += 1
        self.started_at = self._now()
        self._batch: list[Record] = []
        self._down_until = self._now()
        self.loaded_at = self._now()
        self._step_ends = self._now() + self.settings.step_s
        self.cache = PrefixCache(self.settings, self._now, self._rng)
        self._reports = ReportHistory()
        self._record_load(self._now())

    def _step(self, ended: float) -> None:
        """Run one step: prefill by priority, then one token for each stream."""
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
        """Add one token to a stream and end it when it is complete."""
        output_tokens = record.submission.output_tokens
        if record.fails and record.tokens * 2 >= output_tokens - 1:
            self._end(record, State.FAILED)
            return
        if not record.tokens:
            record.first_token = moment
        record.tokens += 1
        self.counts['tokens'] += 1
        if record.tokens >= output_tokens:
            self._end(record, State.DONE)
            record.ended = moment

    def _end(self, record: Record, state: State) -> None:
        """End a stream in a final state and remove it from the batch."""
        if record.state in ACTIVE:
            self._batch.remove(record)
        record.state = state
        record.ended = self._now()
        self.counts[state.value] += 1

    def _fail_unfinished(self) -> None:
        """Fail every unfinished stream."""
        for record in self.records.values():
            if record.state in UNFINISHED:
                self._end(record, State.FAILED)

    def _behaviour(self, route: str) -> VersionBehaviour:
        """Return the present behaviour of the loaded version on a route."""
        behaviour = self.behaviours.get(self.version, HEALTHY)
        age = self._now() - self.loaded_at
        return behaviour.effective(age, len(self._batch), route)

    def _step_time(self) -> float:
        """Return the duration of the next step, scaled by the slowest route."""
        routes = {one.submission.route for one in self._batch}
        slowdowns = [self._behaviour(route).slowdown for route in routes]
        added = self.settings.stream_s * len(self._batch)
        return (self.settings.step_s + added) * max(slowdowns, default=1)

    def _record_load(self, now: float) -> None:
        """Record the present load for later reports."""
        instance_state = (self.identity, self.version, self.role, self.ready)
        report = Report(
            *instance_state, len(self._batch), self.settings.capacity
        )
        self._reports.add(now, report)
