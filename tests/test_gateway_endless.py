"""Targets that send bytes without end in place of an answer."""

import asyncio
import tracemalloc

from standins.endless_target import EndlessTarget
from standins.platform_caller import Reply
from tests.gateway_case import GatewayCase

# The gateway keeps one answer of at most 4 MiB, and copies it once.
MAX_MEMORY_BYTES = 16_777_216
# The routes' time limit of 3 s and a margin for a busy machine.
MAX_SECONDS = 10.0
# Id of all requests, with which a target marks its answer.
REQUEST_ID = 'r-1'

_SEAL = f'x-attempt-id: {REQUEST_ID}\r\nx-response-seal: m\r\n'.encode()
_OK = b'HTTP/1.1 200 OK\r\n' + _SEAL
_CHUNKED = _OK + b'transfer-encoding: chunked\r\n'
_STREAM = _OK + b'content-type: text/event-stream\r\n'


class TestEndlessAnswers(GatewayCase):
    """Each request ends in time, and memory stays bounded."""

    async def ask_endless(
        self, start: bytes, block: bytes, path: str, service: str
    ) -> Reply:
        """Send a request to a service whose only target sends no end."""
        for other in (*self.plain, *self.engines):
            self.store.remove(f'servers/{other.target_id}')
        target = EndlessTarget('x-1', service, start, block)
        await target.start()
        self.addCleanup(target.stop)
        self.store.put(f'servers/{target.target_id}', target.entry)
        await self.eventually(
            lambda: self.gateway._shared.targets.ids() == ('x-1',)
        )
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        ask = self.call_engine if service == 'engine' else self.call
        reply = await asyncio.wait_for(ask(path), MAX_SECONDS)
        self.assertLess(tracemalloc.get_traced_memory()[1], MAX_MEMORY_BYTES)
        self.assertGreater(target.sent_bytes, 0)
        await self.eventually(lambda: not target.open_connections)
        return reply

    async def test_endless_status_line(self) -> None:
        """Guards against a status line that is kept in memory."""
        reply = await self.ask_endless(
            b'HTTP/1.1 200 ', b'O', '/order/1', 'plain'
        )
        self.assertEqual(reply.status, 502)

    async def test_endless_headers(self) -> None:
        """Guards against headers that are kept in memory."""
        reply = await self.ask_endless(
            _OK, b'x-more: 1\r\n', '/order/1', 'plain'
        )
        self.assertEqual(reply.status, 502)

    async def test_endless_informational_answers(self) -> None:
        """Guards against waiting for an answer that never begins."""
        reply = await self.ask_endless(
            b'', b'HTTP/1.1 103 Early Hints\r\n\r\n', '/order/1', 'plain'
        )
        self.assertEqual(reply.status, 502)

    async def test_endless_body_without_length(self) -> None:
        """Guards against a body that is kept in memory."""
        reply = await self.ask_endless(
            _OK + b'\r\n', b'bytes ', '/order/1', 'plain'
        )
        self.assertEqual(reply.status, 502)

    async def test_endless_chunks(self) -> None:
        """Guards against a chunked body that is kept in memory."""
        reply = await self.ask_endless(
            _CHUNKED + b'\r\n', b'4\r\nmore\r\n', '/order/1', 'plain'
        )
        # Many small chunks may reach the time limit before the size limit.
        self.assertIn(reply.status, {502, 504})

    async def test_endless_answer_to_another_request(self) -> None:
        """Guards against reading a foreign answer without end."""
        foreign = _OK.replace(REQUEST_ID.encode(), b'other') + b'\r\n'
        reply = await self.ask_endless(foreign, b'bytes', '/order/1', 'plain')
        self.assertIn(reply.status, {502, 504})

    async def test_endless_event(self) -> None:
        """Guards against an event that is kept or forwarded without end."""
        reply = await self.ask_endless(
            _STREAM + b'\r\ndata: ', b'x', '/ask/1', 'engine'
        )
        self.assertEqual(reply.status, 502)
        self.assertNotIn(b'xxx', reply.body)

    async def test_endless_bytes_after_a_complete_answer(self) -> None:
        """Guards against bytes on an idle connection that are kept."""
        body = b'content-length: 2\r\n\r\nok'
        reply = await self.ask_endless(_OK + body, b'y', '/order/1', 'plain')
        self.assertEqual((reply.status, reply.body), (200, b'ok'))
