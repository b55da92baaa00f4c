"""A gateway on loopback with the stand-ins of the platform."""

import asyncio
import dataclasses
import socket
import tempfile
import unittest
from pathlib import Path
from typing import Any

import h11

from fuchsiafork.gateway.program import GatewayProgram
from fuchsiafork.kernel import SystemClock
from fuchsiafork.observability.logs import configure_logs
from standins.platform_store import PlatformStoreServer
from standins.platform_targets import EVENT_TOKENS, PlatformTarget

KEY = 'key-of-acme'
PREPAID = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """
    What a caller got.

    :ivar complete: whether the answer ended as a whole one.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


def free_port() -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


def make_route(prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route in the operator's form."""
    return {
        'name': prefix.strip('/'),
        'host': 'shop.example',
        'prefix': prefix,
        'kind': kind,
        'service': 'plain',
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


def make_configuration(version: int = 1) -> dict[str, Any]:
    """Return a configuration in the operator's form."""
    engine = {'service': 'engine', 'sessionAffinity': True}
    return {
        'version': version,
        'routes': [
            make_route('/look/', 'safe', maxAttempts=2),
            make_route('/order/', 'unsafe'),
            make_route('/ask/', 'streaming', **engine),
            make_route(
                '/talk/',
                'streaming',
                maxAttempts=2,
                streamResume=True,
                **engine,
            ),
            make_route('/quick/', 'safe', timeoutMs=200),
            make_route('/open/', 'safe', public=True),
        ],
        'services': [
            {'name': 'plain', 'maxConnections': 100},
            {
                'name': 'engine',
                'maxConnections': 100,
                'engine': {'slots': 8, 'stride': EVENT_TOKENS},
            },
        ],
        'limits': {
            'maxHeaderBytes': 4096,
            'maxBodyBytes': 100_000,
            'headerTimeoutMs': 500,
            'idleTimeoutMs': 5000,
        },
        'tenants': [
            {'name': 'acme', 'apiKeys': [KEY], 'prepaid': PREPAID},
            {'name': 'poor', 'apiKeys': ['key-of-poor'], 'prepaid': 100},
        ],
    }


class GatewayCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store, two targets of each service, and a gateway."""

    async def asyncSetUp(self) -> None:
        """Start everything and wait until the gateway is ready."""
        configure_logs('critical')
        self.store = PlatformStoreServer(SystemClock())
        await self.store.start()
        self.store.put('op/config', make_configuration())
        self.plain = [PlatformTarget(f'p-{n}', 'plain', 'a') for n in (1, 2)]
        self.engines = [PlatformTarget(f'e-{n}', 'engine', 'a') for n in (1, 2)]
        for target in (*self.plain, *self.engines):
            await target.start()
            self.register(target)
        self.folder = tempfile.TemporaryDirectory()
        self.port = free_port()
        self.ready_port = free_port()
        self.gateway = await self.start_gateway('a-1')

    async def asyncTearDown(self) -> None:
        """End what was started."""
        for task in self.gateway._tasks:
            task.cancel()
        for listener in self.gateway._listeners:
            listener.close()
        for connection in tuple(self.gateway._callers.connections):
            connection.abort()
        for target in (*self.plain, *self.engines):
            await target.stop()
        await self.store.stop()
        self.folder.cleanup()

    async def start_gateway(self, vm: str) -> GatewayProgram:
        """Return a gateway once it is ready."""
        path = Path(self.folder.name) / 'node.conf'
        peer_port = free_port()
        lines = (
            f'node={vm}',
            'zone=a',
            'zones.a=north',
            'ip=127.0.0.1',
            f'internalPorts={peer_port},{peer_port + 1}',
            f'metricsPort={free_port()}',
            f'listen.front=127.0.0.1:{self.port}',
            f'listen.ready=127.0.0.1:{self.ready_port}',
            f'platform.address={self.store.address}',
            'bounds.graceS=8',
            'bounds.budgetExtra=56',
        )
        path.write_text('\n'.join(lines), encoding='utf-8')
        gateway = GatewayProgram(path)
        await gateway.start()
        await self.eventually(lambda: gateway.ready)
        return gateway

    def register(self, target: PlatformTarget, **changes: Any) -> None:
        """Write a target's entry."""
        entry = {**target.entry, **changes}
        self.store.put(f'servers/{target.target_id}', entry)

    async def eventually(self, holds: Any, seconds: float = 5.0) -> None:
        """Wait until something holds, or fail."""
        async with asyncio.timeout(seconds):
            while not holds():
                await asyncio.sleep(0.01)

    async def call(
        self,
        path: str,
        method: str = 'POST',
        body: bytes = b'{}',
        key: str = KEY,
        request_id: str = 'r-1',
        **headers: str,
    ) -> Reply:
        """Return what a caller gets for one request."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        try:
            return await exchange(
                reader,
                writer,
                make_request(path, method, body, key, request_id, headers),
                body,
            )
        finally:
            writer.close()

    async def ask(self, path: str = '/ask/1', **headers: str) -> Reply:
        """Return the answer of an engine to a prompt."""
        tokens = {'x_token_count': '100,200', 'x_model': 'm'}
        return await self.call(path, **{**tokens, **headers})


def make_request(
    path: str,
    method: str,
    body: bytes,
    key: str,
    request_id: str,
    headers: dict[str, str],
) -> h11.Request:
    """Return the head of a caller's request."""
    pairs = [
        ('host', 'shop.example'),
        ('x-attempt-id', request_id),
        ('x-deadline-ms', headers.pop('deadline_ms', '5000')),
        ('content-length', str(len(body))),
    ]
    if key:
        pairs.append(('authorization', f'Bearer {key}'))
    pairs += [(name.replace('_', '-'), text) for name, text in headers.items()]
    return h11.Request(method=method, target=path, headers=pairs)


async def exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    request: h11.Request,
    body: bytes,
) -> Reply:
    """Return the answer on a connection."""
    parser = h11.Connection(h11.CLIENT)
    writer.write(parser.send(request) or b'')
    if body:
        writer.write(parser.send(h11.Data(body)) or b'')
    writer.write(parser.send(h11.EndOfMessage()) or b'')
    return await read_reply(reader, parser)


async def _read_some(reader: asyncio.StreamReader) -> bytes:
    """Return the next bytes, none at the end or after a reset."""
    try:
        return await reader.read(65_536)
    except ConnectionError:
        return b''


async def read_reply(
    reader: asyncio.StreamReader,
    parser: h11.Connection,
) -> Reply:
    """Return an answer, also one that breaks off."""
    status, headers, taken = 0, {}, bytearray()
    while True:
        try:
            event = parser.next_event()
        except h11.RemoteProtocolError:
            return Reply(status, headers, bytes(taken), complete=False)
        if event is h11.NEED_DATA:
            parser.receive_data(await _read_some(reader))
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = {
                name.decode(): text.decode() for name, text in event.headers
            }
        elif isinstance(event, h11.Data):
            taken += event.data
        elif isinstance(event, h11.EndOfMessage):
            return Reply(status, headers, bytes(taken), complete=True)
        elif isinstance(event, h11.ConnectionClosed):
            return Reply(status, headers, bytes(taken), complete=False)
