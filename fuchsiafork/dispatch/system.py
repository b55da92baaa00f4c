"""Grants the slots of the target groups that a keeper owns."""

import functools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.configuration import Document
from fuchsiafork.dispatch.admission import AdmissionController
from fuchsiafork.dispatch.group_scheduler import GroupScheduler
from fuchsiafork.dispatch.handover import OpenSlotsQuery
from fuchsiafork.dispatch.health import may_eject
from fuchsiafork.dispatch.owned_groups import OwnedGroups
from fuchsiafork.dispatch.policy import VersionPolicy
from fuchsiafork.dispatch.reconcile import reconcile
from fuchsiafork.dispatch.slot_table import MAX_UNSENT_S
from fuchsiafork.dispatch.state import Slot, TargetState
from fuchsiafork.dispatch.target_selection import (
    AffinitySelector,
    TargetSelector,
)
from fuchsiafork.kernel import Context, System
from fuchsiafork.membership import MembershipSystem

AUDIT_INTERVAL_S = 5.0
_LAPSE_CHECK_INTERVAL_S = 0.5

LOST_OBSERVATION = messages.Observation(
    sent=False,
    failed=False,
    truncated=False,
    first_token_s=-1,
    token_gap_s=-1,
    tokens=0,
)


class DispatchSystem(System):
    """Handles the messages about the targets that this keeper owns."""

    accepts = (
        messages.AcquireSlot,
        messages.ReleaseSlot,
        messages.CancelAcquire,
        messages.OpenSlots,
        messages.LoadReport,
        messages.CacheEvents,
    )

    def __init__(
        self,
        context: Context,
        membership: MembershipSystem,
        policy: VersionPolicy,
        selector: TargetSelector | None = None,
    ) -> None:
        """Own no group until configured and until the peers are known."""
        super().__init__(context)
        self._policy = policy
        self._owned_groups = OwnedGroups(
            context,
            membership,
            policy,
            selector or AffinitySelector(),
        )
        self._admission = AdmissionController(
            context, membership, self._owned_groups
        )
        self._lapse_check_at = 0.0
        self._audit_at = 0.0

    @property
    def targets(self) -> dict[str, TargetState]:
        """The owned targets, whose load the keeper process polls."""
        return self._owned_groups.table.targets

    @property
    def schedulers(self) -> dict[str, GroupScheduler]:
        """The schedulers of the owned groups."""
        return self._owned_groups.schedulers

    def configure(self, document: Document) -> None:
        """Apply a configuration."""
        self._owned_groups.configure(document)

    def set_leaving(self, targets: set[str]) -> None:
        """Set the targets that are about to leave, by name."""
        self._owned_groups.set_leaving(targets)

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Handle one message."""

    @handle.register
    def _(self, message: messages.AcquireSlot, sender: str) -> None:
        self._owned_groups.check_pause()
        self._admission.acquire(message, sender)

    @handle.register
    def _(self, message: messages.CancelAcquire, sender: str) -> None:
        self._owned_groups.check_pause()
        scheduler = self._owned_groups.scheduler_or_forward(
            message.group, message, sender
        )
        if scheduler is None:
            return
        key = (message.request_id, message.attempt)
        scheduler.queue.remove(key)
        slot = self._owned_groups.table.release(key, self._context.clock.now())
        if slot is not None:
            self._policy.ended(slot.route, slot.version, LOST_OBSERVATION)
            self._admission.grant_queued_requests(scheduler)

    @handle.register
    def _(self, message: messages.ReleaseSlot, sender: str) -> None:
        self._owned_groups.check_pause()
        if self._owned_groups.forward_release(message, sender):
            return
        key = (message.request_id, message.attempt)
        table = self._owned_groups.table
        is_repeat = table.has_ended(key) and table.find(key) is None
        slot = table.release(key, self._context.clock.now())
        if not is_repeat:
            version = slot.version if slot else message.version
            self._policy.ended(message.route, version, message.observation)
        self._context.outbox.send(
            sender,
            messages.SlotReleased(*key, message.target),
        )
        self._after_release(message, slot)

    @handle.register
    def _(self, message: messages.OpenSlots, sender: str) -> None:
        self._owned_groups.check_pause()
        query = self._owned_groups.handover.record_answer(message)
        if query is not None:
            self._adopt_slots(message, query)
            self._free_unreported(message, query)

    @handle.register
    def _(self, message: messages.LoadReport, sender: str) -> None:
        self._owned_groups.check_pause()
        target = self.targets.get(message.target)
        now = self._context.clock.now()
        if target is None or target.is_outdated(message, now):
            return
        target.report_taken_at = message.taken_at or now
        target.ready = message.ready and bool(message.identity)
        target.reported_at = target.report_taken_at
        if not message.identity:
            return
        if target.identity != message.identity:
            self._update_identity(target, message.identity, now)
        target.version = message.version
        target.running = message.running
        target.reported_capacity = message.capacity
        if target.serving:
            reconcile(target, now)
            self._admission.grant_queued_requests(self.schedulers[target.group])

    @handle.register
    def _(self, message: messages.CacheEvents, sender: str) -> None:
        target = self.targets.get(message.target)
        if target is not None and not target.cache.apply(message):
            self._context.events.record('cache_gap', target=target.name)

    def tick(self) -> None:
        """Run handovers, leases and audits; refuse and grant requests."""
        self._owned_groups.tick()
        now = self._context.clock.now()
        if now >= self._lapse_check_at:
            self._lapse_check_at = now + _LAPSE_CHECK_INTERVAL_S
            self._expire_silent_routers()
        if now >= self._audit_at:
            self._audit_at = now + AUDIT_INTERVAL_S
            self._audit()
        for scheduler in list(self.schedulers.values()):
            self._admission.refuse_expired(scheduler)
            self._admission.grant_queued_requests(scheduler)

    def _update_identity(
        self, target: TargetState, identity: str, now: float
    ) -> None:
        """Set a target's identity; a new one means that it was replaced."""
        if not target.identity:
            target.identity = identity
            return
        self._context.events.record(
            'target_replaced',
            target=target.name,
            identity=identity,
        )
        self._owned_groups.table.replace_target(target, identity, now)

    def _after_release(
        self,
        message: messages.ReleaseSlot,
        slot: Slot | None,
    ) -> None:
        """Record a release and grant the free slot to a queued request."""
        target = self.targets.get(message.target)
        if target is None:
            return
        if slot is not None:
            self._record_release(message, slot, target)
        self._admission.grant_queued_requests(self.schedulers[target.group])

    def _record_release(
        self,
        message: messages.ReleaseSlot,
        slot: Slot,
        target: TargetState,
    ) -> None:
        """Update service times, health and ownership from a release."""
        now = self._context.clock.now()
        if message.owner_now not in {'', self._context.identity.node}:
            self._owned_groups.restart_handover(target.group)
        scheduler = self.schedulers[target.group]
        if message.observation.sent and not slot.adopted:
            scheduler.service_times.record(slot.route, now - slot.granted_at)
        if target.health.record(message.observation, now):
            self._eject(target, scheduler, now)

    def _eject(
        self, target: TargetState, scheduler: GroupScheduler, now: float
    ) -> None:
        """Eject an outlier unless too many of its group are ejected."""
        if may_eject([member.health for member in scheduler.targets()], now):
            duration_s = target.health.eject(now)
            self._context.events.record(
                'target_ejected',
                target=target.name,
                seconds=duration_s,
            )

    def _adopt_slots(
        self, message: messages.OpenSlots, query: OpenSlotsQuery
    ) -> None:
        """Add the slots that a router reports as in use to the table."""
        table = self._owned_groups.table
        for opened in message.rows:
            key = (opened.request_id, opened.attempt)
            known = table.find(key) is not None or table.has_ended(key)
            if opened.target not in self.targets or known:
                continue
            table.add(
                Slot(
                    key=key,
                    router=message.router,
                    route=opened.route,
                    target=opened.target,
                    version=opened.version,
                    foreign=False,
                    granted_at=query.started - MAX_UNSENT_S,
                    adopted=True,
                ),
            )

    def _free_unreported(
        self, message: messages.OpenSlots, query: OpenSlotsQuery
    ) -> None:
        """End old slots on the queried targets that a router did not report."""
        reported = {
            (opened.request_id, opened.attempt) for opened in message.rows
        }
        for slot in self._owned_groups.table.slots():
            queried = slot.target in query.targets
            old = slot.granted_at < query.started - MAX_UNSENT_S
            unreported = (
                slot.router == message.router and slot.key not in reported
            )
            if queried and old and unreported:
                self._expire_slot(slot)

    def _expire_slot(self, slot: Slot) -> None:
        """
        End a slot that its router no longer reports.

        The target may still run the request, so its capacity stays occupied
        until the load reports show that it is free.
        """
        table = self._owned_groups.table
        target = self.targets.get(slot.target)
        if target is not None and slot.key in target.slots:
            target.unattributed_streams += 1
        table.release(slot.key, self._context.clock.now())
        self._policy.ended(slot.route, slot.version, LOST_OBSERVATION)
        self._context.events.record(
            'slot_lapsed',
            target=slot.target,
            router=slot.router,
            request_id=slot.key[0],
        )

    def _expire_silent_routers(self) -> None:
        """End the slots of routers whose lease has lapsed."""
        handover = self._owned_groups.handover
        for slot in self._owned_groups.table.slots():
            if handover.has_lapsed(slot.router, foreign=slot.foreign):
                self._expire_slot(slot)

    def _audit(self) -> None:
        """Query the routers for the slots that they still use."""
        serving = tuple(
            name for name, target in self.targets.items() if target.serving
        )
        if serving:
            foreign = frozenset(
                slot.router
                for slot in self._owned_groups.table.slots()
                if slot.foreign
            )
            self._owned_groups.handover.start(serving, foreign, audit=True)
