"""Runs a store, targets and gateways of the platform on loopback addresses."""

import asyncio
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from fuchsiafork.gateway.program import GatewayProgram
from fuchsiafork.kernel import SystemClock
from standins.addresses import free_address
from standins.platform_store import PlatformStoreServer
from standins.platform_targets import PlatformTarget


def free_port() -> int:
    """Return a port that no process listens on."""
    return int(free_address().rpartition(':')[2])


def make_route(
    prefix: str,
    kind: str,
    service: str,
    **fields: Any,
) -> dict[str, Any]:
    """Return a route as the operator's configuration document has it."""
    return {
        'name': prefix.strip('/'),
        'host': 'shop.example',
        'prefix': prefix,
        'kind': kind,
        'service': service,
        'timeoutMs': 3000,
        'targetLatencyMs': 300,
        'maxAttempts': 1,
        'priority': 1,
        'public': False,
        'sessionAffinity': False,
        'streamResume': False,
        'gapAimMs': 100,
        **fields,
    }


async def wait_until(
    condition: Callable[[], object], timeout_s: float = 5.0
) -> None:
    """
    Wait until a condition is true.

    :raises TimeoutError: if it isn't within ``timeout_s``.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


class PlatformSite:
    """
    Starts and stops the processes of one deployment.

    :ivar ports: port of each gateway for callers, by VM.
    :ivar settings_lines: further lines of the settings of each gateway.
    """

    def __init__(self) -> None:
        """Create an empty store; nothing listens yet."""
        self.store = PlatformStoreServer(SystemClock())
        self.targets: list[PlatformTarget] = []
        self.gateways: dict[str, GatewayProgram] = {}
        self.ports: dict[str, int] = {}
        self.settings_lines: tuple[str, ...] = ()
        self._settings_dir = tempfile.TemporaryDirectory()

    async def start(
        self,
        configuration: dict[str, Any],
        targets: list[PlatformTarget],
    ) -> None:
        """Start the store with a configuration and add the targets."""
        await self.store.start()
        self.store.put('op/config', configuration)
        for target in targets:
            await self.add_target(target)

    async def add_target(self, target: PlatformTarget, **changes: Any) -> None:
        """Start a target and register it."""
        await target.start()
        self.targets.append(target)
        self.register(target, **changes)

    def register(self, target: PlatformTarget, **changes: Any) -> None:
        """Write a target's entry into the store."""
        entry = {**target.entry, **changes}
        self.store.put(f'servers/{target.target_id}', entry)

    async def add_gateway(
        self, vm: str, domain: str, store_address: str = ''
    ) -> GatewayProgram:
        """
        Start a gateway and return it once it is ready.

        :param store_address: its path to the store, by default a direct one.
        """
        path, port = self.write_settings(
            vm, domain, store_address, self.settings_lines
        )
        gateway = GatewayProgram(path)
        await gateway.start()
        await wait_until(lambda: gateway.ready)
        self.gateways[vm] = gateway
        self.ports[vm] = port
        return gateway

    def write_settings(
        self,
        vm: str,
        domain: str,
        store_address: str = '',
        more: tuple[str, ...] = (),
    ) -> tuple[Path, int]:
        """
        Write the settings file of a gateway.

        :param more: further lines.
        :return: its path, and the port for callers.
        """
        port, peer_port = free_port(), free_port()
        path = Path(self._settings_dir.name) / f'{vm}.conf'
        lines = (
            f'node={vm}',
            f'zone={domain}',
            'ip=127.0.0.1',
            f'internalPorts={peer_port},{peer_port + 1}',
            f'metricsPort={free_port()}',
            f'listen.front=127.0.0.1:{port}',
            f'listen.ready=127.0.0.1:{free_port()}',
            f'platform.address={store_address or self.store.address}',
            'bounds.graceS=8',
            'bounds.budgetExtra=56',
            *more,
        )
        path.write_text('\n'.join(lines), encoding='utf-8')
        return path, port

    async def stop(self) -> None:
        """Stop all components without draining."""
        for gateway in self.gateways.values():
            gateway.close()
        for target in self.targets:
            target.stop()
        self.store.stop()
        self._settings_dir.cleanup()
