"""Loads versions on targets, one target of a group at a time."""

import collections
import dataclasses
import functools
import json
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

PREFIX = 'orders/'
# Where the program's engine adapter takes orders.
ENGINES = '@engines'
_TAG_READ = 'loading:read'
_TAG_SWAP = 'loading:swap'
# An orderer writes its record anew while it waits; after this long without a
# write another one may take the target.
LEASE_S = 15.0
_RENEW_S = 5.0
_READ_BACK_S = 1.0
_RETRY_S = 2.0
# Weights come slowly when several targets load; then the order is repeated.
LOAD_TIMEOUT_S = 600.0
# Orders that a keeper starts in a window, for the weight store's rate limit.
_ORDERS_PER_WINDOW = 2
_WINDOW_S = 10.0


@dataclasses.dataclass(slots=True)
class LoadTarget:
    """
    A target and the version that it should have.

    :ivar group: targets of which one loads at once.
    :ivar fenced: whether it refuses orders with an old fencing number.
    :ivar version: version that it serves, by the last read-back.
    :ivar wanted: version that it should serve.
    """

    name: str
    group: str
    fenced: bool
    version: str
    wanted: str
    artifact: str = ''

    @property
    def settled(self) -> bool:
        """Whether it serves what it should."""
        return self.version == self.wanted


@dataclasses.dataclass(slots=True)
class Attempt:
    """
    This keeper's try to load a version on a target.

    :ivar fence: revision of the record that names the order, 0 before the
        record is written.
    :ivar due: local clock time of the next step, seconds.
    """

    target: str
    order: str
    begun: float
    due: float
    fence: int = 0
    renewed: float = 0.0


class LoadingSystem(System):
    """
    Targets by name; tells the engine adapter what to load.

    The groups that this keeper owns are loaded by it. A record
    ``orders/<target>`` names the one orderer, so that two keepers that both
    think that they own a group do not both order.
    """

    accepts = (LoadedVersion, OrderRefused)

    def __init__(self, context: Context) -> None:
        """Start without targets."""
        super().__init__(context)
        self.targets: dict[str, LoadTarget] = {}
        self.attempts: dict[str, Attempt] = {}
        self.owned: set[str] = set()
        # Version -> least number of its targets of a group that must stay.
        self.needed: dict[str, int] = {}
        self._recent: collections.deque[float] = collections.deque()
        # Target -> orderer's record and the local time it was first seen.
        self._seen: dict[str, tuple[int, float]] = {}
        self._wait: dict[str, float] = {}
        self._orders = 0

    def tick(self) -> None:
        """Begin loads that may begin and go on with those that run."""
        now = self._context.clock.now()
        for attempt in list(self.attempts.values()):
            if self.targets[attempt.target].group not in self.owned:
                self.attempts.pop(attempt.target)
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
        name = message.key.removeprefix(PREFIX)
        attempt = self.attempts.get(name)
        if attempt is None:
            return
        record = _decode(message.value)
        if record.get('order') == attempt.order:
            self._hold(attempt, message.revision)
        elif self._is_free(name, message.revision, record):
            self._write(attempt, message.revision)
        else:
            self._give_up(attempt, 'order_held_by_other')

    @handle.register
    def _(self, message: SwapDone, sender: str) -> None:
        attempt = self.attempts.get(message.key.removeprefix(PREFIX))
        if attempt is None:
            return
        if message.succeeded:
            self._hold(attempt, message.revision)
        else:
            self._read(attempt)

    @handle.register
    def _(self, message: StoreFailed, sender: str) -> None:
        attempt = self.attempts.get(message.key.removeprefix(PREFIX))
        if attempt is not None:
            attempt.due = self._context.clock.now() + _RETRY_S

    @handle.register
    def _(self, message: LoadedVersion, sender: str) -> None:
        target = self.targets.get(message.target)
        if target is None:
            return
        attempt = self.attempts.get(message.target)
        own = attempt is not None and message.order == attempt.order
        if message.ready:
            target.version = message.version
        if attempt is not None and own and message.ready and target.settled:
            self.attempts.pop(message.target)
            self._context.events.record(
                'version_loaded',
                target=message.target,
                version=message.version,
                order=message.order,
            )

    @handle.register
    def _(self, message: OrderRefused, sender: str) -> None:
        attempt = self.attempts.get(message.target)
        if attempt is not None and message.order == attempt.order:
            self._give_up(attempt, 'order_refused')

    def _may_begin(self, target: LoadTarget, now: float) -> bool:
        """Return whether a target may start to load now."""
        if target.settled or target.group not in self.owned:
            return False
        if target.name in self.attempts or now < self._wait.get(target.name, 0):
            return False
        busy = any(
            self.targets[name].group == target.group for name in self.attempts
        )
        return not busy and self._spares(target) and self._in_rate(now)

    def _spares(self, target: LoadTarget) -> bool:
        """Return whether its present version can do without the target."""
        serving = sum(
            other.version == target.version and other.group == target.group
            for other in self.targets.values()
        )
        return serving - 1 >= self.needed.get(target.version, 0)

    def _in_rate(self, now: float) -> bool:
        """Return whether the weight store's rate allows another load."""
        while self._recent and self._recent[0] <= now - _WINDOW_S:
            self._recent.popleft()
        return len(self._recent) < _ORDERS_PER_WINDOW

    def _begin(self, target: LoadTarget, now: float) -> None:
        """Start to load by reading who orders the target."""
        self._recent.append(now)
        self._orders += 1
        holder = self._context.identity.holder
        attempt = Attempt(
            target=target.name,
            order=f'{holder}/{self._orders}',
            begun=now,
            due=now + _RETRY_S,
        )
        self.attempts[target.name] = attempt
        self._read(attempt)

    def _go_on(self, attempt: Attempt, now: float) -> None:
        """Take the next step of a load."""
        if now - attempt.begun >= LOAD_TIMEOUT_S:
            self._give_up(attempt, 'load_timed_out')
            return
        held = attempt.fence and now - attempt.renewed < LEASE_S
        if not held or now - attempt.renewed >= _RENEW_S:
            self._read(attempt)
        if held:
            attempt.due = now + _READ_BACK_S
            self._context.outbox.send(ENGINES, AskLoaded(attempt.target))

    def _hold(self, attempt: Attempt, revision: int) -> None:
        """Order the target, or renew the record of the order."""
        now = self._context.clock.now()
        if not attempt.fence:
            attempt.fence = revision
            attempt.renewed = now
            self._send_order(attempt)
        elif now - attempt.renewed >= _RENEW_S:
            attempt.renewed = now
            self._write(attempt, revision)
        attempt.due = now + _READ_BACK_S

    def _send_order(self, attempt: Attempt) -> None:
        """Send the order; only the holder of the record may."""
        target = self.targets[attempt.target]
        if not self._context.invariants.check(
            'order_is_fenced',
            attempt.fence > 0,
            target=target.name,
        ):
            return
        self._context.events.record(
            'version_ordered',
            target=target.name,
            version=target.wanted,
            order=attempt.order,
            fence=attempt.fence,
        )
        self._context.outbox.send(
            ENGINES,
            LoadOrder(
                target=target.name,
                version=target.wanted,
                artifact=target.artifact,
                order=attempt.order,
                fence=attempt.fence,
            ),
        )

    def _is_free(
        self,
        name: str,
        revision: int,
        record: dict[str, Any],
    ) -> bool:
        """
        Return whether no other orderer holds a target.

        An orderer's record counts as lapsed once this keeper has seen it
        unchanged for the lease; no clocks are compared. A fenced target
        protects itself.
        """
        if not record or record.get('done') or self.targets[name].fenced:
            return True
        now = self._context.clock.now()
        known = self._seen.get(name)
        if known is None or known[0] != revision:
            self._seen[name] = (revision, now)
            return False
        return now - known[1] >= LEASE_S

    def _read(self, attempt: Attempt) -> None:
        """Read the record of the target's order."""
        attempt.due = self._context.clock.now() + _RETRY_S
        key = f'{PREFIX}{attempt.target}'
        self._context.outbox.store(ReadKey(key, _TAG_READ))

    def _write(self, attempt: Attempt, revision: int) -> None:
        """Write this keeper's order over the record that was read."""
        record = {
            'order': attempt.order,
            'version': self.targets[attempt.target].wanted,
            'renewed': self._context.clock.wall(),
        }
        self._context.outbox.store(
            CompareAndSwap(
                f'{PREFIX}{attempt.target}',
                revision,
                json.dumps(record).encode(),
                _TAG_SWAP,
            ),
        )

    def _give_up(self, attempt: Attempt, reason: str) -> None:
        """End an attempt and try again later."""
        self.attempts.pop(attempt.target)
        wait = self._context.random.uniform(_RETRY_S, 2 * _RETRY_S)
        self._wait[attempt.target] = self._context.clock.now() + wait
        self._context.events.record(
            reason,
            target=attempt.target,
            order=attempt.order,
        )


def _decode(value: bytes | None) -> dict[str, Any]:
    """Return an order's record, empty if there is none."""
    try:
        record = json.loads(value or b'{}')
    except ValueError:
        return {}
    return record if isinstance(record, dict) else {}
