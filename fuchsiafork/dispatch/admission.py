"""Takes requests for slots: grant, queue, spill or refuse."""

import collections
import dataclasses

from fuchsiafork import messages
from fuchsiafork.dispatch.fair_queue import QUEUE_LIMIT
from fuchsiafork.dispatch.group_scheduler import (
    NO_TARGET_PATIENCE_S,
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

# A request that would wait longer is offered to another failure domain.
SPILL_WAIT_S = 0.5
# One that cannot meet its deadline here waits this long for that offer.
SPILL_PATIENCE_S = 0.5
LEAST_RETRY_AFTER_S = 0.5
_REFUSALS_KEPT = 1024


class Admission:
    """Answers to AcquireSlot; a repeated one gets the same answer."""

    def __init__(
        self,
        context: Context,
        membership: MembershipSystem,
        owned_groups: OwnedGroups,
    ) -> None:
        """Start without refusals."""
        self._context = context
        self._membership = membership
        self._owned_groups = owned_groups
        self._refusals: collections.OrderedDict[
            AttemptKey,
            messages.SlotRefused,
        ] = collections.OrderedDict()

    def acquire(self, message: messages.AcquireSlot, router: str) -> None:
        """Take a request or pass it on to the owner of its group."""
        scheduler = self._owned_groups.scheduler_or_forward(
            message.group, message, router
        )
        if scheduler is None:
            return
        self._owned_groups.handover.see(router)
        key = (message.request_id, message.attempt)
        slot = self._owned_groups.table.find(key)
        if slot is not None:
            self._grant(message, slot)
        elif key in self._refusals:
            self._context.outbox.send(router, self._refusals[key])
        elif not self._owned_groups.table.has_ended(key):
            self._admit(scheduler, message, router)

    def serve(self, scheduler: GroupScheduler) -> None:
        """Give free slots to the requests of a queue."""
        for waiting, slot in scheduler.grants():
            self._grant(waiting.message, slot)

    def expire(self, scheduler: GroupScheduler) -> None:
        """Refuse the requests of a queue whose time is up."""
        now = self._context.clock.now()
        for waiting in tuple(scheduler.queue):
            if waiting.give_up <= now:
                scheduler.queue.remove(waiting.key)
                wait = scheduler.expected_wait(waiting)
                self._refuse_late(waiting, wait)

    def _admit(
        self,
        scheduler: GroupScheduler,
        message: messages.AcquireSlot,
        router: str,
    ) -> None:
        """Grant, queue or refuse a request."""
        known = scheduler.queue.get((message.request_id, message.attempt))
        if known is not None:
            if message.sent_at >= known.message.sent_at:
                known.message = message
            self._spill(scheduler, known, scheduler.expected_wait(known))
        elif message.foreign:
            waiting = scheduler.waiting(message, router)
            slot = scheduler.take(waiting, scheduler.spare())
            if slot is not None:
                self._grant(message, slot)
        else:
            self._enqueue(scheduler, scheduler.waiting(message, router))

    def _enqueue(
        self, scheduler: GroupScheduler, waiting: QueuedRequest
    ) -> None:
        """Queue a request that can be served in time, else refuse it."""
        wait = scheduler.expected_wait(waiting)
        now = self._context.clock.now()
        deadline_s = waiting.message.deadline_s
        if wait == float('inf'):
            waiting.give_up = min(
                waiting.deadline,
                now + NO_TARGET_PATIENCE_S,
            )
        elif wait > deadline_s:
            if not self._spill_domains(scheduler):
                self._refuse_late(waiting, wait)
                return
            waiting.give_up = min(waiting.deadline, now + SPILL_PATIENCE_S)
        dropped = scheduler.queue.push(waiting)
        if dropped is not None:
            slots = sum(row.capacity for row in scheduler.usable())
            retry_after = QUEUE_LIMIT * scheduler.times.mean / max(1, slots)
            self._refuse(dropped, QueueFullError.code, retry_after)
        self.serve(scheduler)
        if scheduler.queue.get(waiting.key) is not None:
            self._spill(scheduler, waiting, wait)

    def _spill(
        self, scheduler: GroupScheduler, waiting: QueuedRequest, wait: float
    ) -> None:
        """Offer a request that would wait long to another domain."""
        domains = self._spill_domains(scheduler)
        if wait < SPILL_WAIT_S or not domains:
            return
        domain = self._context.random.choice(domains)
        group = waiting.message.group
        home = self._owned_groups.ownership.home(group, domain)
        if home:
            self._context.outbox.forward(
                home,
                dataclasses.replace(waiting.message, foreign=True),
                waiting.router,
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

    def _grant(self, message: messages.AcquireSlot, slot: Slot) -> None:
        """Send the answer that names a slot."""
        row = self._owned_groups.table.targets[slot.target]
        self._context.outbox.send(
            slot.router,
            messages.SlotAcquired(
                request_id=message.request_id,
                route=message.route,
                target=slot.target,
                url=row.section.url,
                version=slot.version,
                owner=self._context.identity.node,
                foreign=slot.foreign,
                attempt=message.attempt,
                sent_at=message.sent_at,
            ),
        )

    def _refuse_late(self, waiting: QueuedRequest, wait: float) -> None:
        """Refuse a request that cannot be served in time."""
        if wait == float('inf'):
            self._refuse(waiting, NoTargetError.code, NO_TARGET_PATIENCE_S)
        else:
            late = wait - waiting.message.deadline_s
            self._refuse(waiting, DeadlineError.code, late)

    def _refuse(
        self, waiting: QueuedRequest, code: int, retry_after: float
    ) -> None:
        """Send a refusal and remember it for repeated requests."""
        message = waiting.message
        refusal = messages.SlotRefused(
            request_id=message.request_id,
            route=message.route,
            code=code,
            retry_after_s=max(LEAST_RETRY_AFTER_S, retry_after),
            attempt=message.attempt,
        )
        self._refusals[waiting.key] = refusal
        while len(self._refusals) > _REFUSALS_KEPT:
            self._refusals.popitem(last=False)
        self._owned_groups.table.end(waiting.key)
        self._context.outbox.send(waiting.router, refusal)
