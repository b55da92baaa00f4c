"""The owner of target groups."""

import functools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.configuration import Document
from fuchsiafork.dispatch.admission import Admission
from fuchsiafork.dispatch.group_scheduler import GroupScheduler
from fuchsiafork.dispatch.handover import Ask
from fuchsiafork.dispatch.health import may_eject
from fuchsiafork.dispatch.owned_groups import OwnedGroups
from fuchsiafork.dispatch.policy import VersionPolicy
from fuchsiafork.dispatch.reconcile import reconcile
from fuchsiafork.dispatch.slot_table import UNSENT_S
from fuchsiafork.dispatch.state import Slot, TargetState
from fuchsiafork.dispatch.target_selection import (
    AffinitySelector,
    TargetSelector,
)
from fuchsiafork.kernel import Context, System
from fuchsiafork.membership import MembershipSystem

AUDIT_S = 5.0
_LAPSE_CHECK_S = 0.5

LOST = messages.Observation(
    sent=False,
    failed=False,
    truncated=False,
    first_token_s=-1,
    token_gap_s=-1,
    tokens=0,
)


class DispatchSystem(System):
    """Slots, queue, choice and membership of the targets it owns."""

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
        """Own nothing until configured and settled."""
        super().__init__(context)
        self._policy = policy
        self._owned_groups = OwnedGroups(
            context,
            membership,
            policy,
            selector or AffinitySelector(),
        )
        self._admission = Admission(context, membership, self._owned_groups)
        self._lapse_check_at = 0.0
        self._audit_at = 0.0

    @property
    def targets(self) -> dict[str, TargetState]:
        """Rows of the owned targets, whose load the program is to read."""
        return self._owned_groups.table.targets

    @property
    def schedulers(self) -> dict[str, GroupScheduler]:
        """The owned groups."""
        return self._owned_groups.schedulers

    def configure(self, document: Document) -> None:
        """Take a configuration into force."""
        self._owned_groups.configure(document)

    def set_leaving(self, targets: set[str]) -> None:
        """Take the names of the targets whose VMs are leaving."""
        self._owned_groups.set_leaving(targets)

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Take one message."""

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
        slot = self._owned_groups.table.free(key, self._context.clock.now())
        if slot is not None:
            self._policy.ended(slot.route, slot.version, LOST)
            self._admission.serve(scheduler)

    @handle.register
    def _(self, message: messages.ReleaseSlot, sender: str) -> None:
        self._owned_groups.check_pause()
        if self._owned_groups.forward_release(message, sender):
            return
        key = (message.request_id, message.attempt)
        table = self._owned_groups.table
        again = table.has_ended(key) and table.find(key) is None
        slot = table.free(key, self._context.clock.now())
        if not again:
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
        ask = self._owned_groups.handover.find(message)
        if ask is not None:
            self._adopt(message, ask)
            self._drop_unknown(message, ask)

    @handle.register
    def _(self, message: messages.LoadReport, sender: str) -> None:
        self._owned_groups.check_pause()
        row = self.targets.get(message.target)
        now = self._context.clock.now()
        if row is None or row.is_old(message, now):
            return
        row.taken_at = message.taken_at or now
        row.ready = message.ready and bool(message.identity)
        row.reported_at = row.taken_at
        if not message.identity:
            return
        if row.identity != message.identity:
            self._meet(row, message.identity, now)
        row.version = message.version
        row.running = message.running
        row.reported_capacity = message.capacity
        if row.serving:
            reconcile(row, now)
            self._admission.serve(self.schedulers[row.group])

    @handle.register
    def _(self, message: messages.CacheEvents, sender: str) -> None:
        row = self.targets.get(message.target)
        if row is not None and not row.cache.apply(message):
            self._context.events.record('cache_gap', target=row.name)

    def tick(self) -> None:
        """Take over, lapse, expire and serve what is due."""
        self._owned_groups.tick()
        now = self._context.clock.now()
        if now >= self._lapse_check_at:
            self._lapse_check_at = now + _LAPSE_CHECK_S
            self._lapse()
        if now >= self._audit_at:
            self._audit_at = now + AUDIT_S
            self._audit()
        for scheduler in list(self.schedulers.values()):
            self._admission.expire(scheduler)
            self._admission.serve(scheduler)

    def _meet(self, row: TargetState, identity: str, now: float) -> None:
        """Take the first report of another target under an address."""
        if not row.identity:
            row.identity = identity
            return
        self._context.events.record(
            'target_replaced',
            target=row.name,
            identity=identity,
        )
        self._owned_groups.table.renew(row, identity, now)

    def _after_release(
        self,
        message: messages.ReleaseSlot,
        slot: Slot | None,
    ) -> None:
        """Learn from a release and serve the next request."""
        row = self.targets.get(message.target)
        if row is None:
            return
        if slot is not None:
            self._learn(message, slot, row)
        self._admission.serve(self.schedulers[row.group])

    def _learn(
        self,
        message: messages.ReleaseSlot,
        slot: Slot,
        row: TargetState,
    ) -> None:
        """Take what a release says of the target and of the ownership."""
        now = self._context.clock.now()
        if message.owner_now not in {'', self._context.identity.node}:
            self._owned_groups.claim_again(row.group)
        scheduler = self.schedulers[row.group]
        if message.observation.sent and not slot.adopted:
            scheduler.times.note(slot.route, now - slot.granted_at)
        if row.health.note(message.observation, now):
            self._eject(row, scheduler, now)

    def _eject(
        self, row: TargetState, scheduler: GroupScheduler, now: float
    ) -> None:
        """Eject an outlier unless too many of its group are out."""
        if may_eject([one.health for one in scheduler.rows()], now):
            pause = row.health.eject(now)
            self._context.events.record(
                'target_ejected',
                target=row.name,
                seconds=pause,
            )

    def _adopt(self, message: messages.OpenSlots, ask: Ask) -> None:
        """Take the slots that a router uses into the table."""
        table = self._owned_groups.table
        for opened in message.rows:
            key = (opened.request_id, opened.attempt)
            known = table.find(key) is not None or table.has_ended(key)
            if opened.target not in self.targets or known:
                continue
            table.take(
                Slot(
                    key=key,
                    router=message.router,
                    route=opened.route,
                    target=opened.target,
                    version=opened.version,
                    foreign=False,
                    granted_at=ask.started - UNSENT_S,
                    adopted=True,
                ),
            )

    def _drop_unknown(self, message: messages.OpenSlots, ask: Ask) -> None:
        """Free old slots that a router was asked for and did not name."""
        named = {(row.request_id, row.attempt) for row in message.rows}
        for slot in self._owned_groups.table.held():
            asked = slot.target in ask.targets
            old = slot.granted_at < ask.started - UNSENT_S
            mine = slot.router == message.router and slot.key not in named
            if asked and old and mine:
                self._abandon(slot)

    def _abandon(self, slot: Slot) -> None:
        """
        End a slot that its router no longer answers for.

        The target may still run the request: its room stays taken until
        the load reports show that it is free.
        """
        table = self._owned_groups.table
        row = self.targets.get(slot.target)
        if row is not None and slot.key in row.slots:
            row.unknown += 1
        table.free(slot.key, self._context.clock.now())
        self._policy.ended(slot.route, slot.version, LOST)
        self._context.events.record(
            'slot_lapsed',
            target=slot.target,
            router=slot.router,
            request_id=slot.key[0],
        )

    def _lapse(self) -> None:
        """End the slots of routers that were silent past their lease."""
        handover = self._owned_groups.handover
        for slot in self._owned_groups.table.held():
            if handover.has_lapsed(slot.router, foreign=slot.foreign):
                self._abandon(slot)

    def _audit(self) -> None:
        """Ask the routers whether they still use their slots."""
        serving = tuple(
            name for name, row in self.targets.items() if row.serving
        )
        if serving:
            foreign = frozenset(
                slot.router
                for slot in self._owned_groups.table.held()
                if slot.foreign
            )
            self._owned_groups.handover.start(serving, foreign, audit=True)
