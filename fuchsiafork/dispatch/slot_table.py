"""Slots in use on the targets of one owner."""

import collections

from fuchsiafork.dispatch.state import AttemptKey, Slot, TargetState

# Ended attempts that are remembered, so that a late copy of their
# AcquireSlot takes no slot.
_ENDED_KEPT = 4096
# A slot older than this has been sent or given up by its router.
UNSENT_S = 3.0


class SlotTable:
    """
    Rows of targets and slots.

    A detached slot takes no room on its target but still waits for the
    observation of its router.
    """

    def __init__(self) -> None:
        """Start without targets."""
        self.targets: dict[str, TargetState] = {}
        self._by_key: dict[AttemptKey, Slot] = {}
        self._ended: collections.OrderedDict[AttemptKey, None] = (
            collections.OrderedDict()
        )

    def find(self, key: AttemptKey) -> Slot | None:
        """Return the slot of an attempt."""
        return self._by_key.get(key)

    def has_ended(self, key: AttemptKey) -> bool:
        """Return whether an attempt was released or cancelled."""
        return key in self._ended

    def end(self, key: AttemptKey) -> None:
        """Remember that an attempt gets no slot any more."""
        self._ended[key] = None
        while len(self._ended) > _ENDED_KEPT:
            self._ended.popitem(last=False)

    def take(self, slot: Slot) -> None:
        """Add a slot in use."""
        self._by_key[slot.key] = slot
        self.targets[slot.target].slots[slot.key] = slot

    def free(self, key: AttemptKey, now: float) -> Slot | None:
        """Return the slot that an attempt no longer uses."""
        self.end(key)
        slot = self._by_key.pop(key, None)
        if slot is not None:
            self._vacate(slot, now)
        return slot

    def detach(self, slot: Slot, now: float) -> None:
        """Give the room of a slot back before its observation came."""
        self._vacate(slot, now)

    def renew(self, row: TargetState, identity: str, now: float) -> None:
        """
        Treat the target of an address as a new one.

        Grants that may not have been sent yet will reach the new target.
        """
        for slot in list(row.slots.values()):
            if slot.granted_at < now - UNSENT_S:
                self.detach(slot, now)
        row.ended.clear()
        row.bounds.clear()
        row.unknown = 0
        row.past.append(row.identity)
        row.identity = identity
        row.cache.clear()
        row.health = type(row.health)()

    def held(self) -> list[Slot]:
        """Return all slots, detached ones included."""
        return list(self._by_key.values())

    def drop_target(self, name: str) -> None:
        """Forget a target with its slots; another keeper owns it now."""
        row = self.targets.pop(name, None)
        if row is None:
            return
        for slot in self.held():
            if slot.target == name:
                self._by_key.pop(slot.key)

    def _vacate(self, slot: Slot, now: float) -> None:
        """Take a slot off its target."""
        row = self.targets.get(slot.target)
        if row is not None and row.slots.pop(slot.key, None) is not None:
            row.ended.append((slot.granted_at, now))
