"""
What callers cost a gateway: processor time a byte, and memory a connection.

One gateway process on loopback. The time of a byte in chunks is given as a
ratio to a byte of a plain body in the same run; memory is the growth of the
resident size, divided by the connections, beside the estimates that count
against the limits.
"""

import asyncio
import contextlib
import random
import re
import statistics
from collections.abc import AsyncGenerator
from pathlib import Path
from typing import Any

from fuchsiafork.observability.logs import configure_logs
from fuchsiafork.transport.caller_resources import (
    CONNECTION_BYTES,
    FIELD_BYTES,
)
from standins.gateway_process import GatewayProcess
from standins.platform_site import PlatformSite, make_route
from standins.platform_targets import PlatformTarget

BODY_BYTES = 524_288
REPEATS = 8
CONNECTIONS = 400
FIELDS = 2000
MEMORY_MB = 552
# Aim for a byte in chunks of equal size, as a multiple of a plain byte.
MOST_TIMES_PLAIN = 10.0

_CONFIGURATION = {
    'version': 1,
    'routes': [make_route('/open/', 'safe', 'plain', public=True)],
    'services': [{'name': 'plain', 'maxConnections': 100}],
    'limits': {
        'maxHeaderBytes': 16_384,
        'maxBodyBytes': 1_048_576,
        'headerTimeoutMs': 30_000,
        'idleTimeoutMs': 60_000,
    },
    'tenants': [],
}
_HEAD = b'POST /open/1 HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: %b\r\n'
_LENGTH = re.compile(rb'content-length: (\d+)', re.IGNORECASE)
_RESIDENT = re.compile(r'VmRSS:\s+(\d+) kB')
_SETTLE_S = 1.0


def run(seed: int) -> tuple[dict[str, Any], bool]:
    """Return the figures, and whether equal chunks met their aim."""
    return asyncio.run(_measure(random.Random(seed)))


async def _measure(rng: random.Random) -> tuple[dict[str, Any], bool]:
    """Measure with a gateway of its own."""
    configure_logs('critical')
    site = PlatformSite()
    await site.start(_CONFIGURATION, [PlatformTarget('p-1', 'plain', 'a')])
    try:
        memory = await _measure_memory(site)
        times = await _measure_times(site, rng)
    finally:
        await site.stop()
    plain = times['plain']
    ratios = {name: round(one / plain, 1) for name, one in times.items()}
    held = all(
        ratio <= MOST_TIMES_PLAIN
        for name, ratio in ratios.items()
        if name.startswith('equal')
    )
    result = {
        'plain_ns_per_byte': round(plain, 2),
        'times_plain': ratios,
        'most_times_plain': MOST_TIMES_PLAIN,
        'bytes_per': memory,
        'estimates': {'connection': CONNECTION_BYTES, 'field': FIELD_BYTES},
    }
    return result, held


@contextlib.asynccontextmanager
async def _run_gateway(
    site: PlatformSite,
) -> AsyncGenerator[GatewayProcess, None]:
    """Run a gateway, whose memory no earlier callers have taken."""
    gateway = GatewayProcess(site, 'a-1', MEMORY_MB)
    try:
        await gateway.wait_ready()
        yield gateway
    finally:
        gateway.stop()


async def _measure_times(
    site: PlatformSite, rng: random.Random
) -> dict[str, float]:
    """Return the processor time of a byte by form, in nanoseconds."""
    forms = _make_forms(rng)
    costs: dict[str, list[float]] = {name: [] for name in forms}
    async with _run_gateway(site) as gateway:
        await _exchange_all(gateway, forms, costs)
    return {name: statistics.median(one) for name, one in costs.items()}


async def _exchange_all(
    gateway: GatewayProcess,
    forms: dict[str, bytes],
    costs: dict[str, list[float]],
) -> None:
    """Send each form some times, and note the time of a byte."""
    reader, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
    for repeat in range(REPEATS):
        for name, rest in forms.items():
            head = _HEAD % f'{name}-{repeat}'.encode()
            before = _cpu_ns(gateway)
            await _exchange(reader, writer, head + rest)
            used = _cpu_ns(gateway) - before
            costs[name].append(used / len(head + rest))
    writer.close()


def _make_forms(rng: random.Random) -> dict[str, bytes]:
    """Return the rest of a request behind its first fields, by form."""
    length = b'content-length: %d\r\n\r\n' % BODY_BYTES
    forms = {'plain': length + bytes(BODY_BYTES)}
    for size in (65_536, 1000, 100, 16, 1):
        forms[f'equal_{size}'] = _encode(lambda size=size: size, BODY_BYTES)
    for most in (2, 15, 40):
        forms[f'random_up_to_{most}'] = _encode(
            lambda most=most: rng.randint(1, most), BODY_BYTES // 4
        )
    extended = b'1;a\r\nx\r\n' * 8000
    forms['extensions'] = _CHUNKED + extended + b'0\r\n\r\n'
    forms['fields'] = b'a:b\r\n' * FIELDS + b'\r\n'
    return forms


_CHUNKED = b'transfer-encoding: chunked\r\n\r\n'


def _encode(next_size: Any, total: int) -> bytes:
    """Return a body in chunks."""
    parts = [_CHUNKED]
    while total > 0:
        size = min(total, next_size())
        total -= size
        parts.append(b'%x\r\n%b\r\n' % (size, bytes(size)))
    return b''.join((*parts, b'0\r\n\r\n'))


async def _exchange(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes
) -> None:
    """Send a request and read its response, which must be a success."""
    writer.write(data)
    head = await reader.readuntil(b'\r\n\r\n')
    length = _LENGTH.search(head)
    if b' 200 ' not in head or length is None:
        raise RuntimeError(f'{head!r}')
    await reader.readexactly(int(length[1]))


async def _measure_memory(site: PlatformSite) -> dict[str, int]:
    """Return resident bytes a connection, by what it holds."""
    head = _HEAD % b'm' + b'content-length: 2\r\n'
    return {
        name: await _growth(site, data)
        for name, data in (
            ('connection', b''),
            ('half_a_head', head),
            ('unfinished_2000_fields', head + b'a:b\r\n' * FIELDS + b'\r\nx'),
            (
                'unfinished_body_of_100_kb',
                _HEAD % b'm'
                + b'content-length: 100001\r\n\r\n'
                + bytes(100_000),
            ),
        )
    }


async def _growth(site: PlatformSite, data: bytes) -> int:
    """Return how much a process grows by a connection that sends this."""
    async with _run_gateway(site) as gateway:
        before = _resident_bytes(gateway)
        writers = []
        for _ in range(CONNECTIONS):
            _, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
            writer.write(data)
            writers.append(writer)
        await asyncio.sleep(_SETTLE_S)
        growth = _resident_bytes(gateway) - before
        for writer in writers:
            writer.transport.abort()
    return growth // CONNECTIONS


def _cpu_ns(gateway: GatewayProcess) -> int:
    """Return the processor time that a gateway has used."""
    path = Path(f'/proc/{gateway.pid}/schedstat')
    return int(path.read_text(encoding='utf-8').split()[0])


def _resident_bytes(gateway: GatewayProcess) -> int:
    """Return the resident memory of a gateway."""
    path = Path(f'/proc/{gateway.pid}/status')
    found = _RESIDENT.search(path.read_text(encoding='utf-8'))
    return int(found[1]) * 1024 if found else 0
