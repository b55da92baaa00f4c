"""Queue and grants of one owned group."""

import dataclasses
import functools
import math
from collections.abc import Iterator

from fuchsiafork import messages
from fuchsiafork.dispatch.fair_queue import FairQueue
from fuchsiafork.dispatch.policy import VersionPolicy
from fuchsiafork.dispatch.service_time import ServiceTimes
from fuchsiafork.dispatch.slot_table import SlotTable
from fuchsiafork.dispatch.state import QueuedRequest, Slot, TargetState
from fuchsiafork.dispatch.target_selection import TargetSelector
from fuchsiafork.kernel import Context

# A version chosen longer ago may have had a verdict since.
VERSION_VALID_S = 0.5
# A request without any usable target waits at most this long, the time that
# a hand-over may take.
NO_TARGET_PATIENCE_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class GroupScheduler:
    """
    One owned group: its queue and what its requests are given.

    :ivar share: part of its slots that other domains may use.
    """

    name: str
    share: float
    context: Context
    table: SlotTable
    policy: VersionPolicy
    selector: TargetSelector
    queue: FairQueue = dataclasses.field(default_factory=FairQueue)
    times: ServiceTimes = dataclasses.field(default_factory=ServiceTimes)

    def rows(self) -> list[TargetState]:
        """Return the group's targets."""
        targets = self.table.targets.values()
        return [row for row in targets if row.group == self.name]

    def usable(self) -> list[TargetState]:
        """Return the targets that may get work."""
        clock = self.context.clock
        now, wall = clock.now(), clock.wall()
        return [row for row in self.rows() if row.is_usable(now, wall)]

    def free(self) -> list[TargetState]:
        """Return the targets that may get work and have room for it."""
        now = self.context.clock.now()
        return [row for row in self.usable() if row.room(now) > 0]

    def waiting(
        self,
        message: messages.AcquireSlot,
        router: str,
    ) -> QueuedRequest:
        """Return the row of a new request."""
        now = self.context.clock.now()
        deadline = now + message.deadline_s
        version = self.policy.choose(message.route)
        return QueuedRequest(
            message, router, now, deadline, deadline, version, now
        )

    def expected_wait(self, waiting: QueuedRequest) -> float:
        """
        Return the seconds until a new request gets a slot.

        Infinite without a usable target of its version.
        """
        usable = [row for row in self.usable() if row.serves(waiting.version)]
        slots = sum(row.capacity for row in usable)
        if not slots:
            return float('inf')
        message = waiting.message
        now = self.context.clock.now()
        room = sum(max(0, row.room(now)) for row in usable)
        ahead = self.queue.ahead_of(message.priority, message.account)
        return max(0, ahead + 1 - room) * self.times.mean / slots

    def grants(self) -> Iterator[tuple[QueuedRequest, Slot]]:
        """Yield requests of the queue that get a slot now."""
        free = self.free()
        while free and len(self.queue):
            waiting = self.queue.pop(
                functools.partial(self._fits, free),
                self._cost,
                self.times.longest,
            )
            if waiting is None:
                return
            slot = self.take(waiting, free)
            if slot is not None:
                yield waiting, slot
            free = self.free()

    def take(
        self, waiting: QueuedRequest, free: list[TargetState]
    ) -> Slot | None:
        """Return the slot that a request was given, if one fits."""
        fitting = [row for row in free if self._suits(waiting, row)]
        if not fitting:
            return None
        message = waiting.message
        row = self.selector.select(fitting, self.usable(), message.prefixes)
        if not self._holds(row):
            return None
        slot = Slot(
            key=waiting.key,
            router=waiting.router,
            route=message.route,
            target=row.name,
            version=waiting.version,
            foreign=message.foreign,
            granted_at=self.context.clock.now(),
        )
        self.table.take(slot)
        row.cache.expect(message.prefixes)
        self.policy.started(slot.route, slot.version)
        return slot

    def spare(self) -> list[TargetState]:
        """Return the free targets that a request of another domain may use."""
        if len(self.queue):
            return []
        held = {row.name: _foreign(row) for row in self.rows()}
        total = sum(row.capacity for row in self.usable())
        if sum(held.values()) + 1 > self.share * total:
            return []
        return [
            row
            for row in self.free()
            if held[row.name] < held_back(row.capacity, self.share)
        ]

    def _holds(self, row: TargetState) -> bool:
        """Return whether the conditions of a grant hold."""
        invariants = self.context.invariants
        room = invariants.check(
            'target_not_overfilled',
            row.used < row.capacity,
            target=row.name,
            used=row.used,
        )
        return room and invariants.check(
            'no_work_after_leaving',
            not row.is_leaving(self.context.clock.wall()),
            target=row.name,
        )

    def _fits(self, free: list[TargetState], waiting: QueuedRequest) -> bool:
        """Return whether a free target suits a request."""
        now = self.context.clock.now()
        if now - waiting.chosen_at > VERSION_VALID_S:
            waiting.version = self.policy.choose(waiting.message.route)
            waiting.chosen_at = now
        return any(self._suits(waiting, row) for row in free)

    def _suits(self, waiting: QueuedRequest, row: TargetState) -> bool:
        """Return whether a target runs the version and is not excluded."""
        excluded = row.name in waiting.message.exclude
        return row.serves(waiting.version) and not excluded

    def _cost(self, waiting: QueuedRequest) -> float:
        """Return the seconds for which a request will hold its slot."""
        return self.times.of(waiting.message.route)


def held_back(capacity: int, share: float) -> int:
    """Return the slots of one target that other domains may use at most."""
    return math.ceil(capacity * share)


def _foreign(row: TargetState) -> int:
    """Return the slots of a target that other domains use."""
    return sum(slot.foreign for slot in row.slots.values())
