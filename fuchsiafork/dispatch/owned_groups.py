"""The target groups that this keeper owns, from handover to loss."""

import collections
import dataclasses
import itertools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.configuration import Document
from fuchsiafork.dispatch.group_scheduler import (
    GroupScheduler,
    max_foreign_slots,
)
from fuchsiafork.dispatch.groups import local_group
from fuchsiafork.dispatch.handover import Handover
from fuchsiafork.dispatch.ownership import Ownership
from fuchsiafork.dispatch.policy import VersionPolicy
from fuchsiafork.dispatch.slot_table import MAX_UNSENT_S, SlotTable
from fuchsiafork.dispatch.state import TargetState
from fuchsiafork.dispatch.target_selection import TargetSelector
from fuchsiafork.kernel import Context
from fuchsiafork.membership import MembershipSystem

# While the membership views of two keepers differ, they may forward a message
# to each other. It is dropped when it returns within this time; its router
# resends it.
_FORWARD_LOOP_S = 0.5
_MAX_RECENT_FORWARDS = 1024


class OwnedGroups:
    """Schedulers and targets of the groups that this keeper owns now."""

    def __init__(
        self,
        context: Context,
        membership: MembershipSystem,
        policy: VersionPolicy,
        selector: TargetSelector,
    ) -> None:
        """Own no group until configured and until the peers are known."""
        self.table = SlotTable()
        self.schedulers: dict[str, GroupScheduler] = {}
        self.document = Document()
        self.ownership = Ownership(context, membership)
        self.handover = Handover(context, membership)
        self._context = context
        self._policy = policy
        self._selector = selector
        self._leaving: set[str] = set()
        self._recent_forwards: collections.OrderedDict[Any, float] = (
            collections.OrderedDict()
        )

    def configure(self, document: Document) -> None:
        """Apply a configuration."""
        self.document = document
        self.ownership.configure(document)
        for name, target in list(self.table.targets.items()):
            section = document.targets.get(name)
            moved = self.ownership.group_of.get(name) != target.group
            if section is None or moved or section.url != target.section.url:
                self.table.drop_target(name)
            else:
                target.section = section
        for group, scheduler in list(self.schedulers.items()):
            pool = document.pools.get(_pool_name(group))
            if pool is not None:
                self.schedulers[group] = dataclasses.replace(
                    scheduler,
                    spill_share=pool.spill_share,
                )
        self._apply_ownership()

    def set_leaving(self, targets: set[str]) -> None:
        """Mark the targets that are about to leave."""
        self._leaving = set(targets)
        for target in self.table.targets.values():
            target.leaving = target.name in targets

    def check_pause(self) -> None:
        """Drop all groups if this process was paused."""
        if self.ownership.was_paused():
            self._context.events.record('owner_paused')
            for name in list(self.table.targets):
                self.table.drop_target(name)
            self.schedulers.clear()
            self.handover.cancel_all()

    def tick(self) -> None:
        """Apply changes of ownership and complete handovers."""
        self.check_pause()
        self.handover.record_live_routers()
        self.ownership.refresh()
        self._apply_ownership()
        for query in self.handover.tick():
            for name in query.targets:
                if name in self.table.targets:
                    self._start_serving(self.table.targets[name])

    def restart_handover(self, group: str) -> None:
        """Repeat the handover of a group that another keeper has owned."""
        group_targets = self.schedulers[group].targets()
        if all(target.serving for target in group_targets):
            self._context.events.record('group_claimed_again', group=group)
            for target in group_targets:
                target.serving = False
            self._start_handover(tuple(self.ownership.groups[group]))

    def scheduler_or_forward(
        self,
        group: str,
        message: Any,
        sender: str,
    ) -> GroupScheduler | None:
        """Return an owned group's scheduler, else forward the message."""
        name = self._local_name(group)
        if name and name not in self.schedulers:
            self.ownership.refresh(at_once=True)
            self._apply_ownership()
        if name in self.schedulers:
            return self.schedulers[name]
        if name:
            self._forward(self.ownership.owner(name), message, sender)
        return None

    def forward_release(
        self,
        message: messages.ReleaseSlot,
        sender: str,
    ) -> bool:
        """Forward a release for another owner; return whether it was one."""
        section = self.document.targets.get(message.target)
        if section is None or message.target in self.table.targets:
            return False
        domain = section.domain
        group = message.group
        if domain == self._context.identity.domain:
            domain = ''
            group = self.ownership.group_of[message.target]
        owner = self.ownership.owner(group, domain)
        self._forward(owner, message, sender)
        return True

    def _local_name(self, group: str) -> str:
        """Return the group of this domain for a group of any domain."""
        pool = _pool_name(group)
        count = [_pool_name(name) for name in self.ownership.groups].count(pool)
        return local_group(group, count) if count else ''

    def _forward(self, owner: str, message: Any, sender: str) -> None:
        """Forward a message unless it was forwarded a short time ago."""
        now = self._context.clock.now()
        kind = type(message).__name__
        key = (kind, message.request_id, message.attempt)
        recent = now - self._recent_forwards.get(key, float('-inf'))
        if owner in {'', self._context.identity.node}:
            return
        if recent >= _FORWARD_LOOP_S:
            self._recent_forwards[key] = now
            self._recent_forwards.move_to_end(key)
            self._context.outbox.forward(owner, message, sender)
        while len(self._recent_forwards) > _MAX_RECENT_FORWARDS:
            self._recent_forwards.popitem(last=False)

    def _apply_ownership(self) -> None:
        """Take over the groups that were gained and drop the lost ones."""
        owned = self.ownership.owned
        for target in list(self.table.targets.values()):
            if target.group not in owned:
                self.table.drop_target(target.name)
        for group in list(self.schedulers):
            if group not in owned:
                self._forward_queue(group)
        for group in sorted(owned - set(self.schedulers)):
            self.schedulers[group] = self._make_scheduler(group)
        names = itertools.chain.from_iterable(
            self.ownership.groups[group] for group in owned
        )
        gained_targets = set(names) - set(self.table.targets)
        if gained_targets:
            self._start_handover(tuple(sorted(gained_targets)))

    def _forward_queue(self, group: str) -> None:
        """Forward the queued requests of a lost group to its new owner."""
        scheduler = self.schedulers.pop(group)
        self._context.events.record('group_lost', group=group)
        for queued in scheduler.queue:
            owner = self.ownership.owner(group)
            self._forward(owner, queued.message, queued.router)

    def _make_scheduler(self, group: str) -> GroupScheduler:
        """Return the scheduler of a group that was gained."""
        self._context.events.record('group_claimed', group=group)
        pool = self.document.pools[_pool_name(group)]
        return GroupScheduler(
            name=group,
            spill_share=pool.spill_share,
            context=self._context,
            table=self.table,
            policy=self._policy,
            selector=self._selector,
        )

    def _start_handover(self, targets: tuple[str, ...]) -> None:
        """Start the handover of some targets."""
        for name in targets:
            if name not in self.table.targets:
                self.table.targets[name] = self._make_target(name)
        self.handover.record_live_routers()
        self.handover.start(targets, frozenset(), audit=False)

    def _make_target(self, name: str) -> TargetState:
        """Return the state of a target that is not served yet."""
        section = self.document.targets[name]
        group = self.ownership.group_of[name]
        return TargetState(
            name=name,
            group=group,
            section=section,
            leaving=name in self._leaving,
        )

    def _start_serving(self, target: TargetState) -> None:
        """Start granting slots of a target whose handover is complete."""
        now = self._context.clock.now()
        target.serving = True
        target.serving_since = now
        others = {
            section.domain for section in self.document.targets.values()
        } - {self._context.identity.domain}
        if others:
            share = self.schedulers[target.group].spill_share
            target.foreign_reserve = max_foreign_slots(target.capacity, share)
            target.foreign_reserve_until = now + MAX_UNSENT_S


def _pool_name(group: str) -> str:
    """Return the name of a group's pool."""
    return group.rpartition('/')[0]
