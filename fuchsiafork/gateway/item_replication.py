"""Passes changes of large values on from VM to VM."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Any

from fuchsiafork.gateway.item_mirror import ForgottenChangesError, ItemMirror
from fuchsiafork.gateway.peers import (
    OK_STATUS,
    CallLimits,
    CallRefusedError,
    Peers,
    PeerSilentError,
)
from fuchsiafork.gateway.watcher import SLOW_TRANSFER_S, Watcher
from fuchsiafork.kernel.decoding import DECODE_ERRORS
from fuchsiafork.platform.store import FOLLOW_CONNECT_TIMEOUT_S, Changes
from fuchsiafork.prepaid import HolderSlots
from fuchsiafork.replication import encode_answer, read_answer, read_request

CHANGES_PATH = '/changes'
# Time that a call waits for a change at another VM.
WAIT_S = 5.0
# Time for its answer on a link that is full.
ANSWER_TIMEOUT_S = 1.0
# VMs that are asked at the same time, so that one that is silent or cut off
# from the store delays no change.
SOURCES = 2
# Longest pause after a call that failed, and between two looks for a VM to ask.
RETRY_INTERVAL_S = 0.5
_GONE = 410
_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1_000_000

_LIMITS = CallLimits(
    WAIT_S + ANSWER_TIMEOUT_S,
    backoff_s=0,
    connect_timeout_s=FOLLOW_CONNECT_TIMEOUT_S,
)
_CATCH_UP_LIMITS = CallLimits(ANSWER_TIMEOUT_S, backoff_s=0)


class ItemReplication:
    """
    Passes the changes under one prefix on between VMs.

    A change counts from whichever source brings it first: another VM, or the
    store, which the watcher follows.
    """

    def __init__(
        self,
        vm: str,
        link_mbps: float | None,
        watcher: Watcher,
        slots: HolderSlots,
        peers: Peers,
        rng: random.Random,
        count: Callable[[int], object],
        log: Any,
        path: str = CHANGES_PATH,
    ) -> None:
        """
        Answer the calls of other VMs.

        :param path: path of these calls.
        :param link_mbps: bandwidth of the VM's link, None if unknown.
        :param slots: names the VMs to ask.
        :param count: called with the number of changes that another VM
            brought first.
        """
        self._vm = vm
        self._link_mbps = link_mbps
        self._watcher = watcher
        self._slots = slots
        self._peers = peers
        self._rng = rng
        self._count = count
        self._log = log
        self._mirror = ItemMirror()
        self._changed = asyncio.Event()
        self._apply: Callable[[Changes], None] | None = None
        self._path = path
        watcher.set_recorder(self)
        peers.register(path, self._handle)

    @property
    def needed(self) -> bool:
        """Whether a whole value takes long to receive from the store."""
        if self._watcher.transfer_s > SLOW_TRANSFER_S:
            return True
        if not self._link_mbps:
            return False
        bits = self._mirror.largest_bytes * _BITS_PER_BYTE
        return bits / (self._link_mbps * _BITS_PER_MEGABIT) > SLOW_TRANSFER_S

    @property
    def revision(self) -> int:
        """Revision of the store up to which changes are known."""
        return self._mirror.revision

    @property
    def source_address(self) -> str:
        """Address of a VM to ask, empty if none is known."""
        return self._address(0)

    def on_listing(self, changes: Changes) -> None:
        """Record a complete listing of the store."""
        self._mirror.apply_listing(changes)
        self._notify()

    def on_changes(self, changes: Changes) -> None:
        """Record changes of the store."""
        self._mirror.apply(changes)
        self._notify()

    def set_apply(self, apply: Callable[[Changes], None]) -> None:
        """
        Pass changes that another VM brings to a function.

        Without one they are handled like those of the store.
        """
        self._apply = apply

    async def run(self) -> None:
        """Follow the changes that other VMs know, until cancelled."""
        async with asyncio.TaskGroup() as group:
            for number in range(SOURCES):
                group.create_task(self._follow(number))

    async def _follow(self, number: int) -> None:
        """Ask one VM after the other for changes while it is needed."""
        failures = 0
        while True:
            address = self._address(number + failures)
            if address and self.needed:
                answered = await self.fetch(address, WAIT_S, _LIMITS)
                failures = 0 if answered else failures + SOURCES
            if not address or not self.needed or failures:
                pause_s = self._rng.uniform(0, RETRY_INTERVAL_S)
                await asyncio.sleep(pause_s)

    def _address(self, number: int) -> str:
        """Return the address of a VM to ask, empty if none is known."""
        addresses = self._slots.addresses_for(self._vm)
        return addresses[number % len(addresses)] if addresses else ''

    async def fetch(
        self, address: str, wait_s: float, limits: CallLimits
    ) -> bool:
        """
        Apply the changes that a VM knows; return whether it answered.

        :param wait_s: seconds that it waits for a change.
        """
        mirror = self._mirror
        call = [mirror.era, mirror.revision, mirror.digests, wait_s]
        try:
            answer = await self._peers.call(address, self._path, call, limits)
        except PeerSilentError:
            return False
        if answer.status != OK_STATUS:
            return False
        try:
            changes = mirror.read(read_answer(answer.body))
        except DECODE_ERRORS as error:
            self._log.warning(
                'changes_unreadable', peer=address, reason=repr(error)
            )
            return False
        if self._is_news(changes):
            self._log.info(
                'changes_passed_on',
                peer=address,
                path=self._path,
                items=len(changes.items),
                revision=changes.revision,
                bytes=answer.received_bytes,
            )
            self._count(len(changes.items))
        return self.apply(changes)

    async def catch_up(self, address: str) -> bool:
        """Apply the changes that a VM knows now; return whether it answered."""
        return await self.fetch(address, 0, _CATCH_UP_LIMITS)

    def apply(self, changes: Changes) -> bool:
        """
        Apply changes from another source than the watcher.

        :return: whether they are of the same era as what is known.
        """
        if self._is_news(changes):
            self.on_changes(changes)
            newest = max(item.revision for item in changes.items)
            self._watcher.apply_changes(changes, newest, self._apply)
        return changes.era == self._mirror.era

    def _is_news(self, changes: Changes) -> bool:
        """Return whether changes are newer than what is known."""
        mirror = self._mirror
        newer = changes.revision > mirror.revision
        return bool(changes.items) and changes.era == mirror.era and newer

    async def _handle(self, content: Any) -> Any:
        """
        Answer another VM once there is a change that it doesn't know.

        :raises CallRefusedError: if the changes since are no longer known.
        """
        request = read_request(content)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(request.wait_s):
                while not self._mirror.has_changes(request):
                    await self._changed.wait()
        try:
            answer = self._mirror.answer(request)
        except ForgottenChangesError:
            raise CallRefusedError(_GONE) from None
        return encode_answer(answer)

    def _notify(self) -> None:
        """Continue the calls that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()


__all__ = ('ItemReplication',)
