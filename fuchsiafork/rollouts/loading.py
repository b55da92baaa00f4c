"""Orders targets to load versions, one target of a group at a time."""

import collections
import functools
from collections.abc import Callable
from typing import Any

from fuchsiafork.kernel import Context, System
from fuchsiafork.kernel.outbox import (
    CompareAndSwap,
    KeyRead,
    ReadKey,
    StoreFailed,
    SwapDone,
)
from fuchsiafork.rollouts.loading_messages import (
    AskLoaded,
    LoadedVersion,
    LoadOrder,
    OrderRefused,
)
from fuchsiafork.rollouts.loading_state import (
    RENEW_INTERVAL_S,
    Leases,
    LoadAttempt,
    LoadTarget,
    decode_order,
    encode_order,
)

ORDER_PREFIX = 'orders/'
# Names of targets contain no slash, so no target has a key with this prefix.
GROUP_PREFIX = 'orders/group/'
# Outbox destination of the engine adapter of this process.
ENGINE_ADAPTER = '@engines'
_TAG_STEP = 'loading:step'
_TAG_END = 'loading:end'
_READ_BACK_INTERVAL_S = 1.0
_RETRY_DELAY_S = 2.0
# Loading weights is slow when several targets load. After this time the attempt
# ends and a later one orders the load again.
LOAD_TIMEOUT_S = 600.0
# Greatest number of loads that a keeper starts within the rate window, because
# the weight store limits the rate.
_LOADS_PER_WINDOW = 2
_RATE_WINDOW_S = 10.0


class LoadingSystem(System):
    """
    Orders loads on the targets of the groups that this keeper owns.

    A lease record for each group names the only keeper that may order and the
    target that loads, so that two keepers that both consider themselves owner
    of a group don't both order. An order carries the revision of
    ``orders/<target>`` as fencing number.
    """

    accepts = (LoadedVersion, OrderRefused)

    def __init__(self, context: Context) -> None:
        """Start without targets."""
        super().__init__(context)
        self.targets: dict[str, LoadTarget] = {}
        # Group -> this keeper's load attempt in it.
        self.attempts: dict[str, LoadAttempt] = {}
        self.owned_groups: set[str] = set()
        # Version -> number of its targets in a group that must go on serving.
        self.min_serving: dict[str, int] = {}
        # Loading aborts the requests that a target runs, so the order waits
        # until the target is idle. The dispatch sends it no new requests.
        self.is_idle: Callable[[str], bool] = lambda target: True
        self._leases = Leases(context.clock)
        self._recent_starts: collections.deque[float]
        self._recent_starts = collections.deque(maxlen=_LOADS_PER_WINDOW)
        self._retry_at: dict[str, float] = {}
        self._order_count = 0

    def tick(self) -> None:
        """Advance the load attempts that are due and start new ones."""
        now = self._context.clock.now()
        for attempt in list(self.attempts.values()):
            if attempt.group not in self.owned_groups:
                self.attempts.pop(attempt.group)
            elif now >= attempt.next_step_at:
                self._advance(attempt, now)
        for target in self.targets.values():
            if self._may_start(target, now):
                self._start_attempt(target, now)

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Handle a message or an answer of the store."""

    @handle.register
    def _(self, message: KeyRead, sender: str) -> None:
        attempt = self._attempt_for_key(message.key)
        if attempt is None:
            return
        record = decode_order(message.value)
        is_own_order = record.get('order') == attempt.order
        if not message.key.startswith(GROUP_PREFIX):
            if is_own_order:
                self._issue_order(attempt, message.revision)
            else:
                self._write_record(attempt, message.key, message.revision)
        elif is_own_order:
            self._confirm_lease(attempt, message.revision)
        elif self._leases.is_free(attempt.group, message.revision, record):
            self._claim_group(attempt, message.revision, record)
        else:
            self._abandon(attempt, 'order_held_by_other')

    @handle.register
    def _(self, message: SwapDone, sender: str) -> None:
        attempt = self._attempt_for_key(message.key)
        if attempt is None or message.tag == _TAG_END:
            return
        if not message.succeeded:
            self._read_record(attempt, message.key)
        elif message.key.startswith(GROUP_PREFIX):
            self._confirm_lease(attempt, message.revision)
        else:
            self._issue_order(attempt, message.revision)

    @handle.register
    def _(self, message: StoreFailed, sender: str) -> None:
        attempt = self._attempt_for_key(message.key)
        if attempt is not None:
            attempt.next_step_at = self._context.clock.now() + _RETRY_DELAY_S

    @handle.register
    def _(self, message: LoadedVersion, sender: str) -> None:
        target = self.targets.get(message.target)
        if target is None:
            return
        attempt = self.attempts.get(target.group)
        if attempt is None or attempt.target != message.target:
            return
        serves = message.ready and message.version == target.wanted_version
        if serves and (message.order == attempt.order or not attempt.fence):
            self._finish(attempt, target)
        elif not attempt.fence:
            self._read_record(attempt, f'{ORDER_PREFIX}{attempt.target}')
        elif message.order != attempt.order and self._is_unacknowledged(
            attempt
        ):
            self._send_order(attempt)

    @handle.register
    def _(self, message: OrderRefused, sender: str) -> None:
        attempt = self._attempt_for_key(f'{ORDER_PREFIX}{message.target}')
        if attempt is not None and message.order == attempt.order:
            self._abandon(attempt, 'order_refused')

    def _attempt_for_key(self, key: str) -> LoadAttempt | None:
        """Return the attempt that a store key belongs to."""
        if key.startswith(GROUP_PREFIX):
            return self.attempts.get(key.removeprefix(GROUP_PREFIX))
        target = self.targets.get(key.removeprefix(ORDER_PREFIX))
        attempt = self.attempts.get(target.group) if target else None
        is_its_target = (
            attempt is not None and f'{ORDER_PREFIX}{attempt.target}' == key
        )
        return attempt if is_its_target else None

    def _may_start(self, target: LoadTarget, now: float) -> bool:
        """Return whether a target may start to load now."""
        group = target.group
        if (
            target.is_current
            or group not in self.owned_groups
            or group in self.attempts
        ):
            return False
        if now < self._retry_at.get(group, 0):
            return False
        return self._can_spare(target) and self._within_rate_limit(now)

    def _can_spare(self, target: LoadTarget) -> bool:
        """Return whether enough other targets serve the target's version."""
        serving = sum(
            other.version == target.version and other.group == target.group
            for other in self.targets.values()
        )
        return serving - 1 >= self.min_serving.get(target.version, 0)

    def _within_rate_limit(self, now: float) -> bool:
        """Return whether the rate limit allows another load."""
        recent = sum(
            started_at > now - _RATE_WINDOW_S
            for started_at in self._recent_starts
        )
        return recent < _LOADS_PER_WINDOW

    def _start_attempt(self, target: LoadTarget, now: float) -> None:
        """Start an attempt by reading the group's lease record."""
        self._recent_starts.append(now)
        self._order_count += 1
        order = f'{self._context.identity.holder}/{self._order_count}'
        attempt = LoadAttempt(target.name, target.group, order, started_at=now)
        self.attempts[target.group] = attempt
        self._read_record(attempt, f'{GROUP_PREFIX}{target.group}')

    def _advance(self, attempt: LoadAttempt, now: float) -> None:
        """Carry out the next step of an attempt."""
        if now - attempt.started_at >= LOAD_TIMEOUT_S:
            self._abandon(attempt, 'load_timed_out')
            return
        if now - attempt.renewed_at >= RENEW_INTERVAL_S:
            self._read_record(attempt, f'{GROUP_PREFIX}{attempt.group}')
        if self._leases.holds(attempt):
            self._read_back(attempt)

    def _claim_group(
        self,
        attempt: LoadAttempt,
        revision: int,
        record: dict[str, Any],
    ) -> None:
        """
        Write the lease record of a free group.

        The target that the previous holder of the lease ordered may still be
        loading, so the attempt switches to that target.
        """
        previous_target = self.targets.get(record.get('target', ''))
        if (
            previous_target is not None
            and previous_target.group == attempt.group
        ):
            attempt.target = previous_target.name
        self._write_record(attempt, f'{GROUP_PREFIX}{attempt.group}', revision)

    def _confirm_lease(self, attempt: LoadAttempt, revision: int) -> None:
        """
        Renew the attempt's lease after a confirmed write of its record.

        A confirmation that arrives late, because this process was paused,
        doesn't prove that the lease still holds, so the record is written
        again.
        """
        now = self._context.clock.now()
        if now - attempt.written_at >= RENEW_INTERVAL_S:
            self._write_record(
                attempt, f'{GROUP_PREFIX}{attempt.group}', revision
            )
            return
        attempt.renewed_at = attempt.written_at
        attempt.revision = revision
        self._read_back(attempt)

    def _read_back(self, attempt: LoadAttempt) -> None:
        """Request the version that the target has loaded."""
        attempt.next_step_at = self._context.clock.now() + _READ_BACK_INTERVAL_S
        self._context.outbox.send(ENGINE_ADAPTER, AskLoaded(attempt.target))

    def _issue_order(self, attempt: LoadAttempt, revision: int) -> None:
        """Send the order with the revision of its record as fencing number."""
        if not self._leases.holds(attempt):
            return
        attempt.fence = revision
        self._send_order(attempt)

    def _send_order(self, attempt: LoadAttempt) -> None:
        """Send the order, which only the holder of the group's lease may."""
        target = self.targets[attempt.target]
        if not self.is_idle(target.name):
            return
        if not self._context.invariants.check(
            'one_orderer',
            self._leases.holds(attempt) and attempt.fence > 0,
            target=target.name,
        ):
            return
        attempt.ordered_at = self._context.clock.now()
        order = LoadOrder(
            target=target.name,
            version=target.wanted_version,
            artifact=target.artifact,
            order=attempt.order,
            fence=attempt.fence,
        )
        self._context.outbox.send(ENGINE_ADAPTER, order)
        self._record_event('version_ordered', attempt)

    def _is_unacknowledged(self, attempt: LoadAttempt) -> bool:
        """Return whether the target has not reported the order in time."""
        silent = self._context.clock.now() - attempt.ordered_at
        return self._leases.holds(attempt) and silent >= RENEW_INTERVAL_S

    def _read_record(self, attempt: LoadAttempt, key: str) -> None:
        """Request a read of a record."""
        attempt.next_step_at = self._context.clock.now() + _RETRY_DELAY_S
        self._context.outbox.store(ReadKey(key, _TAG_STEP))

    def _write_record(
        self, attempt: LoadAttempt, key: str, revision: int
    ) -> None:
        """Replace a record at a known revision by this keeper's order."""
        if key.startswith(GROUP_PREFIX):
            attempt.written_at = self._context.clock.now()
        wanted_version = self.targets[attempt.target].wanted_version
        record = encode_order(
            attempt, wanted_version, self._context.clock.wall()
        )
        self._context.outbox.store(
            CompareAndSwap(key, revision, record, _TAG_STEP)
        )

    def _finish(self, attempt: LoadAttempt, target: LoadTarget) -> None:
        """Mark the target as loaded and release the group's lease."""
        target.version = target.wanted_version
        self.attempts.pop(attempt.group)
        key = f'{GROUP_PREFIX}{attempt.group}'
        self._context.outbox.store(
            CompareAndSwap(key, attempt.revision, None, _TAG_END),
        )
        self._record_event('version_loaded', attempt)

    def _abandon(self, attempt: LoadAttempt, reason: str) -> None:
        """End an attempt and delay the next one in the group."""
        self.attempts.pop(attempt.group)
        wait = self._context.random.uniform(_RETRY_DELAY_S, 2 * _RETRY_DELAY_S)
        self._retry_at[attempt.group] = self._context.clock.now() + wait
        self._record_event(reason, attempt)

    def _record_event(self, kind: str, attempt: LoadAttempt) -> None:
        """Record an event about an attempt."""
        self._context.events.record(
            kind,
            target=attempt.target,
            version=self.targets[attempt.target].wanted_version,
            order=attempt.order,
            fence=attempt.fence,
        )
