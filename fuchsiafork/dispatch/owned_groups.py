"""Owned groups: their tables from the claim to the loss of ownership."""

import collections
import dataclasses
import itertools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.configuration import Document
from fuchsiafork.dispatch.group_scheduler import GroupScheduler, held_back
from fuchsiafork.dispatch.groups import local_group
from fuchsiafork.dispatch.handover import Handover
from fuchsiafork.dispatch.ownership import Ownership
from fuchsiafork.dispatch.policy import VersionPolicy
from fuchsiafork.dispatch.slot_table import UNSENT_S, SlotTable
from fuchsiafork.dispatch.state import TargetState
from fuchsiafork.dispatch.target_selection import TargetSelector
from fuchsiafork.kernel import Context
from fuchsiafork.membership import MembershipSystem

# A message that two keepers pass to each other while their views differ is
# dropped when it returns within this time; its router repeats it.
_FORWARD_ONCE_S = 0.5
_FORWARDS_KEPT = 1024


class OwnedGroups:
    """Desks and targets of the groups that this keeper owns now."""

    def __init__(
        self,
        context: Context,
        membership: MembershipSystem,
        policy: VersionPolicy,
        selector: TargetSelector,
    ) -> None:
        """Own nothing until configured and settled."""
        self.table = SlotTable()
        self.schedulers: dict[str, GroupScheduler] = {}
        self.document = Document()
        self.ownership = Ownership(context, membership)
        self.handover = Handover(context, membership)
        self._context = context
        self._policy = policy
        self._selector = selector
        self._leaving: set[str] = set()
        self._forwards: collections.OrderedDict[Any, float] = (
            collections.OrderedDict()
        )

    def configure(self, document: Document) -> None:
        """Take a configuration into force."""
        self.document = document
        self.ownership.configure(document)
        for name, row in list(self.table.targets.items()):
            section = document.targets.get(name)
            moved = self.ownership.group_of.get(name) != row.group
            if section is None or moved or section.url != row.section.url:
                self.table.drop_target(name)
            else:
                row.section = section
        for group, scheduler in list(self.schedulers.items()):
            pool = document.pools.get(_pool_of(group))
            if pool is not None:
                self.schedulers[group] = dataclasses.replace(
                    scheduler,
                    share=pool.spill_share,
                )
        self._follow()

    def set_leaving(self, targets: set[str]) -> None:
        """Mark the targets whose VMs are leaving."""
        self._leaving = set(targets)
        for row in self.table.targets.values():
            row.leaving = row.name in targets

    def check_pause(self) -> None:
        """Give up all groups if this process stood still."""
        if self.ownership.was_paused():
            self._context.events.record('owner_paused')
            for name in list(self.table.targets):
                self.table.drop_target(name)
            self.schedulers.clear()
            self.handover.forget()

    def tick(self) -> None:
        """Follow the membership view and complete hand-overs."""
        self.check_pause()
        self.handover.observe()
        self.ownership.refresh()
        self._follow()
        for ask in self.handover.tick():
            for name in ask.targets:
                if name in self.table.targets:
                    self._open(self.table.targets[name])

    def claim_again(self, group: str) -> None:
        """Take a group over anew, as another keeper owned it in between."""
        rows = self.schedulers[group].rows()
        if all(row.serving for row in rows):
            self._context.events.record('group_claimed_again', group=group)
            for row in rows:
                row.serving = False
            self._claim(tuple(self.ownership.groups[group]))

    def scheduler_or_forward(
        self,
        group: str,
        message: Any,
        sender: str,
    ) -> GroupScheduler | None:
        """Return the desk of an owned group, else pass the message on."""
        name = self._local_name(group)
        if name and name not in self.schedulers:
            self.ownership.refresh(at_once=True)
            self._follow()
        if name in self.schedulers:
            return self.schedulers[name]
        if name:
            self._forward(self.ownership.home(name), message, sender)
        return None

    def forward_release(
        self,
        message: messages.ReleaseSlot,
        sender: str,
    ) -> bool:
        """Return whether a release was for another keeper."""
        section = self.document.targets.get(message.target)
        if section is None or message.target in self.table.targets:
            return False
        domain = section.domain
        group = message.group
        if domain == self._context.identity.domain:
            domain = ''
            group = self.ownership.group_of[message.target]
        home = self.ownership.home(group, domain)
        self._forward(home, message, sender)
        return True

    def _local_name(self, group: str) -> str:
        """Return the group of this domain for one of any domain."""
        pool = _pool_of(group)
        count = [_pool_of(name) for name in self.ownership.groups].count(pool)
        return local_group(group, count) if count else ''

    def _forward(self, home: str, message: Any, sender: str) -> None:
        """Pass a message on, but not twice in a short time."""
        now = self._context.clock.now()
        kind = type(message).__name__
        key = (kind, message.request_id, message.attempt)
        recent = now - self._forwards.get(key, float('-inf'))
        if home in {'', self._context.identity.node}:
            return
        if recent >= _FORWARD_ONCE_S:
            self._forwards[key] = now
            self._forwards.move_to_end(key)
            self._context.outbox.forward(home, message, sender)
        while len(self._forwards) > _FORWARDS_KEPT:
            self._forwards.popitem(last=False)

    def _follow(self) -> None:
        """Claim the groups that were gained and drop those that were lost."""
        owned = self.ownership.owned
        for row in list(self.table.targets.values()):
            if row.group not in owned:
                self.table.drop_target(row.name)
        for group in list(self.schedulers):
            if group not in owned:
                self._give_up(group)
        for group in sorted(owned - set(self.schedulers)):
            self.schedulers[group] = self._make_scheduler(group)
        names = itertools.chain.from_iterable(
            self.ownership.groups[one] for one in owned
        )
        gained = set(names) - set(self.table.targets)
        if gained:
            self._claim(tuple(sorted(gained)))

    def _give_up(self, group: str) -> None:
        """Pass the queue of a group on to its new owner."""
        scheduler = self.schedulers.pop(group)
        self._context.events.record('group_lost', group=group)
        for waiting in scheduler.queue:
            home = self.ownership.home(group)
            self._forward(home, waiting.message, waiting.router)

    def _make_scheduler(self, group: str) -> GroupScheduler:
        """Return the desk of a group that was gained."""
        self._context.events.record('group_claimed', group=group)
        pool = self.document.pools[_pool_of(group)]
        return GroupScheduler(
            name=group,
            share=pool.spill_share,
            context=self._context,
            table=self.table,
            policy=self._policy,
            selector=self._selector,
        )

    def _claim(self, targets: tuple[str, ...]) -> None:
        """Start the hand-over of some targets."""
        for target in targets:
            if target not in self.table.targets:
                self.table.targets[target] = self._make_row(target)
        self.handover.observe()
        self.handover.start(targets, frozenset(), audit=False)

    def _make_row(self, name: str) -> TargetState:
        """Return the row of a target that is not served yet."""
        section = self.document.targets[name]
        group = self.ownership.group_of[name]
        return TargetState(
            name=name,
            group=group,
            section=section,
            leaving=name in self._leaving,
        )

    def _open(self, row: TargetState) -> None:
        """Serve a target whose hand-over is complete."""
        now = self._context.clock.now()
        row.serving = True
        row.serving_at = now
        others = {
            section.domain for section in self.document.targets.values()
        } - {self._context.identity.domain}
        if others:
            share = self.schedulers[row.group].share
            row.held_back = held_back(row.capacity, share)
            row.held_until = now + UNSENT_S


def _pool_of(group: str) -> str:
    """Return the pool of a group's name."""
    return group.rpartition('/')[0]
