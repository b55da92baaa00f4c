"""
Simulation of a model engine without transport.

The engine runs in steps of continuous batching. Its state only progresses in
``advance``, so it works with a virtual or a real clock.
"""

import random
from collections.abc import Callable

from standins.engine_core import EngineCore
from standins.engine_types import (
    ACTIVE,
    UNFINISHED,
    EngineError,
    EngineSettings,
    Record,
    Report,
    State,
    Submission,
)
from standins.engine_versions import FenceError, Order

_UNREACHABLE = 'unreachable'
_LEAVING_GRACE_S = 3.0


class EngineModel(EngineCore):
    """A simulated model engine behind a fixed address."""

    def __init__(
        self,
        name: str,
        now: Callable[[], float],
        rng: random.Random,
        settings: EngineSettings | None = None,
        version: str = 'v1',
    ) -> None:
        """Start ready and empty; ``now`` returns seconds."""
        super().__init__(name, now, rng, settings, version)
        self._order = Order()

    def submit(self, submission: Submission) -> Record:
        """
        Accept a request and return its record.

        :raises EngineError: if the engine is down, or crashes by overload.
        """
        self.advance()
        self.counts['received'] += 1
        self._check_reachable()
        previous = self.records.get(submission.request_id)
        if previous is not None and previous.state in ACTIVE:
            self._end(previous, State.CANCELLED)
        record = self._start_record(submission)
        if previous is not None:
            record.executions = previous.executions + 1
        self.records[submission.request_id] = record
        self._add_to_batch(record)
        return record

    def pause(self, request_id: str) -> bool:
        """Pause a stream; return False if it isn't active."""
        self.advance()
        record = self.records.get(request_id)
        if record is None or record.state not in ACTIVE:
            return False
        self._batch.remove(record)
        record.state = State.PAUSED
        return True

    def resume(self, request_id: str) -> Record:
        """
        Resume a paused stream and return its record.

        :raises EngineError: if the stream is unknown, or the engine is down or
            crashes by overload.
        """
        self.advance()
        self._check_reachable()
        record = self.records.get(request_id)
        if record is None:
            raise EngineError(f'unknown stream {request_id!r}')
        if record.state is State.PAUSED:
            record.state = State.RUNNING
            if record.prefill_left:
                record.state = State.PREFILL
            self._add_to_batch(record)
        return record

    def cancel(self, request_id: str) -> bool:
        """Cancel a stream; return False if it isn't unfinished."""
        self.advance()
        record = self.records.get(request_id)
        if record is None or record.state not in UNFINISHED:
            return False
        self._end(record, State.CANCELLED)
        return True

    @property
    def last_order(self) -> Order:
        """The last order that was executed."""
        return self._order

    def order(self, order: Order) -> None:
        """
        Load a version or change role; a repeated order id has no effect.

        :raises FenceError: if the fencing number is stale and the engine
            checks it.
        """
        self.advance()
        stale = order.fence < self._order.fence
        if stale and self.settings.checks_fence:
            self.counts['orders_refused'] += 1
            raise FenceError(f'{order.fence!r} < {self._order.fence!r}')
        if order.order_id == self._order.order_id:
            return
        self.counts['orders'] += 1
        self.counts['orders_fenced_late'] += stale
        self._order = order
        self.role = order.role or self.role
        if order.version and order.version != self.version:
            self._fail_unfinished()
            self.version = order.version
            self.loaded_at = self._now() + self.settings.load_s
            self._down_until = self.loaded_at
            self.cache.clear()

    def replace(self, after_s: float = 0.0) -> None:
        """Replace the engine behind the address by one without records."""
        self.stop(after_s)
        self.records = {}
        self.leaving_since = float('inf')
        self._leave_announced = False
        self._order = Order()

    def leave(self, *, announced: bool) -> None:
        """Start leaving; the readiness check fails only if it is announced."""
        self.advance()
        self.leaving_since = self._now()
        self._leave_announced = announced

    def stop(self, seconds: float) -> None:
        """Fail all streams and restart; unreachable for some seconds."""
        self.advance()
        self._fail_unfinished()
        self._start_instance()
        self._down_until = self._now() + seconds

    def crash(self) -> None:
        """Fail all streams and restart after the restart time."""
        self.counts['fell_over'] += 1
        self.stop(self.settings.restart_s)

    def report(self) -> Report:
        """Return the load report, which lags behind."""
        self.advance()
        as_of = self._now() - self.settings.report_lag_s
        return self._reports.report_at(as_of)

    def _check_reachable(self) -> None:
        """Raise if the engine is unreachable; count requests after it left."""
        if self.is_down:
            self.counts[_UNREACHABLE] += 1
            raise EngineError(_UNREACHABLE)
        leaving_s = self._now() - self.leaving_since
        self.counts['after_leaving_3s'] += leaving_s > _LEAVING_GRACE_S

    def _start_record(self, submission: Submission) -> Record:
        """Return the record of a new request; count its cached tokens."""
        block = self.settings.block_tokens
        behaviour = self._behaviour(submission.route)
        cached_prefixes = self.cache.match(submission.prefixes)
        cached = min(cached_prefixes * block, submission.prompt_tokens - 1)
        self.counts['taken'] += 1
        self.counts['prompt_tokens'] += submission.prompt_tokens
        self.counts['cached_tokens'] += cached
        self.counts['prefixes'] += len(submission.prefixes)
        self.counts['prefix_hits'] += cached_prefixes
        return Record(
            submission=submission,
            version=self.version,
            started=self._now(),
            prefill_left=submission.prompt_tokens - cached,
            cached_tokens=cached,
            fails=self._rng.random() < behaviour.fail_share,
        )

    def _add_to_batch(self, record: Record) -> None:
        """Add a stream to the batch; beyond its capacity the engine crashes."""
        self._batch.append(record)
        self.max_active = max(self.max_active, len(self._batch))
        if len(self._batch) > self.settings.capacity:
            self.crash()
            raise EngineError('fell over')
