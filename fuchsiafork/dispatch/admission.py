"""Takes requests for slots: grant, queue, spill or refuse."""

import collections
import dataclasses

from fuchsiafork import messages
from fuchsiafork.dispatch.desk import NO_TARGET_PATIENCE_S, Desk
from fuchsiafork.dispatch.fair_queue import QUEUE_LIMIT
from fuchsiafork.dispatch.groups import pool_targets
from fuchsiafork.dispatch.rows import Key, Slot, Waiting
from fuchsiafork.dispatch.tenure import Tenure
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
        tenure: Tenure,
    ) -> None:
        """Start without refusals."""
        self._context = context
        self._membership = membership
        self._tenure = tenure
        self._refusals: collections.OrderedDict[
            Key,
            messages.SlotRefused,
        ] = collections.OrderedDict()

    def acquire(self, message: messages.AcquireSlot, router: str) -> None:
        """Take a request or pass it on to the owner of its group."""
        desk = self._tenure.desk_or_forward(message.group, message, router)
        if desk is None:
            return
        self._tenure.handover.see(router)
        key = (message.request_id, message.attempt)
        slot = self._tenure.table.find(key)
        if slot is not None:
            self._grant(message, slot)
        elif key in self._refusals:
            self._context.outbox.send(router, self._refusals[key])
        elif not self._tenure.table.has_ended(key):
            self._admit(desk, message, router)

    def serve(self, desk: Desk) -> None:
        """Give free slots to the requests of a queue."""
        for waiting, slot in desk.grants():
            self._grant(waiting.message, slot)

    def expire(self, desk: Desk) -> None:
        """Refuse the requests of a queue whose time is up."""
        now = self._context.clock.now()
        for waiting in tuple(desk.queue):
            if waiting.give_up <= now:
                desk.queue.remove(waiting.key)
                wait = desk.expected_wait(waiting)
                self._refuse_late(waiting, wait)

    def _admit(
        self,
        desk: Desk,
        message: messages.AcquireSlot,
        router: str,
    ) -> None:
        """Grant, queue or refuse a request."""
        known = desk.queue.get((message.request_id, message.attempt))
        if known is not None:
            if message.sent_at >= known.message.sent_at:
                known.message = message
            self._spill(desk, known, desk.expected_wait(known))
        elif message.foreign:
            waiting = desk.waiting(message, router)
            slot = desk.take(waiting, desk.spare())
            if slot is not None:
                self._grant(message, slot)
        else:
            self._enqueue(desk, desk.waiting(message, router))

    def _enqueue(self, desk: Desk, waiting: Waiting) -> None:
        """Queue a request that can be served in time, else refuse it."""
        wait = desk.expected_wait(waiting)
        now = self._context.clock.now()
        deadline_s = waiting.message.deadline_s
        if wait == float('inf'):
            waiting.give_up = min(
                waiting.deadline,
                now + NO_TARGET_PATIENCE_S,
            )
        elif wait > deadline_s:
            if not self._spill_domains(desk):
                self._refuse_late(waiting, wait)
                return
            waiting.give_up = min(waiting.deadline, now + SPILL_PATIENCE_S)
        dropped = desk.queue.push(waiting)
        if dropped is not None:
            slots = sum(row.capacity for row in desk.usable())
            retry_after = QUEUE_LIMIT * desk.times.mean / max(1, slots)
            self._refuse(dropped, QueueFullError.code, retry_after)
        self.serve(desk)
        if desk.queue.get(waiting.key) is not None:
            self._spill(desk, waiting, wait)

    def _spill(self, desk: Desk, waiting: Waiting, wait: float) -> None:
        """Offer a request that would wait long to another domain."""
        domains = self._spill_domains(desk)
        if wait < SPILL_WAIT_S or not domains:
            return
        domain = self._context.random.choice(domains)
        group = waiting.message.group
        home = self._tenure.ownership.home(group, domain)
        if home:
            self._context.outbox.forward(
                home,
                dataclasses.replace(waiting.message, foreign=True),
                waiting.router,
            )

    def _spill_domains(self, desk: Desk) -> list[str]:
        """Return the reachable other domains with targets of the pool."""
        own = self._context.identity.domain
        document = self._tenure.document
        pool = desk.name.rpartition('/')[0]
        return [
            domain
            for domain in self._membership.domains()
            if domain != own and pool_targets(document, pool, domain)
        ]

    def _grant(self, message: messages.AcquireSlot, slot: Slot) -> None:
        """Send the answer that names a slot."""
        row = self._tenure.table.targets[slot.target]
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

    def _refuse_late(self, waiting: Waiting, wait: float) -> None:
        """Refuse a request that cannot be served in time."""
        if wait == float('inf'):
            self._refuse(waiting, NoTargetError.code, NO_TARGET_PATIENCE_S)
        else:
            late = wait - waiting.message.deadline_s
            self._refuse(waiting, DeadlineError.code, late)

    def _refuse(self, waiting: Waiting, code: int, retry_after: float) -> None:
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
        self._tenure.table.end(waiting.key)
        self._context.outbox.send(waiting.router, refusal)
