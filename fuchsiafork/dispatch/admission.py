"""Grants, queues, spills or refuses requests for slots."""

import collections
import dataclasses

from fuchsiafork import messages
from fuchsiafork.dispatch.fair_queue import QUEUE_LIMIT
from fuchsiafork.dispatch.group_scheduler import (
    NO_TARGET_TIMEOUT_S,
    GroupScheduler,
)
from fuchsiafork.dispatch.groups import pool_targets
from fuchsiafork.dispatch.owned_groups import OwnedGroups
from fuchsiafork.dispatch.state import AttemptKey, QueuedRequest, Slot
from fuchsiafork.kernel import Context
from fuchsiafork.kernel.errors import (
    DeadlineError,
    NoTargetError,
    QueueFullError,
)
from fuchsiafork.membership import MembershipSystem

# A request with a longer expected wait is offered to another failure domain.
SPILL_WAIT_S = 0.5
# A request that cannot meet its deadline in this failure domain stays queued
# for this time, in which another domain may grant it a slot.
SPILL_TIMEOUT_S = 0.5
MIN_RETRY_AFTER_S = 0.5
_MAX_REFUSALS = 1024


class AdmissionController:
    """Answers AcquireSlot; a resent message gets the same answer."""

    def __init__(
        self,
        context: Context,
        membership: MembershipSystem,
        owned_groups: OwnedGroups,
    ) -> None:
        """Start without remembered refusals."""
        self._context = context
        self._membership = membership
        self._owned_groups = owned_groups
        self._refusals: collections.OrderedDict[
            AttemptKey,
            messages.SlotRefused,
        ] = collections.OrderedDict()

    def acquire(self, message: messages.AcquireSlot, router: str) -> None:
        """Handle a request or forward it to the owner of its group."""
        scheduler = self._owned_groups.scheduler_or_forward(
            message.group, message, router
        )
        if scheduler is None:
            return
        self._owned_groups.handover.record_contact(router)
        key = (message.request_id, message.attempt)
        slot = self._owned_groups.table.find(key)
        if slot is not None:
            self._send_grant(message, slot)
        elif key in self._refusals:
            self._context.outbox.send(router, self._refusals[key])
        elif not self._owned_groups.table.has_ended(key):
            self._handle_new(scheduler, message, router)

    def grant_queued_requests(self, scheduler: GroupScheduler) -> None:
        """Grant free slots to the queued requests of a group."""
        for queued, slot in scheduler.grant_queued():
            self._send_grant(queued.message, slot)

    def refuse_expired(self, scheduler: GroupScheduler) -> None:
        """Refuse the queued requests whose time in the queue is over."""
        now = self._context.clock.now()
        for queued in tuple(scheduler.queue):
            if queued.refuse_at <= now:
                scheduler.queue.remove(queued.key)
                wait = scheduler.expected_wait(queued)
                self._refuse_for_deadline(queued, wait)

    def _handle_new(
        self,
        scheduler: GroupScheduler,
        message: messages.AcquireSlot,
        router: str,
    ) -> None:
        """Grant, queue or refuse an attempt that has no slot or refusal yet."""
        existing = scheduler.queue.get((message.request_id, message.attempt))
        if existing is not None:
            if message.sent_at >= existing.message.sent_at:
                existing.message = message
            self._spill(scheduler, existing, scheduler.expected_wait(existing))
        elif message.foreign:
            queued = scheduler.make_queued(message, router)
            slot = scheduler.try_grant(queued, scheduler.spare_targets())
            if slot is not None:
                self._send_grant(message, slot)
        else:
            self._enqueue(scheduler, scheduler.make_queued(message, router))

    def _enqueue(
        self, scheduler: GroupScheduler, queued: QueuedRequest
    ) -> None:
        """Queue a request, or refuse it if its deadline cannot be met."""
        wait = scheduler.expected_wait(queued)
        now = self._context.clock.now()
        deadline_s = queued.message.deadline_s
        if wait == float('inf'):
            queued.refuse_at = min(
                queued.deadline,
                now + NO_TARGET_TIMEOUT_S,
            )
        elif wait > deadline_s:
            if not self._spill_domains(scheduler):
                self._refuse_for_deadline(queued, wait)
                return
            queued.refuse_at = min(queued.deadline, now + SPILL_TIMEOUT_S)
        dropped = scheduler.queue.push(queued)
        if dropped is not None:
            slots = sum(
                target.capacity for target in scheduler.usable_targets()
            )
            retry_after = (
                QUEUE_LIMIT * scheduler.service_times.mean / max(1, slots)
            )
            self._refuse(dropped, QueueFullError.code, retry_after)
        self.grant_queued_requests(scheduler)
        if scheduler.queue.get(queued.key) is not None:
            self._spill(scheduler, queued, wait)

    def _spill(
        self, scheduler: GroupScheduler, queued: QueuedRequest, wait: float
    ) -> None:
        """Offer a request with a long expected wait to another domain."""
        domains = self._spill_domains(scheduler)
        if wait < SPILL_WAIT_S or not domains:
            return
        domain = self._context.random.choice(domains)
        group = queued.message.group
        owner = self._owned_groups.ownership.owner(group, domain)
        if owner:
            self._context.outbox.forward(
                owner,
                dataclasses.replace(queued.message, foreign=True),
                queued.router,
            )

    def _spill_domains(self, scheduler: GroupScheduler) -> list[str]:
        """Return the reachable other domains with targets of the pool."""
        own = self._context.identity.domain
        document = self._owned_groups.document
        pool = scheduler.name.rpartition('/')[0]
        return [
            domain
            for domain in self._membership.domains()
            if domain != own and pool_targets(document, pool, domain)
        ]

    def _send_grant(self, message: messages.AcquireSlot, slot: Slot) -> None:
        """Send the router the slot that was granted."""
        target = self._owned_groups.table.targets[slot.target]
        self._context.outbox.send(
            slot.router,
            messages.SlotAcquired(
                request_id=message.request_id,
                route=message.route,
                target=slot.target,
                url=target.section.url,
                version=slot.version,
                owner=self._context.identity.node,
                foreign=slot.foreign,
                attempt=message.attempt,
                sent_at=message.sent_at,
            ),
        )

    def _refuse_for_deadline(self, queued: QueuedRequest, wait: float) -> None:
        """Refuse a request that cannot be served by its deadline."""
        if wait == float('inf'):
            self._refuse(queued, NoTargetError.code, NO_TARGET_TIMEOUT_S)
        else:
            late_by_s = wait - queued.message.deadline_s
            self._refuse(queued, DeadlineError.code, late_by_s)

    def _refuse(
        self, queued: QueuedRequest, code: int, retry_after: float
    ) -> None:
        """Send a refusal and remember it for resent messages."""
        message = queued.message
        refusal = messages.SlotRefused(
            request_id=message.request_id,
            route=message.route,
            code=code,
            retry_after_s=max(MIN_RETRY_AFTER_S, retry_after),
            attempt=message.attempt,
        )
        self._refusals[queued.key] = refusal
        while len(self._refusals) > _MAX_REFUSALS:
            self._refusals.popitem(last=False)
        self._owned_groups.table.mark_ended(queued.key)
        self._context.outbox.send(queued.router, refusal)
