"""Rows of the owner's tables."""

import collections
import dataclasses
import datetime as dt
import math

from fuchsiafork.configuration import Target
from fuchsiafork.dispatch.cache_view import CacheView
from fuchsiafork.dispatch.health import Health
from fuchsiafork.messages import AcquireSlot, LoadReport

# Request id and attempt: one wish for a slot.
AttemptKey = tuple[str, int]

# A target without a report for this time gets no new work: it may be leaving.
# For a plain service the report is made from its readiness.
REPORT_STALE_S = 2.0
# Past identities kept for each target, to tell late reports from new ones.
_PAST_IDENTITIES = 8
_ENDED_KEPT = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """
    A slot in use.

    :ivar granted_at: local clock time of the grant in seconds.
    :ivar adopted: taken over from another owner, time of grant unknown.
    """

    key: AttemptKey
    router: str
    route: str
    target: str
    version: str
    foreign: bool
    granted_at: float
    adopted: bool = False


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """
    A request in the queue; times are of the local clock.

    :ivar message: its latest AcquireSlot.
    :ivar give_up: time at which it is refused.
    :ivar chosen_at: time at which its version was chosen.
    """

    message: AcquireSlot
    router: str
    arrived: float
    deadline: float
    give_up: float
    version: str
    chosen_at: float

    @property
    def key(self) -> AttemptKey:
        """Its request id and attempt."""
        return (self.message.request_id, self.message.attempt)


@dataclasses.dataclass(slots=True)
class TargetState:
    """
    A target of an owned group; times are of the local clock.

    :ivar serving: whether the hand-over is complete.
    :ivar unknown: streams that the target holds for no known slot.
    :ivar held_back: slots kept free until ``held_until`` for grants that
        the owner before gave to other domains.
    :ivar ended: recent slots as granted and ended times.
    """

    name: str
    group: str
    section: Target
    serving: bool = False
    serving_at: float = 0.0
    leaving: bool = False
    ready: bool = True
    identity: str = ''
    version: str = ''
    running: int = 0
    reported_capacity: int = 0
    reported_at: float = float('-inf')
    taken_at: float = float('-inf')
    unknown: int = 0
    held_back: int = 0
    held_until: float = float('-inf')
    slots: dict[AttemptKey, Slot] = dataclasses.field(default_factory=dict)
    ended: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_ENDED_KEPT),
    )
    bounds: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque,
    )
    past: collections.deque[str] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_PAST_IDENTITIES),
    )
    health: Health = dataclasses.field(default_factory=Health)
    cache: CacheView = dataclasses.field(default_factory=CacheView)

    @property
    def capacity(self) -> int:
        """Requests that the target can hold."""
        configured = self.section.capacity
        return min(configured, self.reported_capacity or configured)

    @property
    def used(self) -> int:
        """Slots in use and streams of unknown origin."""
        return len(self.slots) + self.unknown

    def serves(self, version: str) -> bool:
        """Return whether the target runs a version."""
        return (self.version or self.section.version) == version

    def is_leaving(self, wall: float) -> bool:
        """Return whether the target is to get no more work."""
        drain_at = self.section.drain_at
        if drain_at is None:
            return self.leaving
        return self.leaving or drain_at <= dt.datetime.fromtimestamp(
            wall,
            dt.UTC,
        )

    def is_usable(self, now: float, wall: float) -> bool:
        """Return whether the target may get work."""
        if not self.serving or not self.ready or self.is_leaving(wall):
            return False
        fresh = max(now - REPORT_STALE_S, self.serving_at)
        return self.reported_at >= fresh and not self.health.is_out(now)

    def room(self, now: float) -> int:
        """Return the slots that may be given now."""
        unknown = self.unknown
        if now < self.held_until:
            unknown = max(unknown, self.held_back)
        share = self.health.share(now)
        allowed = max(1, math.floor(self.capacity * share))
        return min(allowed, self.capacity - unknown) - len(self.slots)

    def is_old(self, report: LoadReport, now: float) -> bool:
        """Return whether a report is older than what is known."""
        if report.identity and report.identity in self.past:
            return True
        return bool(report.taken_at) and (
            report.taken_at <= self.taken_at
            or report.taken_at < now - REPORT_STALE_S
        )
