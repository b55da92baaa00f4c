"""Starts gateways as processes beside stand-ins, and records what happens."""

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / 'target' / 'deps')]

from fuchsiafork.kernel import SystemClock  # noqa: E402
from standins.platform_store import Lease, PlatformStoreServer  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Store(PlatformStoreServer):
    """The project's stand-in of the store; leases have ids of their own."""

    def __init__(self, clock):
        super().__init__(clock)
        self._lease_ids = itertools.count(77_000)
        self._cuts = {}

    def cut_watches(self, prefix):
        """Cut the watches of a prefix that wait now."""
        self._cuts.pop(prefix, asyncio.Event()).set()

    async def _watch(self, query, body):
        cut = self._cuts.setdefault(query['prefix'], asyncio.Event())
        answer = asyncio.create_task(super()._watch(query, body))
        waiter = asyncio.create_task(cut.wait())
        try:
            await asyncio.wait(
                (answer, waiter), return_when=asyncio.FIRST_COMPLETED
            )
            return (-1, {}) if waiter.done() else answer.result()
        finally:
            waiter.cancel()
            answer.cancel()

    async def _grant_lease(self, query, body):
        lease = next(self._lease_ids)
        ttl_ms = max(1000, int(body['ttlMs']))
        self.content.leases[lease] = Lease(
            ttl_ms, self._clock.now() + ttl_ms / 1000
        )
        return 200, {'lease': lease, 'ttlMs': ttl_ms}


class Record:
    """Lines of record.txt, with seconds since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w', encoding='utf-8')
        self._started_at = time.monotonic()

    def __call__(self, text):
        seconds = time.monotonic() - self._started_at
        self._file.write(f'{seconds:8.3f} {text}\n')
        self._file.flush()


def free_ports(ip, count):
    """Return ports of an address that nobody listens on."""
    found = []
    while len(found) < count:
        port = random.randrange(10_000, 32_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((ip, port))
            if port not in found:
                found.append(port)
    return found


def route(prefix, kind, service, **fields):
    """Return a route of the operator's configuration."""
    return {
        'name': prefix.strip('/'), 'host': 'shop.example', 'prefix': prefix,
        'kind': kind, 'service': service, 'timeoutMs': 12000,
        'targetLatencyMs': 400, 'maxAttempts': 1, 'priority': 1,
        'public': False, 'sessionAffinity': False, 'streamResume': False,
        'gapAimMs': 300, **fields,
    }


def configuration(routes, services, version=1, tenants=None):
    """Return an operator's configuration."""
    document = {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
        },
    }
    if tenants is not None:
        document['tenants'] = tenants
    return document


class Gateway:
    """One gateway process, started by the command of the deploy file."""

    def __init__(self, site, name, zone, ip, store_address=''):
        self.site, self.name, self.zone, self.ip = site, name, zone, ip
        front, ready, control, first, metrics = free_ports(ip, 5)
        self.front, self.ready_port = front, ready
        self.process = None
        self.path = Path(site.folder) / f'{name}.conf'
        self.log_path = Path(site.folder) / f'{name}.log'
        lines = [
            f'node={name}', 'role=gateway', 'machineClass=front',
            'serves=front', f'ip={ip}', f'zone={zone}', 'region=delta',
            f'listen.front={ip}:{front}', f'listen.ready={ip}:{ready}',
            f'listen.control={ip}:{control}',
            f'internalPorts={first},{first + 15}', f'metricsPort={metrics}',
            'bootstrap=true', 'limits.memoryMb=300', 'limits.maxFds=4100',
            'limits.linkMbps=1000.0', 'discovery=platform', 'entry=vip',
            'heartbeatMs=1200', 'bounds.stableWindowMs=3000',
            'bounds.drainMs=2000', 'bounds.graceS=8',
            'bounds.lossSlackMs=200', 'bounds.configApplyMs=2000',
            'bounds.retryBudgetRatio=0.2', 'bounds.budgetWindowS=10',
            'bounds.budgetExtra=56',
            f'platform.address={store_address or site.store.address}',
            'platform.form=kv', 'platform.writesPerS=400',
            'platform.readsPerS=2000', 'platform.historyS=20',
            'platform.valueBytes=1048576', 'platform.ttlMinMs=1000',
        ]
        self.path.write_text('\n'.join(lines) + '\n', encoding='utf-8')

    def start(self):
        """Start the process."""
        import subprocess
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['gateway']['run'].split()
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        env['FUCHSIAFORK_NODE_FILE'] = str(self.path)
        env['PYTHONPATH'] = 'target/deps'
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.site.record(f'{self.name} started, pid {self.process.pid}')

    def signal(self, number):
        """Send a signal to the process."""
        self.site.record(f'{self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def is_ready(self):
        """Return whether the readiness page answers 200."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ready_port
                )
                writer.write(
                    b'GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n'
                )
                line = await reader.readline()
                writer.close()
                return b' 200 ' in line
        return False

    async def wait_ready(self, timeout_s=20.0):
        """Wait until the process is ready; raise TimeoutError otherwise."""
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                if self.process.poll() is not None:
                    raise RuntimeError(f'{self.name} ended')
                await asyncio.sleep(0.1)
        self.site.record(f'{self.name} is ready')


class Site:
    """The store, the gateways and a temporary folder."""

    def __init__(self, folder):
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = self._temporary.name
        self.store = Store(SystemClock())
        self.gateways = []

    async def start(self, document, entries):
        """Start the store with a configuration and entries of replicas."""
        await self.store.start()
        self.store.put('op/config', document)
        for replica_id, entry in entries.items():
            self.store.put(f'servers/{replica_id}', entry)

    def add_gateway(self, name, zone, store_address=''):
        """Start a gateway on a loopback address of its own."""
        ip = f'127.0.{random.randrange(1, 250)}.{random.randrange(2, 250)}'
        gateway = Gateway(self, name, zone, ip, store_address)
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    def stop(self):
        """End all processes that were started."""
        for gateway in self.gateways:
            process = gateway.process
            if process is not None and process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                process.wait()
        self.store.stop()
        self._temporary.cleanup()


def entry(service, address, zone, **fields):
    """Return the entry of a replica in the store."""
    return {
        'service': service, 'address': address, 'zone': zone,
        'version': 'v1', 'slots': 64, 'state': 'ready', 'coldLeftMs': 0,
        'seq': 1, 'born': int(time.time() * 1000), **fields,
    }


async def read_request(reader):
    """Return head line, headers and body of a request, None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in rest:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = b''
    length = int(headers.get('content-length', '0'))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return first, headers, body


def run_case(main, folder):
    """Run a case and exit with its result."""
    async def limited():
        async with asyncio.timeout(115):
            return await main(folder)
    # Streams that are left at the end of the loop.
    sys.unraisablehook = lambda _: None
    # So that the processes of a case end with it.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        result = asyncio.run(limited())
    except Exception as error:  # the case couldn't run
        print(f'the case could not run: {error!r}')
        import traceback
        traceback.print_exc()
        result = NOT_RUN
    sys.exit(result)


def dumps(value):
    """Return a value as JSON."""
    return json.dumps(value)
