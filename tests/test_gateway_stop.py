"""A planned stop of a gateway."""

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
        """Let the balancer's time be short."""
        patcher = mock.patch.object(program, 'TAKE_S', 0.3)
        patcher.start()
        self.addCleanup(patcher.stop)
        await super().asyncSetUp()

    async def test_requests_in_flight_are_finished(self) -> None:
        """Guards against answers that a planned stop cuts off."""
        for engine in self.engines:
            engine.behaviour = Behaviour(events=8, delay_s=0.1)
        asking = asyncio.create_task(self.ask())
        await self.eventually(lambda: any(e.runs for e in self.engines))
        stopping = asyncio.create_task(self.gateway.stop())
        reply = await asking
        self.assertTrue(reply.complete)
        self.assertEqual(reply.body.count(b'id:'), 8)
        await stopping

    async def test_new_requests_are_served_for_a_while(
        self,
    ) -> None:
        """Guards against refusing callers that can't know of the stop."""
        stopping = asyncio.create_task(self.gateway.stop())
        await asyncio.sleep(0.05)
        self.assertFalse(self.gateway.ready)
        reply = await self.call('/look/1')
        self.assertEqual(reply.status, 200)
        self.assertEqual(reply.headers['connection'], 'close')
        await stopping

    async def test_late_requests_are_refused_truly(self) -> None:
        """Guards against requests that a stopping process can't finish."""
        for engine in self.engines:
            engine.behaviour = Behaviour(events=8, delay_s=0.2)
        asking = asyncio.create_task(self.ask())
        await self.eventually(lambda: any(e.runs for e in self.engines))
        stopping = asyncio.create_task(self.gateway.stop())
        await asyncio.sleep(0.5)
        reply = await self.call('/order/1', request_id='late')
        self.assertEqual(reply.status, 503)
        self.assertFalse(any(target.runs for target in self.plain))
        self.assertTrue((await asking).complete)
        await stopping

    async def test_idle_connections_are_closed(self) -> None:
        """Guards against callers that keep sending on old connections."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            self.site.ports[VM],
        )
        await self.gateway.stop()
        self.assertEqual(await reader.read(), b'')
        writer.close()

    async def test_tokens_go_back(self) -> None:
        """Guards against withholding the tokens of each planned stop."""
        await self.gateway.stop()
        ledger = decode_ledger(self.store.content.get(LEDGER_KEY) or b'')
        self.assertEqual(ledger.entry('acme').free(PREPAID), PREPAID)


class TestConnections(GatewayCase):
    """Several requests on a connection."""

    async def test_requests_that_are_sent_ahead(self) -> None:
        """Guards against lost or mixed answers of pipelined requests."""
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
        taken = bytearray()
        while taken.count(b'answer to') < 3:
            taken += await asyncio.wait_for(reader.read(65_536), 3)
        places = [taken.find(f'answer to r-{n}'.encode()) for n in (1, 2, 3)]
        self.assertEqual(places, sorted(places))
        self.assertNotIn(-1, places)
        writer.close()

    async def test_body_in_chunks(self) -> None:
        """Guards against a body that targets get changed."""
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

    async def test_smuggled_request(self) -> None:
        """Guards against a second request hidden behind two lengths."""
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
        taken = await asyncio.wait_for(reader.read(65_536), 3)
        self.assertIn(b' 400 ', taken.partition(b'\r\n')[0])
        self.assertFalse(any(target.runs for target in self.plain))
        writer.close()
