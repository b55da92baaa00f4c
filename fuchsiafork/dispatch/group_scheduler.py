"""Queues requests and grants slots for one owned target group."""

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

# After this time the version of a queued request is chosen again, as there may
# have been a rollout verdict since.
VERSION_CHOICE_VALID_S = 0.5
# A request without a usable target waits at most this long, the longest time
# that a handover takes.
NO_TARGET_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class GroupScheduler:
    """
    The queue of one owned target group and the granting of its slots.

    :ivar spill_share: share of the group's slots that requests of other
        failure domains may use.
    """

    name: str
    spill_share: float
    context: Context
    table: SlotTable
    policy: VersionPolicy
    selector: TargetSelector
    queue: FairQueue = dataclasses.field(default_factory=FairQueue)
    service_times: ServiceTimes = dataclasses.field(
        default_factory=ServiceTimes
    )

    def targets(self) -> list[TargetState]:
        """Return the group's targets."""
        targets = self.table.targets.values()
        return [target for target in targets if target.group == self.name]

    def usable_targets(self) -> list[TargetState]:
        """Return the targets that may receive new requests."""
        clock = self.context.clock
        now, wall = clock.now(), clock.wall()
        return [
            target for target in self.targets() if target.is_usable(now, wall)
        ]

    def free_targets(self) -> list[TargetState]:
        """Return the usable targets with a free slot."""
        now = self.context.clock.now()
        return [
            target
            for target in self.usable_targets()
            if target.available_slots(now) > 0
        ]

    def make_queued(
        self,
        message: messages.AcquireSlot,
        router: str,
    ) -> QueuedRequest:
        """Return the queue entry of a new request."""
        now = self.context.clock.now()
        deadline = now + message.deadline_s
        version = self.policy.choose(message.route)
        return QueuedRequest(
            message, router, now, deadline, deadline, version, now
        )

    def expected_wait(self, queued: QueuedRequest) -> float:
        """
        Return the estimated seconds until a new request gets a slot.

        Infinite if no usable target runs its version.
        """
        usable_targets = [
            target
            for target in self.usable_targets()
            if target.runs_version(queued.version)
        ]
        slots = sum(target.capacity for target in usable_targets)
        if not slots:
            return float('inf')
        message = queued.message
        now = self.context.clock.now()
        room = sum(
            max(0, target.available_slots(now)) for target in usable_targets
        )
        ahead = self.queue.ahead_of(message.priority, message.account)
        return max(0, ahead + 1 - room) * self.service_times.mean / slots

    def grant_queued(self) -> Iterator[tuple[QueuedRequest, Slot]]:
        """Grant free slots to queued requests and yield each grant."""
        free = self.free_targets()
        while free and len(self.queue):
            queued = self.queue.pop(
                functools.partial(self._has_suitable_target, free),
                self._expected_hold_s,
                self.service_times.slowest_route_mean,
            )
            if queued is None:
                return
            slot = self.try_grant(queued, free)
            if slot is not None:
                yield queued, slot
            free = self.free_targets()

    def try_grant(
        self, queued: QueuedRequest, free: list[TargetState]
    ) -> Slot | None:
        """Grant a request a slot on a suitable target and return it, if any."""
        fitting = [
            target for target in free if self._is_suitable(queued, target)
        ]
        if not fitting:
            return None
        message = queued.message
        target = self.selector.select(
            fitting, self.usable_targets(), message.prefixes
        )
        if not self._check_invariants(target):
            return None
        slot = Slot(
            key=queued.key,
            router=queued.router,
            route=message.route,
            target=target.name,
            version=queued.version,
            foreign=message.foreign,
            granted_at=self.context.clock.now(),
        )
        self.table.add(slot)
        target.cache.record_sent(message.prefixes)
        self.policy.started(slot.route, slot.version)
        return slot

    def spare_targets(self) -> list[TargetState]:
        """Return the free targets for a request of another failure domain."""
        if len(self.queue):
            return []
        foreign_used = {
            target.name: _foreign_slots(target) for target in self.targets()
        }
        total = sum(target.capacity for target in self.usable_targets())
        if sum(foreign_used.values()) + 1 > self.spill_share * total:
            return []
        return [
            target
            for target in self.free_targets()
            if foreign_used[target.name]
            < max_foreign_slots(target.capacity, self.spill_share)
        ]

    def _check_invariants(self, target: TargetState) -> bool:
        """Return whether a slot on the target may be granted."""
        invariants = self.context.invariants
        room = invariants.check(
            'target_not_overfilled',
            target.used < target.capacity,
            target=target.name,
            used=target.used,
        )
        return room and invariants.check(
            'no_work_after_leaving',
            not target.is_leaving(self.context.clock.wall()),
            target=target.name,
        )

    def _has_suitable_target(
        self, free: list[TargetState], queued: QueuedRequest
    ) -> bool:
        """Return whether a free target is suitable for a request."""
        now = self.context.clock.now()
        if now - queued.version_chosen_at > VERSION_CHOICE_VALID_S:
            queued.version = self.policy.choose(queued.message.route)
            queued.version_chosen_at = now
        return any(self._is_suitable(queued, target) for target in free)

    def _is_suitable(self, queued: QueuedRequest, target: TargetState) -> bool:
        """Return whether a target runs the version and is not excluded."""
        excluded = target.name in queued.message.exclude
        return target.runs_version(queued.version) and not excluded

    def _expected_hold_s(self, queued: QueuedRequest) -> float:
        """Return the expected seconds for which a request holds its slot."""
        return self.service_times.route_mean(queued.message.route)


def max_foreign_slots(capacity: int, spill_share: float) -> int:
    """Return the most slots of one target that other domains may use."""
    return math.ceil(capacity * spill_share)


def _foreign_slots(target: TargetState) -> int:
    """Return the slots of a target that other domains use."""
    return sum(slot.foreign for slot in target.slots.values())
