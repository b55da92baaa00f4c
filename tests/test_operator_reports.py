"""What operators of similar systems have reported."""

import asyncio
import json
from typing import Any

from standins.platform_targets import Behaviour, PlatformTarget
from tests.gateway_case import GatewayCase

REQUESTS = 8
PATHS = ('/look/1', '/order/1', '/ask/1', '/talk/1')
ADDRESSES = (
    *('127.0.0.1:70000', '127.0.0.1:0', '127.0.0.1:-1', '127.0.0.1:'),
    *(f'127.0.0.1:{"9" * 30}', '999.0.0.1:80', '127.0.0.1.5:80', '127.1:80'),
)
NUMBERS = ('1e999', '9' * 400, '9' * 5000, '-1', '0.5', 'NaN')
HEAD = (
    b'HTTP/1.1 200 OK\r\nx-attempt-id: %b\r\nx-response-seal: mac\r\n'
    b'content-length: 5\r\n\r\n'
)
OUTCOME_UNKNOWN = {502, 504}
OK_STATUS = 200


class TestOddEntries(GatewayCase):
    """An entry of another writer among those of sound targets."""

    async def asyncSetUp(self) -> None:
        """Start a target that the entry belongs to."""
        await super().asyncSetUp()
        self.odd = PlatformTarget('odd', 'plain', 'a')
        await self.odd.start()
        self.addCleanup(self.odd.stop)

    async def check(self, value: bytes) -> None:
        """Write an entry and check that requests are served as before."""
        self.store.content.put('servers/odd', value)
        self.store.notify_watchers()
        await asyncio.sleep(0.3)
        for number in range(REQUESTS):
            for path in ('/look/1', '/order/1'):
                reply = await self.call(path, request_id=f'r{number}{path}')
                self.assertEqual(reply.status, OK_STATUS, reply.body)

    async def check_followed(self) -> None:
        """Check that a target that registers afterwards is used."""
        added = PlatformTarget('added', 'plain', 'a')
        await self.site.add_target(added)
        await asyncio.sleep(0.5)
        for number in range(REQUESTS * 2):
            await self.call('/look/1', request_id=f's{number}')
        self.assertGreater(added.arrivals, 0)

    def entry(self, **fields: Any) -> bytes:
        """Return the entry of that target with some fields changed."""
        return json.dumps({**self.odd.entry, **fields}).encode()

    async def test_addresses_that_cannot_be_called(self) -> None:
        """Guards against 500 for requests that a sound target could run."""
        for address in ADDRESSES:
            with self.subTest(address=address):
                await self.check(self.entry(address=address))
        await self.check_followed()

    async def test_numbers_out_of_range(self) -> None:
        """Guards against a list of targets that is followed no longer."""
        for number in NUMBERS:
            for name in ('slots', 'born', 'seq'):
                with self.subTest(name=name, number=number[:9]):
                    value = self.entry(**{name: 12345678})
                    await self.check(
                        value.replace(b'12345678', number.encode())
                    )
        await self.check_followed()

    async def test_deep_nesting(self) -> None:
        """Guards against a process that ends on a deeply nested entry."""
        deep = b'[' * 100_000
        unknown = b'[' * 3000 + b']' * 3000
        entry = self.entry(unknown='x').replace(b'"x"', unknown)
        for value in (deep, entry, b'\xff\xfe', b''):
            with self.subTest(value=value[:9]):
                await self.check(value)
        await self.check_followed()


class TestBrokenHead(GatewayCase):
    """A target that stops in the head of its answer and closes."""

    async def test_no_answer_is_framed_as_whole(self) -> None:
        """Guards against 200 with an empty body that the target didn't send."""
        for path in PATHS:
            for length in range(0, len(HEAD), 9):
                with self.subTest(path=path, length=length):
                    request_id = f'{path}{length}'
                    head = HEAD.replace(b'%b', request_id.encode())[:length]
                    for target in (*self.plain, *self.engines):
                        target.behaviour = Behaviour(
                            raw_response=head, no_answer=not head
                        )
                    reply = await self.call(
                        path,
                        request_id=request_id,
                        x_token_count='10,10',
                        x_model='m',
                    )
                    self.assertIn(reply.status, OUTCOME_UNKNOWN)
                    self.assertTrue(reply.complete)
