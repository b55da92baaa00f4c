"""A fleet of processes whose failure domains can be partitioned."""

import json
import pathlib
from typing import ClassVar

from standins import fleet
from standins.link_proxies import LinkProxies


class PartitionableFleet(fleet.ProcessFleet):
    """Routes links between domains and store calls through proxies."""

    modules: ClassVar = {
        **fleet.ProcessFleet.modules,
        'keeper': 'standins.gated_keeper',
    }

    def __init__(self, vms: list[fleet.Vm], threads: int = 32) -> None:
        """Create the fleet; no process runs yet."""
        super().__init__(vms, threads)
        self._proxies = LinkProxies()

    def start_keeper(self, vm: fleet.Vm) -> None:
        """Start a VM's keeper with its proxies."""
        links = {
            address: self._proxies.address(vm.name, address)
            for address in self._other_domain_keepers(vm)
        }
        path = self._path(vm, 'keeper', 'gates')
        pathlib.Path(path).write_text(json.dumps(links), encoding='utf-8')
        store = self._proxies.address(vm.name, self._store_address)
        settings = fleet.keeper_settings(vm, self.vms, f'http://{store}')
        self._spawn('keeper', vm, settings)

    def set_connected(self, domain: str, *, connected: bool) -> None:
        """Partition a domain from the others and the store, or reconnect it."""
        inside = [vm for vm in self.vms if vm.domain == domain]
        outside = [vm for vm in self.vms if vm.domain != domain]
        links = [(vm.name, self._store_address) for vm in inside]
        for vm in inside:
            links.extend((vm.name, one.keeper_address) for one in outside)
            links.extend((one.name, vm.keeper_address) for one in outside)
        for source, destination in links:
            self._proxies.set_open(source, destination, is_open=connected)

    def stop(self) -> None:
        """Stop all processes and proxies."""
        super().stop()
        self._proxies.stop()

    @property
    def _store_address(self) -> str:
        """Address of the store, ``ip:port``."""
        return self.store.url.removeprefix('http://')

    def _other_domain_keepers(self, vm: fleet.Vm) -> list[str]:
        """Return the link addresses of the other domains' keepers."""
        return [
            one.keeper_address for one in self.vms if one.domain != vm.domain
        ]
