"""Table of the slots in use on the targets of one owner."""

import collections

from fuchsiafork.dispatch.state import AttemptKey, Slot, TargetState

# Ended attempts that are remembered, so that a late copy of their AcquireSlot
# is not granted a slot.
_MAX_ENDED_ATTEMPTS = 4096
# By this time after a grant, the router has sent the request or released the
# slot.
MAX_UNSENT_S = 3.0


class SlotTable:
    """
    The owned targets and the slots in use on them.

    A detached slot occupies no capacity of its target but is kept until the
    router's observation of the request arrives.
    """

    def __init__(self) -> None:
        """Start without targets."""
        self.targets: dict[str, TargetState] = {}
        self._slots_by_key: dict[AttemptKey, Slot] = {}
        self._ended_attempts: collections.OrderedDict[AttemptKey, None] = (
            collections.OrderedDict()
        )

    def find(self, key: AttemptKey) -> Slot | None:
        """Return the slot of an attempt, if it holds one."""
        return self._slots_by_key.get(key)

    def has_ended(self, key: AttemptKey) -> bool:
        """Return whether an attempt was released, cancelled or refused."""
        return key in self._ended_attempts

    def mark_ended(self, key: AttemptKey) -> None:
        """Record that an attempt may get no slot any more."""
        self._ended_attempts[key] = None
        while len(self._ended_attempts) > _MAX_ENDED_ATTEMPTS:
            self._ended_attempts.popitem(last=False)

    def add(self, slot: Slot) -> None:
        """Add a slot in use."""
        self._slots_by_key[slot.key] = slot
        self.targets[slot.target].slots[slot.key] = slot

    def release(self, key: AttemptKey, now: float) -> Slot | None:
        """End an attempt and return the slot that it held, if any."""
        self.mark_ended(key)
        slot = self._slots_by_key.pop(key, None)
        if slot is not None:
            self._remove_from_target(slot, now)
        return slot

    def detach(self, slot: Slot, now: float) -> None:
        """Free the capacity of a slot before its observation arrives."""
        self._remove_from_target(slot, now)

    def replace_target(
        self, target: TargetState, identity: str, now: float
    ) -> None:
        """
        Reset the state of a target whose address is used by a new one.

        Recent slots are kept: a request that may not have been sent yet will
        reach the new target.
        """
        for slot in list(target.slots.values()):
            if slot.granted_at < now - MAX_UNSENT_S:
                self.detach(slot, now)
        target.ended_spans.clear()
        target.unattributed_bounds.clear()
        target.unattributed_streams = 0
        target.past_identities.append(target.identity)
        target.identity = identity
        target.cache.clear()
        target.health = type(target.health)()

    def slots(self) -> list[Slot]:
        """Return all slots, detached ones included."""
        return list(self._slots_by_key.values())

    def drop_target(self, name: str) -> None:
        """Remove a target that is no longer owned, with its slots."""
        target = self.targets.pop(name, None)
        if target is None:
            return
        for slot in self.slots():
            if slot.target == name:
                self._slots_by_key.pop(slot.key)

    def _remove_from_target(self, slot: Slot, now: float) -> None:
        """Remove a slot from its target."""
        target = self.targets.get(slot.target)
        if target is not None and target.slots.pop(slot.key, None) is not None:
            target.ended_spans.append((slot.granted_at, now))
