"""A fleet of processes whose failure domains can be cut off."""

import json
import pathlib
from typing import ClassVar

from standins import fleet
from standins.link_proxies import Gates


class CutFleet(fleet.ProcessFleet):
    """Puts a gate on each link between domains and on each store call."""

    modules: ClassVar = {
        **fleet.ProcessFleet.modules,
        'keeper': 'standins.gated_keeper',
    }

    def __init__(self, vms: list[fleet.Vm], threads: int = 32) -> None:
        """Prepare the gates; nothing runs yet."""
        super().__init__(vms, threads)
        self._gates = Gates()

    def start_keeper(self, vm: fleet.Vm) -> None:
        """Start a VM's keeper behind its gates."""
        ways = {
            address: self._gates.address(vm.name, address)
            for address in self._others(vm)
        }
        path = self._path(vm, 'keeper', 'gates')
        pathlib.Path(path).write_text(json.dumps(ways), encoding='utf-8')
        store = self._gates.address(vm.name, self._store_address)
        settings = fleet.keeper_settings(vm, self.vms, f'http://{store}')
        self._spawn('keeper', vm, settings)

    def switch(self, domain: str, *, is_open: bool) -> None:
        """Cut a domain off from the others and the store, or heal it."""
        inside = [vm for vm in self.vms if vm.domain == domain]
        outside = [vm for vm in self.vms if vm.domain != domain]
        ways = [(vm.name, self._store_address) for vm in inside]
        for vm in inside:
            ways.extend((vm.name, one.keeper_links) for one in outside)
            ways.extend((one.name, vm.keeper_links) for one in outside)
        for source, target in ways:
            self._gates.switch(source, target, is_open=is_open)

    def stop(self) -> None:
        """End all processes and gates."""
        super().stop()
        self._gates.stop()

    @property
    def _store_address(self) -> str:
        """Address of the store, ``ip:port``."""
        return self.store.url.removeprefix('http://')

    def _others(self, vm: fleet.Vm) -> list[str]:
        """Return the link addresses of the other domains' keepers."""
        return [one.keeper_links for one in self.vms if one.domain != vm.domain]
