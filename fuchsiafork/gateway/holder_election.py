"""Claims a slot that lets this VM hold grants of the ledger."""

import asyncio
import contextlib
import json
import random
from collections.abc import Callable
from typing import Any

from fuchsiafork.gateway.watcher import Watcher
from fuchsiafork.kernel.errors import StoreUnavailableError
from fuchsiafork.platform.store import Changes, Item, PlatformStore
from fuchsiafork.prepaid.holder_slots import (
    HolderSlots,
    Occupant,
    Slot,
    decode_occupant,
    encode_occupant,
)

SLOTS_PREFIX = 'fuchsiafork/holders/'
# A slot becomes vacant this long after its VM stopped renewing the lease.
LEASE_TTL_S = 4.0
RENEWAL_INTERVAL_S = 1.3
# Random delay of a claim, so that the first claims are seen by the others.
MAX_CLAIM_DELAY_S = 0.1
# Time in which VMs whose leases have lapsed claim their slots again. All leases
# lapse when the store is away, and claims of other VMs would only conflict.
RETURN_TIME_S = 1.0
# VMs with a narrow link claim later, so that the VMs that answer the others
# have wide links where there are any.
NARROW_LINK_MBPS = 100.0
NARROW_LINK_DELAY_S = 0.4


class HolderElection:
    """Follows the slots of the fleet, and claims and keeps one of them."""

    def __init__(
        self,
        slots: HolderSlots,
        occupant: Occupant,
        store: PlatformStore,
        watcher: Watcher,
        rng: random.Random,
        log: Any,
        link_mbps: float | None = None,
    ) -> None:
        """
        Claim slots for a VM.

        :param watcher: follows the items under ``SLOTS_PREFIX``.
        :param link_mbps: bandwidth of the VM's link, None if unknown.
        """
        self._slots = slots
        self._occupant = occupant
        self._store = store
        self._watcher = watcher
        self._rng = rng
        self._log = log
        narrow = link_mbps is not None and link_mbps < NARROW_LINK_MBPS
        self._min_claim_delay_s = NARROW_LINK_DELAY_S if narrow else 0.0
        self._lease = 0
        self._slots_changed = asyncio.Event()
        self._resigned = False
        self._holding = False

    async def watch(self) -> None:
        """Follow the slots of all failure domains until cancelled."""
        await self._watcher.run(self._apply_listing, self._apply_changes)

    async def run(self, set_holding: Callable[[bool], None]) -> None:
        """Keep a slot, or claim a vacant one, until cancelled."""
        await self._slots_changed.wait()
        while not self._resigned:
            self._slots_changed.clear()
            try:
                await self._keep_or_claim()
            except StoreUnavailableError as error:
                self._log.info('slot_unknown', reason=str(error))
            set_holding(self._update_holding())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RENEWAL_INTERVAL_S):
                    await self._slots_changed.wait()
        # Never return: a task that ends is treated as failed.
        await asyncio.Event().wait()

    async def resign(self) -> None:
        """Give up the slot, so that another VM claims it at once."""
        self._resigned = True
        if self._lease:
            with contextlib.suppress(StoreUnavailableError):
                await self._store.end_lease(self._lease)

    def _update_holding(self) -> bool:
        """
        Return whether this process holds grants.

        A holder whose lease has lapsed goes on until other VMs occupy all
        slots, so that an outage of the store leaves no domain without one.
        """
        own_slot = self._slots.own_slot
        if self._lease and own_slot:
            self._holding = True
        elif own_slot is None and not self._slots.vacant_slots:
            self._holding = False
        return self._holding

    async def _keep_or_claim(self) -> None:
        """Renew the lease of the own slot, or claim one."""
        own_slot = self._slots.own_slot
        if own_slot is not None and self._lease:
            await self._renew()
        elif own_slot is not None:
            # Left by an earlier process of this VM.
            await self._claim(own_slot)
        elif self._slots.lapsed_slot is not None:
            await self._claim(self._slots.lapsed_slot)
        elif self._slots.vacant_slots:
            await asyncio.sleep(self._claim_delay_s())
            if not self._resigned:
                await self._claim_vacant()

    def _claim_delay_s(self) -> float:
        """Return the delay before this VM claims a slot of another one."""
        delay_s = self._min_claim_delay_s
        if self._slots.awaits_former_occupants:
            return delay_s + RETURN_TIME_S * self._rng.uniform(1, 2)
        return delay_s + self._rng.uniform(0, MAX_CLAIM_DELAY_S)

    async def _claim_vacant(self) -> None:
        """Claim a vacant slot unless this VM occupies one meanwhile."""
        vacant = self._slots.vacant_slots
        if vacant and self._slots.own_slot is None:
            await self._claim(self._rng.choice(vacant))

    async def _renew(self) -> None:
        """Renew the lease; forget it if it has ended, which frees its slot."""
        own_slot = self._slots.own_slot
        if not await self._store.keep_lease(self._lease):
            self._log.warning('slot_lapsed')
            self._lease = 0
            if own_slot is not None:
                self._slots.vacate(own_slot)
            self._slots_changed.set()

    async def _claim(self, slot: Slot) -> None:
        """Write this VM into a slot unless another one was faster."""
        # An earlier lease may have lapsed with the slot that it held.
        self._lease = 0
        lease = await self._store.grant_lease(LEASE_TTL_S)
        key = f'{SLOTS_PREFIX}{slot.domain}/{slot.number}'
        value = encode_occupant(self._occupant)
        swap = await self._store.swap(key, slot.revision, value, lease=lease)
        if swap.revision:
            self._lease = lease
            self._log.info('slot_claimed', domain=slot.domain, n=slot.number)
            self._slots.update(
                Slot(slot.domain, slot.number, swap.revision, self._occupant)
            )
            return
        for item in swap.current:
            if item.value is None:
                # It was removed after the revision that was expected.
                self._slots.vacate(slot)
            self._apply_item(item)
        self._slots_changed.set()

    def _apply_listing(self, changes: Changes) -> None:
        """Replace all slots."""
        self._slots.replace(())
        self._apply_changes(changes)

    def _apply_changes(self, changes: Changes) -> None:
        """Update the slots that have changed."""
        for item in changes.items:
            self._apply_item(item)
        self._slots_changed.set()

    def _apply_item(self, item: Item) -> None:
        """Update the slot of one item."""
        place = item.key.removeprefix(SLOTS_PREFIX)
        domain, _, number = place.rpartition('/')
        try:
            occupant = decode_occupant(item.value) if item.value else None
            slot = Slot(domain, int(number), item.revision, occupant)
        except ValueError as error:
            reason = json.dumps(str(error))
            self._log.warning('slot_ignored', key=item.key, reason=reason)
            return
        self._slots.update(slot)


__all__ = ('SLOTS_PREFIX', 'HolderElection')
