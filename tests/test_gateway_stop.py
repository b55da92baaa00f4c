"""Graceful shutdown of a gateway, and requests on one connection."""

import asyncio
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
