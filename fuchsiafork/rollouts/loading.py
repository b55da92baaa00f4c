"""Loads versions on targets, one target of a group at a time."""

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
    RENEW_S,
    Attempt,
    Leases,
    LoadTarget,
    decode_order,
    encode_order,
)

ORDERS = 'orders/'
# A target's name holds no slash, so these keys are no target's.
GROUPS = 'orders/group/'
# Where the program's engine adapter takes orders.
ENGINE_ADAPTER = '@engines'
_TAG = 'loading:step'
_TAG_END = 'loading:end'
_READ_BACK_S = 1.0
_RETRY_S = 2.0
# Weights come slowly when several targets load; then the order is repeated.
LOAD_TIMEOUT_S = 600.0
# Loads that a keeper starts in a window, for the weight store's rate limit.
_LOADS_PER_WINDOW = 2
_WINDOW_S = 10.0


class LoadingSystem(System):
    """
    Targets by name; tells the engine adapter what to load.

    A lease record for each group names the one orderer and the target that
    loads, so that two keepers that both think that they own a group do not
    both order. The order itself carries the revision of ``orders/<target>``.
    """

    accepts = (LoadedVersion, OrderRefused)

    def __init__(self, context: Context) -> None:
        """Start without targets."""
        super().__init__(context)
        self.targets: dict[str, LoadTarget] = {}
        # Group -> the load that this keeper runs in it.
        self.attempts: dict[str, Attempt] = {}
        self.owned_groups: set[str] = set()
        # Version -> least number of its targets of a group that must stay.
        self.min_serving: dict[str, int] = {}
        # Loading ends what a target runs, so the order waits until it is
        # idle; the program gives such a target no new work.
        self.is_idle: Callable[[str], bool] = lambda target: True
        self._leases = Leases(context.clock)
        self._recent: collections.deque[float]
        self._recent = collections.deque(maxlen=_LOADS_PER_WINDOW)
        self._wait: dict[str, float] = {}
        self._count = 0

    def tick(self) -> None:
        """Begin loads that may begin and go on with those that run."""
        now = self._context.clock.now()
        for attempt in list(self.attempts.values()):
            if attempt.group not in self.owned_groups:
                self.attempts.pop(attempt.group)
            elif now >= attempt.due:
                self._go_on(attempt, now)
        for target in self.targets.values():
            if self._may_begin(target, now):
                self._begin(target, now)

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Take one message, or an answer of the store."""

    @handle.register
    def _(self, message: KeyRead, sender: str) -> None:
        attempt = self._of_key(message.key)
        if attempt is None:
            return
        record = decode_order(message.value)
        ours = record.get('order') == attempt.order
        if not message.key.startswith(GROUPS):
            if ours:
                self._order(attempt, message.revision)
            else:
                self._write(attempt, message.key, message.revision)
        elif ours:
            self._confirm(attempt, message.revision)
        elif self._leases.is_free(attempt.group, message.revision, record):
            self._take_over(attempt, message.revision, record)
        else:
            self._give_up(attempt, 'order_held_by_other')

    @handle.register
    def _(self, message: SwapDone, sender: str) -> None:
        attempt = self._of_key(message.key)
        if attempt is None or message.tag == _TAG_END:
            return
        if not message.succeeded:
            self._read(attempt, message.key)
        elif message.key.startswith(GROUPS):
            self._confirm(attempt, message.revision)
        else:
            self._order(attempt, message.revision)

    @handle.register
    def _(self, message: StoreFailed, sender: str) -> None:
        attempt = self._of_key(message.key)
        if attempt is not None:
            attempt.due = self._context.clock.now() + _RETRY_S

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
            self._read(attempt, f'{ORDERS}{attempt.target}')
        elif message.order != attempt.order and self._is_silent(attempt):
            self._send_order(attempt)

    @handle.register
    def _(self, message: OrderRefused, sender: str) -> None:
        attempt = self._of_key(f'{ORDERS}{message.target}')
        if attempt is not None and message.order == attempt.order:
            self._give_up(attempt, 'order_refused')

    def _of_key(self, key: str) -> Attempt | None:
        """Return the attempt that a record belongs to."""
        if key.startswith(GROUPS):
            return self.attempts.get(key.removeprefix(GROUPS))
        target = self.targets.get(key.removeprefix(ORDERS))
        attempt = self.attempts.get(target.group) if target else None
        named = attempt is not None and f'{ORDERS}{attempt.target}' == key
        return attempt if named else None

    def _may_begin(self, target: LoadTarget, now: float) -> bool:
        """Return whether a target may start to load now."""
        group = target.group
        if (
            target.settled
            or group not in self.owned_groups
            or group in self.attempts
        ):
            return False
        if now < self._wait.get(group, 0):
            return False
        return self._spares(target) and self._in_rate(now)

    def _spares(self, target: LoadTarget) -> bool:
        """Return whether its present version can do without the target."""
        serving = sum(
            other.version == target.version and other.group == target.group
            for other in self.targets.values()
        )
        return serving - 1 >= self.min_serving.get(target.version, 0)

    def _in_rate(self, now: float) -> bool:
        """Return whether the weight store's rate allows another load."""
        recent = sum(begun > now - _WINDOW_S for begun in self._recent)
        return recent < _LOADS_PER_WINDOW

    def _begin(self, target: LoadTarget, now: float) -> None:
        """Start to load by reading who orders in the group."""
        self._recent.append(now)
        self._count += 1
        order = f'{self._context.identity.holder}/{self._count}'
        attempt = Attempt(target.name, target.group, order, begun=now)
        self.attempts[target.group] = attempt
        self._read(attempt, f'{GROUPS}{target.group}')

    def _go_on(self, attempt: Attempt, now: float) -> None:
        """Take the next step of a load."""
        if now - attempt.begun >= LOAD_TIMEOUT_S:
            self._give_up(attempt, 'load_timed_out')
            return
        if now - attempt.renewed >= RENEW_S:
            self._read(attempt, f'{GROUPS}{attempt.group}')
        if self._leases.holds(attempt):
            self._ask(attempt)

    def _take_over(
        self,
        attempt: Attempt,
        revision: int,
        record: dict[str, Any],
    ) -> None:
        """Take a free group; what a lapsed orderer left may still load."""
        left = self.targets.get(record.get('target', ''))
        if left is not None and left.group == attempt.group:
            attempt.target = left.name
        self._write(attempt, f'{GROUPS}{attempt.group}', revision)

    def _confirm(self, attempt: Attempt, revision: int) -> None:
        """
        Take the confirmation that the group is this keeper's.

        One that arrives late, because this process was paused, proves
        nothing about now: the record is written once more.
        """
        now = self._context.clock.now()
        if now - attempt.written >= RENEW_S:
            self._write(attempt, f'{GROUPS}{attempt.group}', revision)
            return
        attempt.renewed = attempt.written
        attempt.revision = revision
        self._ask(attempt)

    def _ask(self, attempt: Attempt) -> None:
        """Ask what the target has loaded."""
        attempt.due = self._context.clock.now() + _READ_BACK_S
        self._context.outbox.send(ENGINE_ADAPTER, AskLoaded(attempt.target))

    def _order(self, attempt: Attempt, revision: int) -> None:
        """Order with the fencing number of a record that names the order."""
        if not self._leases.holds(attempt):
            return
        attempt.fence = revision
        self._send_order(attempt)

    def _send_order(self, attempt: Attempt) -> None:
        """Send the order; only the holder of the group may."""
        target = self.targets[attempt.target]
        if not self.is_idle(target.name):
            return
        if not self._context.invariants.check(
            'one_orderer',
            self._leases.holds(attempt) and attempt.fence > 0,
            target=target.name,
        ):
            return
        attempt.ordered = self._context.clock.now()
        order = LoadOrder(
            target=target.name,
            version=target.wanted_version,
            artifact=target.artifact,
            order=attempt.order,
            fence=attempt.fence,
        )
        self._context.outbox.send(ENGINE_ADAPTER, order)
        self._tell('version_ordered', attempt)

    def _is_silent(self, attempt: Attempt) -> bool:
        """Return whether the target shows nothing of the order."""
        silent = self._context.clock.now() - attempt.ordered
        return self._leases.holds(attempt) and silent >= RENEW_S

    def _read(self, attempt: Attempt, key: str) -> None:
        """Read a record."""
        attempt.due = self._context.clock.now() + _RETRY_S
        self._context.outbox.store(ReadKey(key, _TAG))

    def _write(self, attempt: Attempt, key: str, revision: int) -> None:
        """Write this keeper's order over a record that was read."""
        if key.startswith(GROUPS):
            attempt.written = self._context.clock.now()
        wanted_version = self.targets[attempt.target].wanted_version
        record = encode_order(
            attempt, wanted_version, self._context.clock.wall()
        )
        self._context.outbox.store(CompareAndSwap(key, revision, record, _TAG))

    def _finish(self, attempt: Attempt, target: LoadTarget) -> None:
        """Count the target as loaded and free the group."""
        target.version = target.wanted_version
        self.attempts.pop(attempt.group)
        key = f'{GROUPS}{attempt.group}'
        self._context.outbox.store(
            CompareAndSwap(key, attempt.revision, None, _TAG_END),
        )
        self._tell('version_loaded', attempt)

    def _give_up(self, attempt: Attempt, reason: str) -> None:
        """End an attempt and try again later."""
        self.attempts.pop(attempt.group)
        wait = self._context.random.uniform(_RETRY_S, 2 * _RETRY_S)
        self._wait[attempt.group] = self._context.clock.now() + wait
        self._tell(reason, attempt)

    def _tell(self, kind: str, attempt: Attempt) -> None:
        """Record an event about an attempt."""
        self._context.events.record(
            kind,
            target=attempt.target,
            version=self.targets[attempt.target].wanted_version,
            order=attempt.order,
            fence=attempt.fence,
        )
