"""Graceful shutdown of a gateway, and requests on one connection."""

import asyncio
import collections
import itertools
from unittest import mock

import h11

from fuchsiafork.gateway import program
from fuchsiafork.gateway.prepaid_tokens import LEDGER_KEY
from fuchsiafork.prepaid import decode_ledger
from standins.platform_targets import Behaviour
from tests.gateway_case import PREPAID, VM, GatewayCase


class TestStop(GatewayCase):
    """SIGTERM with requests in flight."""

    async def asyncSetUp(self) -> None:
        """Shorten the time in which new requests are accepted."""
        patcher = mock.patch.object(program, 'ACCEPT_WHILE_STOPPING_S', 0.3)
        patcher.start()
        self.addCleanup(patcher.stop)
        await super().asyncSetUp()

    async def test_requests_in_flight_are_finished(self) -> None:
        """Guards against interrupting answers at a shutdown."""
        for engine in self.engines:
            engine.behaviour = Behaviour(events=8, delay_s=0.1)
        request_task = asyncio.create_task(self.call_engine())
        await self.eventually(lambda: any(e.runs for e in self.engines))
        stop_task = asyncio.create_task(self.gateway.stop())
        reply = await request_task
        self.assertTrue(reply.complete)
        self.assertEqual(reply.body.count(b'id:'), 8)
        await stop_task

    async def test_new_requests_are_served_at_first(self) -> None:
        """Guards against refusing callers that can't know of the shutdown."""
        stop_task = asyncio.create_task(self.gateway.stop())
        await asyncio.sleep(0.05)
        self.assertFalse(self.gateway.ready)
        reply = await self.call('/look/1')
        self.assertEqual(reply.status, 200)
        self.assertEqual(reply.headers['connection'], 'close')
        await stop_task

    async def test_late_requests_are_refused_without_being_run(self) -> None:
        """Guards against accepting requests that can't be finished."""
        for engine in self.engines:
            engine.behaviour = Behaviour(events=8, delay_s=0.2)
        request_task = asyncio.create_task(self.call_engine())
        await self.eventually(lambda: any(e.runs for e in self.engines))
        stop_task = asyncio.create_task(self.gateway.stop())
        await asyncio.sleep(0.5)
        reply = await self.call('/order/1', request_id='late')
        self.assertEqual(reply.status, 503)
        self.assertFalse(any(target.runs for target in self.plain))
        self.assertTrue((await request_task).complete)
        await stop_task

    async def test_idle_connections_are_closed(self) -> None:
        """Guards against further requests on idle connections."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            self.site.ports[VM],
        )
        await self.gateway.stop()
        self.assertEqual(await reader.read(), b'')
        writer.close()

    async def test_tokens_are_returned(self) -> None:
        """Guards against tokens that stay withheld after a shutdown."""
        await self.gateway.stop()
        ledger = decode_ledger(self.store.content.get(LEDGER_KEY) or b'')
        self.assertEqual(ledger.entry('acme').free(PREPAID), PREPAID)


class TestStopUnderLoad(GatewayCase):
    """SIGTERM while many callers send requests."""

    async def asyncSetUp(self) -> None:
        """Shorten the times of a stop, and let answers take some time."""
        for name, seconds in (
            ('ACCEPT_WHILE_STOPPING_S', 0.4),
            ('MIN_IDLE_BEFORE_CLOSE_S', 0.05),
        ):
            patcher = mock.patch.object(program, name, seconds)
            patcher.start()
            self.addCleanup(patcher.stop)
        await super().asyncSetUp()
        for target in self.plain:
            target.behaviour = Behaviour(delay_s=0.03)
        self.sent = itertools.count()
        self.faults: list[str] = []
        self.outcomes: collections.Counter[str] = collections.Counter()

    async def test_series_of_stops(self) -> None:
        """Guards against accepted requests that are cut off (LOST)."""
        for _ in range(3):
            self.stopped = False
            callers = [
                asyncio.create_task(self._send_in_series(pause_s=pause_s))
                for pause_s in (0.0, 0.02, 0.06, 0.11) * 6
            ]
            await asyncio.sleep(0.3)
            await self.gateway.stop()
            self.stopped = True
            await asyncio.gather(*callers)
            self.gateway = await self.start_gateway()
        self.assertEqual(self.faults, [])
        self.assertGreater(self.outcomes['answered'], 100)
        self.assertGreater(self.outcomes['refused'], 0)

    async def test_request_that_is_being_read(self) -> None:
        """Guards against cutting off a request that arrives in pieces."""
        port = self.site.ports[VM]
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'POST /open/1 HTTP/1.1\r\nhost: shop.example\r\n')
        await asyncio.sleep(0.05)
        stop_task = asyncio.create_task(self.gateway.stop())
        await asyncio.sleep(0.2)
        writer.write(b'x-attempt-id: r-1\r\ncontent-length: 2\r\n\r\n')
        await asyncio.sleep(0.1)
        writer.write(b'{}')
        head = await asyncio.wait_for(reader.readline(), 3)
        self.assertIn(b' 200 ', head)
        writer.close()
        await stop_task

    async def test_stopping_twice(self) -> None:
        """Guards against a second signal that cuts the first stop short."""
        for target in self.plain:
            target.behaviour = Behaviour(delay_s=1.0)
        request_task = asyncio.create_task(self.call('/order/1'))
        await self.eventually(lambda: any(t.runs for t in self.plain))
        stop_task = asyncio.create_task(self.gateway.stop())
        await asyncio.sleep(0.1)
        self.gateway._stopping.set()
        self.gateway._reload()
        self.assertEqual((await request_task).status, 200)
        await stop_task

    async def _send_in_series(self, pause_s: float) -> None:
        """Send requests on kept connections until the gateway has stopped."""
        while not self.stopped:
            try:
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', self.site.ports[VM]
                )
            except ConnectionError:
                return
            while not self.stopped:
                if not await self._send_once(reader, writer):
                    break
                await asyncio.sleep(pause_s)
            writer.close()

    async def _send_once(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send one request; return whether the connection stays open."""
        request_id = f'load-{next(self.sent)}'
        writer.write(
            f'GET /open/1 HTTP/1.1\r\nhost: shop.example\r\n'
            f'x-attempt-id: {request_id}\r\n\r\n'.encode()
        )
        try:
            head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)
            length = int(_header(head, b'content-length'))
            await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self._record_cut(request_id, repr(error))
            return False
        status = int(head.split(b' ', 2)[1])
        self.outcomes['answered' if status == 200 else 'refused'] += 1
        if status != 200 and self._was_run(request_id):
            self.faults.append(f'{request_id} ran and got {status}')
        return _header(head, b'connection') != b'close'

    def _record_cut(self, request_id: str, reason: str) -> None:
        """Record a request without an answer; a fault if it was passed on."""
        self.outcomes['cut'] += 1
        if self._was_run(request_id):
            self.faults.append(f'{request_id} ran and was cut: {reason}')

    def _was_run(self, request_id: str) -> bool:
        """Return whether a target has run a request."""
        return any(
            run.request_id == request_id
            for target in self.plain
            for run in target.runs
        )


def _header(head: bytes, name: bytes) -> bytes:
    """Return a header of an answer in lower case, empty if it has none."""
    for line in head.lower().split(b'\r\n'):
        key, _, text = line.partition(b':')
        if key == name:
            return text.strip()
    return b''


class TestConnections(GatewayCase):
    """Several requests on a connection."""

    async def test_pipelined_requests(self) -> None:
        """Guards against lost or reordered answers."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            self.site.ports[VM],
        )
        for number in (1, 2, 3):
            writer.write(
                (
                    'GET /open/1 HTTP/1.1\r\nhost: shop.example\r\n'
                    f'x-attempt-id: r-{number}\r\n\r\n'
                ).encode(),
            )
        received = bytearray()
        while received.count(b'answer to') < 3:
            received += await asyncio.wait_for(reader.read(65_536), 3)
        positions = [
            received.find(f'answer to r-{n}'.encode()) for n in (1, 2, 3)
        ]
        self.assertEqual(positions, sorted(positions))
        self.assertNotIn(-1, positions)
        writer.close()

    async def test_chunked_body(self) -> None:
        """Guards against forwarding a changed body."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            self.site.ports[VM],
        )
        parser = h11.Connection(h11.CLIENT)
        head = h11.Request(
            method='POST',
            target='/open/1',
            headers=[
                ('host', 'shop.example'),
                ('x-attempt-id', 'r-1'),
                ('transfer-encoding', 'chunked'),
            ],
        )
        events = (head, h11.Data(b'one '), h11.Data(b'two'), h11.EndOfMessage())
        for event in events:
            writer.write(parser.send(event) or b'')
        await asyncio.wait_for(reader.read(65_536), 3)
        run = next(run for target in self.plain for run in target.runs)
        self.assertEqual(run.body, b'one two')
        writer.close()

    async def test_request_smuggling(self) -> None:
        """Guards against a second request hidden by two content lengths."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            self.site.ports[VM],
        )
        inner = b'GET /open/2 HTTP/1.1\r\nhost: shop.example\r\n\r\n'
        writer.write(
            b'POST /open/1 HTTP/1.1\r\nhost: shop.example\r\n'
            b'x-attempt-id: r-1\r\ncontent-length: 4\r\n'
            b'content-length: 60\r\n\r\n0\r\n\r\n' + inner,
        )
        received = await asyncio.wait_for(reader.read(65_536), 3)
        self.assertIn(b' 400 ', received.partition(b'\r\n')[0])
        self.assertFalse(any(target.runs for target in self.plain))
        writer.close()
