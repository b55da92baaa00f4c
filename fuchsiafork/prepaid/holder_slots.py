"""
The VMs that hold grants of the ledger; does no I/O.

A grant is useful only if it covers whole requests, so a large fleet doesn't
divide each account among all VMs. A few VMs of each failure domain occupy a
slot and hold the grants; the other VMs draw tokens from them for each request.
"""

import dataclasses
from collections.abc import Iterable
from typing import Annotated, NamedTuple

import pydantic

from fuchsiafork.kernel import rank

# Slots of a failure domain. Three let a domain that is cut off survive the
# loss of two VMs.
SLOTS_PER_DOMAIN = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Occupant:
    """
    The VM that occupies a slot.

    :ivar address: IP:PORT at which other VMs draw tokens.
    """

    vm: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """
    A slot of a failure domain.

    :ivar revision: revision of the slot's item, 0 if it is vacant.
    """

    domain: str
    number: int
    revision: int = 0
    occupant: Occupant | None = None


class _OccupantRecord(NamedTuple):
    """An occupant as it is stored."""

    vm: Annotated[str, pydantic.Field(min_length=1)]
    address: Annotated[str, pydantic.Field(pattern='^[0-9.]+:[0-9]+$')]


_OCCUPANT = pydantic.TypeAdapter(_OccupantRecord)


def decode_occupant(value: bytes) -> Occupant:
    """
    Return the stored occupant of a slot.

    :raises ValueError: if it is malformed.
    """
    return Occupant(*_OCCUPANT.validate_json(value))


def encode_occupant(occupant: Occupant) -> bytes:
    """Return the stored form of an occupant."""
    return _OCCUPANT.dump_json(_OccupantRecord(occupant.vm, occupant.address))


class HolderSlots:
    """The occupied slots of all failure domains, as one VM knows them."""

    def __init__(self, vm: str, domain: str) -> None:
        """Start without an occupied slot."""
        self._vm = vm
        self._domain = domain
        self._occupied: dict[tuple[str, int], Slot] = {}
        # Last occupants of vacant slots. Leases may lapse while the store is
        # down, and these VMs still have their grants.
        self._former: dict[tuple[str, int], Slot] = {}

    @property
    def own_slot(self) -> Slot | None:
        """The slot that this VM occupies, None if it occupies none."""
        return next(
            (
                slot
                for slot in self._occupied.values()
                if slot.occupant and slot.occupant.vm == self._vm
            ),
            None,
        )

    @property
    def lapsed_slot(self) -> Slot | None:
        """The vacant slot that this VM occupied last, None if there is none."""
        return next(
            (
                Slot(slot.domain, slot.number)
                for slot in self._former.values()
                if slot.occupant and slot.occupant.vm == self._vm
            ),
            None,
        )

    @property
    def awaits_former_occupants(self) -> bool:
        """Whether a vacant slot of this domain was another VM's before."""
        return any(
            slot.domain == self._domain for slot in self._former.values()
        )

    @property
    def vacant_slots(self) -> list[Slot]:
        """The vacant slots of this VM's failure domain."""
        return [
            Slot(self._domain, number)
            for number in range(SLOTS_PER_DOMAIN)
            if (self._domain, number) not in self._occupied
        ]

    def replace(self, slots: Iterable[Slot]) -> None:
        """Replace all slots by a complete listing."""
        self._former.update(self._occupied)
        self._occupied.clear()
        for slot in slots:
            self.update(slot)

    def update(self, slot: Slot) -> None:
        """Set the occupant of one slot, or mark it as vacant, unless newer."""
        place = (slot.domain, slot.number)
        known = self._occupied.get(place)
        if known is not None and known.revision > slot.revision:
            return
        if slot.occupant is not None:
            self._occupied[place] = slot
            self._former.pop(place, None)
        elif place in self._occupied:
            self._former[place] = self._occupied.pop(place)

    def vacate(self, slot: Slot) -> None:
        """Mark a slot as vacant unless it was occupied anew meanwhile."""
        self.update(Slot(slot.domain, slot.number, slot.revision))

    def ranked_addresses(self, key: str) -> list[str]:
        """
        Return the addresses of all occupants for a key, this VM included.

        All VMs that know the same occupants return the same order.
        """
        ranked: list[str] = []
        for slots in (self._occupied.values(), self._former.values()):
            by_vm = {
                slot.occupant.vm: slot.occupant.address
                for slot in slots
                if slot.occupant
            }
            ranked += [by_vm[vm] for vm in rank(key, by_vm)]
        return list(dict.fromkeys(ranked))

    def addresses_for(self, key: str) -> list[str]:
        """
        Return the occupants' addresses in the order in which to draw.

        All VMs of a failure domain prefer the same occupant for a key, so that
        the tokens of an account aren't spread over more grants than needed.
        """
        slots = (*self._former.values(), *self._occupied.values())
        by_vm = {
            slot.occupant.vm: slot
            for slot in slots
            if slot.occupant and slot.occupant.vm != self._vm
        }
        ranked = [by_vm[vm] for vm in rank(key, by_vm)]
        ranked.sort(key=lambda slot: slot.domain != self._domain)
        return [slot.occupant.address for slot in ranked if slot.occupant]

    def holders(self, key: str) -> dict[str, list[Occupant]]:
        """
        Return the occupants by failure domain, ranked for a key.

        This VM and the last occupants of vacant slots are among them.
        """
        by_vm = {
            slot.occupant.vm: (slot.domain, slot.occupant)
            for slot in (*self._former.values(), *self._occupied.values())
            if slot.occupant
        }
        ranked: dict[str, list[Occupant]] = {}
        for vm in rank(key, by_vm):
            domain, occupant = by_vm[vm]
            ranked.setdefault(domain, []).append(occupant)
        return ranked


__all__ = (
    'SLOTS_PER_DOMAIN',
    'HolderSlots',
    'Occupant',
    'Slot',
    'decode_occupant',
    'encode_occupant',
)
