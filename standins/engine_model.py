"""
Model of a model engine, without any transport.

The model runs in steps of continuous batching. It only moves in ``advance``,
so a caller may drive it with a virtual clock or with a real one.
"""

import random
from collections.abc import Callable

from standins.engine_core import EngineCore
from standins.engine_types import (
    ACTIVE,
    KEPT,
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
        super().__init__(name, now, chance, settings, version)
        self._order = Order()

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

    @property
    def last_order(self) -> Order:
        """The last order that was carried out."""
        return self._order

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
