"""
Runs the real programs with stand-ins on loopback addresses.

Used by process tests, measurements, the demonstration and ``make fleet``.
The programs run as separate processes, or in threads of this process.
"""

import configparser
import dataclasses
import hashlib
import pathlib
import signal
import subprocess  # ruff: ignore[suspicious-subprocess-import]
import sys
import tempfile
import time
from collections.abc import Iterable
from typing import Any, ClassVar

import urllib3

from standins.addresses import free_address
from standins.engine_server import EngineServer
from standins.engine_types import EngineSettings
from standins.service_server import ServiceServer
from standins.store_server import StoreServer

LINK_TOKEN = 'fleet-secret-of-the-stand-ins'  # ruff: ignore[hardcoded-password-string]
START_TIMEOUT_S = 20.0


@dataclasses.dataclass(slots=True)
class Vm:
    """
    Addresses of the keeper and the router on one VM, ``ip:port`` each.

    :ivar keeper_address: where the keeper accepts links of peers and routers.
    :ivar caller_address: where the router accepts callers.
    """

    name: str
    domain: str
    keeper_address: str
    keeper_admin: str
    router_admin: str
    caller_address: str

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f'http://{self.caller_address}'


def make_vms(domains: Iterable[str], per_domain: int) -> list[Vm]:
    """Return VMs with free addresses for their processes."""
    return [
        Vm(
            name=f'{domain}-{number}',
            domain=domain,
            keeper_address=free_address(),
            keeper_admin=free_address(),
            router_admin=free_address(),
            caller_address=free_address(),
        )
        for domain in domains
        for number in range(1, per_domain + 1)
    ]


def keeper_settings(vm: Vm, vms: Iterable[Vm], store: str) -> dict[str, Any]:
    """Return the settings of a VM's keeper by section."""
    peers = [one.keeper_address for one in vms if one is not vm]
    return {
        'vm': {'name': vm.name, 'domain': vm.domain},
        'keeper': {
            'listen': vm.keeper_address,
            'admin': vm.keeper_admin,
            'peers': ' '.join(peers),
            'token': LINK_TOKEN,
        },
        'store': {'urls': store, 'timeout_s': '1'},
    }


def router_settings(
    vm: Vm,
    vms: Iterable[Vm],
    threads: int,
    **options: str,
) -> dict[str, Any]:
    """Return the settings of a VM's router by section."""
    same_domain = [
        one.keeper_address
        for one in vms
        if one.domain == vm.domain and one is not vm
    ]
    return {
        'vm': {'name': vm.name, 'domain': vm.domain},
        'router': {
            'listen': vm.caller_address,
            'admin': vm.router_admin,
            'keepers': ' '.join([vm.keeper_address, *same_domain]),
            'token': LINK_TOKEN,
            'threads': str(threads),
            **options,
        },
    }


def write_ini(path: pathlib.Path, sections: dict[str, Any]) -> None:
    """Write a settings file."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    with path.open('w', encoding='utf-8') as file:
        parser.write(file)


class Targets:
    """Stand-ins of targets: model engines and plain services."""

    def __init__(self) -> None:
        """Start without targets."""
        self.engines: dict[str, EngineServer] = {}
        self.services: dict[str, ServiceServer] = {}
        self.domains: dict[str, str] = {}

    def add_engine(
        self,
        name: str,
        domain: str,
        version: str = 'v1',
        settings: EngineSettings | None = None,
    ) -> EngineServer:
        """Start a model engine and return it."""
        engine = EngineServer(name, settings, version)
        engine.server.start()
        self.engines[name] = engine
        self.domains[name] = domain
        return engine

    def add_service(
        self,
        name: str,
        domain: str,
        version: str = 'orders-v1',
    ) -> ServiceServer:
        """Start a plain service and return it."""
        service = ServiceServer(name, version)
        service.server.start()
        self.services[name] = service
        self.domains[name] = domain
        return service

    def sections(self) -> dict[str, dict[str, str]]:
        """Return a configuration section for each target."""
        rows: list[tuple[str, str, str, int]] = [
            (
                name,
                engine.server.url,
                engine.model.version,
                engine.model.settings.capacity,
            )
            for name, engine in self.engines.items()
        ]
        rows.extend(
            (name, service.server.url, service.version, service.capacity)
            for name, service in self.services.items()
        )
        return {
            f'target:{name}': {
                'owner': 'platform',
                'url': url,
                'domain': self.domains[name],
                'version': version,
                'capacity': str(capacity),
            }
            for name, url, version, capacity in rows
        }

    def used_tokens(self) -> int:
        """Return the number of tokens that the engines counted."""
        return sum(
            record.submission.prompt_tokens + record.tokens
            for engine in self.engines.values()
            for record in engine.model.records.values()
        )

    def stop(self) -> None:
        """Stop all stand-ins."""
        for engine in self.engines.values():
            engine.server.stop()
        for service in self.services.values():
            service.server.stop()


def document_text(sections: dict[str, dict[str, str]]) -> str:
    """Return the sections as an INI document."""
    lines = []
    for title, rows in sections.items():
        lines.append(f'[{title}]')
        lines.extend(f'{key} = {text}' for key, text in rows.items())
        lines.append('')
    return '\n'.join(lines)


def account_section(token: str, budget: str, **options: str) -> dict[str, str]:
    """Return a client account's section for a bearer token."""
    digest = hashlib.sha256(token.encode()).hexdigest()
    return {
        'owner': 'sales',
        'budget': budget,
        'token_sha256': digest,
        **options,
    }


class ProcessFleet:
    """Keeper and router processes of some VMs with a store stand-in."""

    modules: ClassVar = {
        name: f'fuchsiafork.{name}' for name in ('keeper', 'router')
    }

    def __init__(
        self,
        vms: list[Vm],
        threads: int = 32,
        **router_options: str,
    ) -> None:
        """Create the store; ``router_options`` extend the router settings."""
        self.vms = vms
        self.store = StoreServer()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._directory = tempfile.TemporaryDirectory(prefix='fleet-')
        self._threads = threads
        self._router_options = router_options
        self._pool = urllib3.PoolManager(retries=False, timeout=2)

    def start(self) -> None:
        """Start the store, every keeper and every router."""
        self.store.start()
        for vm in self.vms:
            self.start_keeper(vm)
            self.start_router(vm)

    def start_keeper(self, vm: Vm) -> None:
        """Start a VM's keeper."""
        settings = keeper_settings(vm, self.vms, self.store.url)
        self._spawn('keeper', vm, settings)

    def start_router(self, vm: Vm) -> None:
        """Start a VM's router."""
        settings = router_settings(
            vm,
            self.vms,
            self._threads,
            **self._router_options,
        )
        self._spawn('router', vm, settings)

    def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """
        Wait until every router is ready.

        :raises TimeoutError: if one isn't ready within ``timeout_s``.
        """
        deadline = time.monotonic() + timeout_s
        waiting = [vm.router_admin for vm in self.vms]
        while waiting:
            waiting = [one for one in waiting if not self._is_ready(one)]
            if time.monotonic() > deadline:
                raise TimeoutError(f'routers not ready: {waiting!r}')
            time.sleep(0.1)

    def signal(self, vm: Vm, program: str, number: signal.Signals) -> None:
        """Send a signal to the process of a program on a VM."""
        self.processes[f'{vm.name}/{program}'].send_signal(number)

    def log(self, vm: Vm, program: str) -> str:
        """Return the log output of a program."""
        return self._path(vm, program, 'log').read_text(encoding='utf-8')

    def stop(self) -> None:
        """Kill the processes that still run, and stop the store."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.store.stop()
        self._directory.cleanup()

    def _spawn(self, program: str, vm: Vm, settings: dict[str, Any]) -> None:
        """Write the settings file of a program and start it with a log file."""
        path = self._path(vm, program, 'ini')
        write_ini(path, settings)
        with self._path(vm, program, 'log').open('ab') as log:
            self.processes[f'{vm.name}/{program}'] = subprocess.Popen(  # ruff: ignore[subprocess-without-shell-equals-true]
                [sys.executable, '-m', self.modules[program], str(path)],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _path(self, vm: Vm, program: str, suffix: str) -> pathlib.Path:
        """Return the path of a settings or log file of a program."""
        return pathlib.Path(
            self._directory.name, f'{vm.name}-{program}.{suffix}'
        )

    def _is_ready(self, address: str) -> bool:
        """Return whether the readiness check of a program succeeds."""
        try:
            answer = self._pool.request('GET', f'http://{address}/readyz')
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200
