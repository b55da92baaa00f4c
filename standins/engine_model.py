"""
Model of a model engine, without any transport.

The model runs in steps of continuous batching. It only moves in ``advance``,
so a caller may drive it with a virtual clock or with a real one.
"""

import collections
import random
from collections.abc import Callable

from standins.engine_cache import PrefixCache
from standins.engine_types import (
    ACTIVE,
    KEPT,
    EngineError,
    EngineSettings,
    Record,
    Report,
    ReportHistory,
    State,
    Submission,
)
from standins.engine_versions import (
    HEALTHY,
    FenceError,
    Order,
    VersionBehaviour,
)

_UNREACHABLE = 'unreachable'
_LEAVING_GRACE_S = 3.0


class EngineModel:
    """One address behind which a model engine runs."""

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
        self._order = Order()
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

    def submit(self, submission: Submission) -> Record:
        """
        Return the record of a request that was taken.

        :raises EngineError: if the engine is down, or falls over.
        """
        self.advance()
        self.counts['received'] += 1
        self._require_up()
        known = self.records.get(submission.request_id)
        if known is not None and known.state in ACTIVE:
            self._end(known, State.CANCELLED)
        record = self._start_record(submission)
        if known is not None:
            record.executions = known.executions + 1
        self.records[submission.request_id] = record
        self._join(record)
        return record

    def pause(self, request_id: str) -> bool:
        """Return whether an active stream left the batch to be resumed."""
        self.advance()
        record = self.records.get(request_id)
        if record is None or record.state not in ACTIVE:
            return False
        self._batch.remove(record)
        record.state = State.PAUSED
        return True

    def resume(self, request_id: str) -> Record:
        """
        Return the record of a stream that goes on in the batch.

        :raises EngineError: if the stream is not kept, or the engine fails.
        """
        self.advance()
        self._require_up()
        record = self.records.get(request_id)
        if record is None:
            raise EngineError(f'unknown stream {request_id!r}')
        if record.state is State.PAUSED:
            record.state = State.RUNNING
            if record.prefill_left:
                record.state = State.PREFILL
            self._join(record)
        return record

    def cancel(self, request_id: str) -> bool:
        """Return whether a stream was ended at the caller's wish."""
        self.advance()
        record = self.records.get(request_id)
        if record is None or record.state not in KEPT:
            return False
        self._end(record, State.CANCELLED)
        return True

    def order(self, order: Order) -> None:
        """
        Load a version or change role; a repeated order id is not run again.

        :raises FenceError: if the fencing number is old and is checked.
        """
        self.advance()
        old = order.fence < self._order.fence
        if old and self.settings.checks_fence:
            self.counts['orders_refused'] += 1
            raise FenceError(f'{order.fence!r} < {self._order.fence!r}')
        if order.order_id == self._order.order_id:
            return
        self.counts['orders'] += 1
        self.counts['orders_fenced_late'] += old
        self._order = order
        self.role = order.role or self.role
        if order.version and order.version != self.version:
            self._fail_all()
            self.version = order.version
            self.loaded_at = self._now() + self.settings.load_s
            self._down_until = self.loaded_at
            self.cache.clear()

    def replace(self, after_s: float = 0.0) -> None:
        """Put another engine behind the address; it knows no request."""
        self.stop(after_s)
        self.records = {}
        self.leaving_since = float('inf')
        self._announced = False
        self._order = Order()

    def leave(self, *, announced: bool) -> None:
        """Count new work from now on; readiness shows it if announced."""
        self.advance()
        self.leaving_since = self._now()
        self._announced = announced

    def stop(self, seconds: float) -> None:
        """Fail what runs and be unreachable, then start anew."""
        self.advance()
        self._fail_all()
        self._begin()
        self._down_until = self._now() + seconds

    def crash(self) -> None:
        """Fail what runs and start anew after the restart time."""
        self.counts['fell_over'] += 1
        self.stop(self.settings.restart_s)

    def report(self) -> Report:
        """Return the load as it was before the report's lag."""
        self.advance()
        horizon = self._now() - self.settings.report_lag_s
        return self._reports.at(horizon)

    @property
    def last_order(self) -> Order:
        """The last order that was carried out."""
        return self._order

    def advance(self) -> None:
        """Run the steps that are due."""
        now = self._now()
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

    def _require_up(self) -> None:
        """Raise unless the engine takes requests; a leaving one still does."""
        if self.is_down:
            self.counts[_UNREACHABLE] += 1
            raise EngineError(_UNREACHABLE)
        leaving_s = self._now() - self.leaving_since
        self.counts['after_leaving_3s'] += leaving_s > _LEAVING_GRACE_S

    def _start_record(self, submission: Submission) -> Record:
        """Return the record of a new request, its cached prefix counted."""
        block = self.settings.block_tokens
        behaviour = self._behaviour(submission.route)
        hit = self.cache.match(submission.prefixes)
        cached = min(hit * block, submission.prompt_tokens - 1)
        self.counts['taken'] += 1
        self.counts['prompt_tokens'] += submission.prompt_tokens
        self.counts['cached_tokens'] += cached
        self.counts['prefixes'] += len(submission.prefixes)
        self.counts['prefix_hits'] += hit
        return Record(
            submission=submission,
            version=self.version,
            started=self._now(),
            prefill_left=submission.prompt_tokens - cached,
            cached_tokens=cached,
            fails=self._chance.random() < behaviour.fail_share,
        )

    def _join(self, record: Record) -> None:
        """Add a stream to the batch, which falls over past its capacity."""
        self._batch.append(record)
        self.max_active = max(self.max_active, len(self._batch))
        if len(self._batch) > self.settings.capacity:
            self.crash()
            raise EngineError('fell over')

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
