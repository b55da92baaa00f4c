"""Calls the VM that keeps a limit of the whole fleet."""

from typing import Any

from fuchsiafork.gateway.peers import (
    OK_STATUS,
    Handler,
    Peers,
    PeerSilentError,
)
from fuchsiafork.prepaid import HolderSlots

# VMs that are asked while the first ones don't answer.
MAX_VMS_ASKED = 3


class FleetLimits:
    """
    Finds and calls the VMs that keep limits.

    Each limit has a key. Of the VMs that hold grants, the first one by
    rendezvous hashing keeps it, since all VMs know their addresses.
    """

    def __init__(
        self, own_address: str, slots: HolderSlots, peers: Peers, log: Any
    ) -> None:
        """
        Start without limits.

        :param own_address: address of this VM for calls from others, IP:PORT.
        """
        self._own_address = own_address
        self._slots = slots
        self._peers = peers
        self._log = log
        self._handlers: dict[str, Handler] = {}

    def register(self, path: str, handler: Handler) -> None:
        """Answer calls of a path with a function, those of this VM as well."""
        self._handlers[path] = handler
        self._peers.register(path, handler)

    def addresses(self, key: str) -> list[str]:
        """Return the VMs to ask, the same ones in the same order on all VMs."""
        addresses = [
            address
            for address in self._slots.ranked_addresses(key)
            if not self._peers.is_silent(address)
        ]
        return addresses[:MAX_VMS_ASKED] or [self._own_address]

    async def call(self, key: str, path: str, content: Any) -> Any:
        """Return the answer of the VM that keeps a limit, None without one."""
        for address in self.addresses(key):
            try:
                return await self.call_vm(address, path, content)
            except PeerSilentError as error:
                self._log.info(
                    'limit_unknown',
                    key=key,
                    vm_asked=address,
                    reason=str(error),
                )
        return None

    async def call_vm(self, address: str, path: str, content: Any) -> Any:
        """
        Return the answer of one VM, which may be this one.

        :raises PeerSilentError: if it doesn't answer in time, or refuses.
        """
        if address == self._own_address:
            return await self._handlers[path](content)
        answer = await self._peers.call(address, path, content)
        if answer.status != OK_STATUS:
            reason = f'{address} answered {answer.status}'
            raise PeerSilentError(reason, sent=True)
        return answer.body


__all__ = ('FleetLimits',)
