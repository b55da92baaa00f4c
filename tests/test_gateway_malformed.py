"""Malformed messages and unexpected errors at each listener and client."""

import asyncio
import random
from unittest import mock

from standins.platform_store import StoreFault
from standins.platform_targets import Behaviour
from tests.gateway_case import GatewayCase

UNEXPECTED = b'1004'
NON_ASCII = 'caf\xe9'
# Answers of the store that are no answers to any of its calls.
MALFORMED_BODIES = (
    *(b'', b'[]', b'7', b'"text"', b'{', b'[' * 100_000, b'\xff\xfe'),
    b'{"items": 5, "storeRevision": 1, "hasMore": false, "events": 5}',
    b'{"items": [1], "storeRevision": 1, "hasMore": false, "events": [1]}',
    b'{"items": [], "events": [], "storeRevision": 1e999, "revision": null}',
    b'{"items": [{"key": "k", "value": "%"}], "hasMore": 1}',
    b'{"storeRevision": "x", "events": [{"key": "k", "value": 5}]}',
)
# Requests that the listeners of a gateway can't read or don't expect.
MALFORMED_REQUESTS = (
    *(b'\0\1\2\r\n\r\n', b'GET\r\n\r\n', b'GET / HTTP/9.9\r\n\r\n'),
    b'GET / HTTP/1.1\r\n\r\n',
    b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -4\r\n\r\n',
    b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
    *(
        b'POST %b HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n%b'
        % (path, len(content), content)
        for path in (b'/tokens', b'/tokens/draw', b'/permits', b'/retries')
        for content in (b'[1e9', b'["acme", 1e999]', b'["acme", -5]', b'{}')
    ),
)


class TestListeners(GatewayCase):
    """Bytes that no caller, VM or operator should send."""

    async def test_malformed_requests(self) -> None:
        """Guards against a message that ends the process."""
        rng = random.Random(1)
        messages = [
            *MALFORMED_REQUESTS,
            *(rng.randbytes(rng.randrange(1, 400)) for _ in range(10)),
        ]
        for listener in self.gateway._listeners:
            port = listener.sockets[0].getsockname()[1]
            for message in messages:
                with self.subTest(port=port, message=message):
                    await self._check_answered(port, message)
        self.assertEqual((await self.call('/look/1')).status, 200)
        self.assertFalse(self.gateway._stopping.is_set())
        self.assertTrue(self.gateway.ready)

    async def test_unexpected_error_of_one_request(self) -> None:
        """Guards against a request that is dropped without a code."""
        quarantine = self.gateway._shared.quarantine
        with mock.patch.object(quarantine, 'check', side_effect=KeyError('x')):
            reply = await self.call('/look/1')
        self.assertEqual(reply.status, 500)
        self.assertIn(UNEXPECTED, reply.body)
        self.assertEqual((await self.call('/look/1')).status, 200)

    async def test_unexpected_error_after_the_request_ran(self) -> None:
        """Guards against 'not run' for a request that may have run."""
        rollouts = self.gateway._shared.rollouts
        with mock.patch.object(
            rollouts, 'record_answer', side_effect=KeyError('x')
        ):
            for target in self.plain:
                target.behaviour = Behaviour(no_answer=True)
            reply = await self.call('/order/1')
        self.assertEqual(reply.status, 502)

    async def test_header_values_outside_of_ascii(self) -> None:
        """Guards against refusing header values that HTTP allows."""
        reply = await self.call('/look/1', x_note=NON_ASCII)
        self.assertEqual(reply.status, 200)
        run = next(run for target in self.plain for run in target.runs)
        self.assertEqual(run.headers['x-note'], NON_ASCII)

    async def test_answer_headers_outside_of_ascii(self) -> None:
        """Guards against losing an answer for a byte in its headers."""
        answer = (
            b'HTTP/1.1 200 OK\r\nx-attempt-id: r-1\r\nx-response-seal: m\r\n'
            b'x-note: caf\xe9\r\ncontent-length: 2\r\n\r\nok'
        )
        for target in self.plain:
            target.behaviour = Behaviour(raw_response=answer)
        reply = await self.call('/order/1')
        self.assertEqual((reply.status, reply.body), (200, b'ok'))

    async def test_headers_that_are_no_numbers(self) -> None:
        """Guards against times and counts that no request can have."""
        for headers in (
            {'deadline_ms': 'nan'},
            {'deadline_ms': 'inf'},
            {'x_token_count': '9' * 400},
            {'x_token_count': '-,x'},
        ):
            with self.subTest(headers=headers):
                reply = await self.call('/look/1', **headers)
                self.assertEqual(reply.status, 400)

    async def _check_answered(self, port: int, message: bytes) -> None:
        """Check that a message gets a status, or the end of its connection."""
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(message)
        writer.write_eof()
        received = await asyncio.wait_for(reader.read(65_536), 3)
        writer.close()
        self.assertIn(received[:9], {b'', b'HTTP/1.1 '})


class TestStoreAnswers(GatewayCase):
    """Answers of the store, and values in it, that can't be read."""

    async def test_malformed_answers(self) -> None:
        """Guards against an answer that ends a background task."""
        watcher = self.gateway._components.watchers.targets
        for number, body in enumerate(MALFORMED_BODIES):
            with self.subTest(body=body[:80]):
                self.store.malformed_body = body
                self.store.fault = StoreFault.MALFORMED
                self.store.server.break_connections()
                await self.eventually(lambda: not watcher.connected)
                self.store.fault = StoreFault.NONE
                await self.eventually(lambda: watcher.connected)
                reply = await self.call('/look/1', request_id=f'r-{number}')
                self.assertEqual(reply.status, 200)
        self._check_no_task_failed()

    async def test_malformed_values(self) -> None:
        """Guards against a value that hides all later changes."""
        values = (b'', b'\xff', b'[1, 2]', b'{"counts": 5}', b'[' * 100_000)
        keys = (
            *('op/config', 'op/rollout/plain', 'servers/p-9'),
            *('fuchsiafork/holders/a/7', 'fuchsiafork/quarantine/x/1'),
        )
        for key in keys:
            for value in values:
                self.store.content.put(key, value)
        self.store.notify_watchers()
        self.site.register(self.plain[1], state='draining')
        table = self.gateway._shared.targets
        await self.eventually(lambda: len(table.serving_targets('plain')) == 1)
        await self.change_route('/look/', maxAttempts=1)
        self.assertEqual((await self.call('/look/1')).status, 200)
        self._check_no_task_failed()

    async def test_malformed_record_of_a_rollout(self) -> None:
        """Guards against a record that ends the rollouts of all services."""
        revision = self.store.content.revision + 2
        key = f'fuchsiafork/rollouts/plain/{revision}'
        self.store.content.put(key, b'{"verdict": "?", "counts": [1]}')
        order = {'service': 'plain', 'to': 'v2', 'durationS': 60}
        self.store.put('op/rollout/plain', order)
        rollouts = self.gateway._shared.rollouts
        await self.eventually(lambda: rollouts.get('plain') is not None)
        await asyncio.sleep(1.2)
        self._check_no_task_failed()
        self.store.remove(key)
        await self.eventually(lambda: self.store.content.get(key) is not None)

    async def test_changes_that_cannot_be_applied(self) -> None:
        """Guards against a feed that stops at an unexpected error."""
        table = self.gateway._shared.targets
        with mock.patch.object(table, 'upsert', side_effect=KeyError('x')):
            self.site.register(self.plain[1], state='draining')
            await asyncio.sleep(0.5)
        self.site.register(self.plain[0], state='draining')
        await self.eventually(lambda: len(table.serving_targets('plain')) == 1)
        self._check_no_task_failed()

    async def test_failed_task_is_started_again(self) -> None:
        """Guards against an unexpected error that ends the process."""
        table = self.gateway._shared.targets
        failing = mock.patch.object(
            table, 'remove_expired', side_effect=KeyError('x')
        )
        with failing as remove_expired:
            await self.eventually(lambda: remove_expired.call_count >= 2)
            self.assertFalse(self.gateway.ready)
            self.assertEqual((await self.call('/look/1')).status, 200)
        self.assertFalse(self.gateway._stopping.is_set())
        self.assertIn('periodic', self._failed_tasks())

    def _failed_tasks(self) -> set[str]:
        """Return the names of the tasks that have failed."""
        counter = self.gateway._shared.metrics.task_failures
        return {labels[0] for labels in counter._metrics}

    def _check_no_task_failed(self) -> None:
        """Check that all background tasks have run on."""
        self.assertEqual(self._failed_tasks(), set())
        self.assertFalse(self.gateway._stopping.is_set())
