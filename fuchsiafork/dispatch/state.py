"""State of slots, queued requests and targets at their owner."""

import collections
import dataclasses
import datetime as dt
import math

from fuchsiafork.configuration import Target
from fuchsiafork.dispatch.cache_view import CacheView
from fuchsiafork.dispatch.health import Health
from fuchsiafork.messages import AcquireSlot, LoadReport

# Request id and attempt number, which identify one attempt to get a slot.
AttemptKey = tuple[str, int]

# A target without a report for this time gets no new requests, as it may be
# leaving. The report of a plain service is derived from its readiness check.
REPORT_STALE_S = 2.0
# Former identities kept for each target, to recognize late reports of them.
_MAX_PAST_IDENTITIES = 8
_MAX_ENDED_SPANS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """
    A slot in use.

    :ivar foreign: whether the request is of another failure domain.
    :ivar granted_at: local clock time of the grant in seconds.
    :ivar adopted: whether the slot was learned of from its router, so that
        the time of its grant is unknown.
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

    :ivar message: the latest AcquireSlot of the attempt.
    :ivar refuse_at: time at which the request is refused.
    :ivar version_chosen_at: time at which the version was chosen.
    """

    message: AcquireSlot
    router: str
    arrived: float
    deadline: float
    refuse_at: float
    version: str
    version_chosen_at: float

    @property
    def key(self) -> AttemptKey:
        """The request id and the attempt number."""
        return (self.message.request_id, self.message.attempt)


@dataclasses.dataclass(slots=True)
class TargetState:
    """
    A target of an owned group; times are of the local clock.

    :ivar serving: whether the handover is complete and slots are granted.
    :ivar unattributed_streams: running streams that belong to no known slot.
    :ivar foreign_reserve: slots kept free until ``foreign_reserve_until`` for
        requests that the previous owner granted to other failure domains.
    :ivar ended_spans: grant and end times of recently released slots.
    :ivar unattributed_bounds: times and upper bounds of
        ``unattributed_streams`` by recent load reports.
    :ivar past_identities: identities of targets that were replaced.
    """

    name: str
    group: str
    section: Target
    serving: bool = False
    serving_since: float = 0.0
    leaving: bool = False
    ready: bool = True
    identity: str = ''
    version: str = ''
    running: int = 0
    reported_capacity: int = 0
    reported_at: float = float('-inf')
    report_taken_at: float = float('-inf')
    unattributed_streams: int = 0
    foreign_reserve: int = 0
    foreign_reserve_until: float = float('-inf')
    slots: dict[AttemptKey, Slot] = dataclasses.field(default_factory=dict)
    ended_spans: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_ENDED_SPANS),
    )
    unattributed_bounds: collections.deque[tuple[float, int]] = (
        dataclasses.field(
            default_factory=collections.deque,
        )
    )
    past_identities: collections.deque[str] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_PAST_IDENTITIES),
    )
    health: Health = dataclasses.field(default_factory=Health)
    cache: CacheView = dataclasses.field(default_factory=CacheView)

    @property
    def capacity(self) -> int:
        """The number of requests that the target can hold."""
        configured = self.section.capacity
        return min(configured, self.reported_capacity or configured)

    @property
    def used(self) -> int:
        """The number of slots in use and of unattributed streams."""
        return len(self.slots) + self.unattributed_streams

    def runs_version(self, version: str) -> bool:
        """Return whether the target runs a version."""
        return (self.version or self.section.version) == version

    def is_leaving(self, wall: float) -> bool:
        """Return whether the target may get no more requests."""
        drain_at = self.section.drain_at
        if drain_at is None:
            return self.leaving
        return self.leaving or drain_at <= dt.datetime.fromtimestamp(
            wall,
            dt.UTC,
        )

    def is_usable(self, now: float, wall: float) -> bool:
        """Return whether the target may get new requests."""
        if not self.serving or not self.ready or self.is_leaving(wall):
            return False
        fresh = max(now - REPORT_STALE_S, self.serving_since)
        return self.reported_at >= fresh and not self.health.is_unavailable(now)

    def available_slots(self, now: float) -> int:
        """Return the number of slots that may be granted now."""
        reserved = self.unattributed_streams
        if now < self.foreign_reserve_until:
            reserved = max(reserved, self.foreign_reserve)
        capacity_share = self.health.capacity_share(now)
        allowed = max(1, math.floor(self.capacity * capacity_share))
        return min(allowed, self.capacity - reserved) - len(self.slots)

    def is_outdated(self, report: LoadReport, now: float) -> bool:
        """Return whether a report is older than the known state."""
        if report.identity and report.identity in self.past_identities:
            return True
        return bool(report.taken_at) and (
            report.taken_at <= self.report_taken_at
            or report.taken_at < now - REPORT_STALE_S
        )
