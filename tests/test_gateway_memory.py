"""Memory of a gateway process before many bad or large answers at once."""

import asyncio
import dataclasses
import unittest

import h11

from fuchsiafork.observability.logs import configure_logs
from fuchsiafork.transport.memory import UNCOUNTED_BYTES, MemoryBound
from standins.dripping_target import DrippingTarget
from standins.gateway_process import GatewayProcess
from standins.platform_caller import Call, Reply, call_once
from standins.platform_site import PlatformSite
from standins.platform_targets import Behaviour, PlatformTarget
from tests.gateway_case import KEY, make_fleet_configuration

MEMORY_MB = 300
CALLS = 150
TARGETS = 4
FIRST_BYTES = 3_500_000
SOUND_PER_S = 20.0
LEAST_SOUND_SHARE = 0.99
LARGE_CALLS = 60
LARGE_BYTES = 3_000_000
UPLOAD_BYTES = 4_000_000

_OK = 'HTTP/1.1 200 OK'
_ERROR = 'HTTP/1.1 500 Failed'
_CHUNKED = 'transfer-encoding: chunked'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """How bad targets answer; see DrippingTarget."""

    head: tuple[str, ...]
    start: bytes
    drip: bytes


def _chunk(content: bytes) -> bytes:
    """Return the bytes of a chunk."""
    return b'%x\r\n%s\r\n' % (len(content), content)


PLAIN = b'x' * FIRST_BYTES
CHUNKED = Answer((_OK, _CHUNKED), _chunk(PLAIN), _chunk(b'more'))
WITH_LENGTH = Answer((_OK, 'content-length: 4000000'), PLAIN, b'more')
TO_THE_END = Answer((_OK, 'connection: close'), PLAIN, b'more')
FAILED = Answer((_ERROR, _CHUNKED), _chunk(PLAIN), _chunk(b'more'))


class MemoryCase(unittest.IsolatedAsyncioTestCase):
    """Starts a gateway as a process of its own, and sound targets."""

    async def asyncSetUp(self) -> None:
        """Start everything and wait until the gateway is ready."""
        configure_logs('critical')
        asyncio.get_running_loop().set_debug(False)
        self.site = PlatformSite()
        self.sound_target = PlatformTarget('e-1', 'engine', 'a')
        self.sound_target.behaviour = Behaviour(events=2, delay_s=0.005)
        await self.site.start(make_fleet_configuration(), [self.sound_target])
        self.addAsyncCleanup(self.site.stop)
        self.gateway = GatewayProcess(self.site, 'a-1', MEMORY_MB)
        self.addCleanup(self.gateway.stop)
        await self.gateway.wait_ready()
        self.sound: list[Reply] = []

    async def call(self, path: str, request_id: str) -> Reply:
        """Send one request."""
        call = Call(path, key=KEY, request_id=request_id, deadline_ms='3000')
        return await call_once(self.gateway.port, call)

    async def add_bad_targets(self, answer: Answer) -> None:
        """Register targets that answer without end."""
        for number in range(TARGETS):
            target = DrippingTarget(
                f'x-{number}', 'plain', answer.head, answer.start, answer.drip
            )
            await self.site.add_target(target)
        await asyncio.sleep(0.5)

    async def send_sound(self) -> None:
        """Send sound requests to another service until cancelled."""
        number = 0
        while True:
            number += 1
            await asyncio.sleep(1 / SOUND_PER_S)
            self.sound.append(await self.call('/ask/1', f's-{number}'))

    def assert_bounded(self) -> None:
        """Check that the process lives within its memory."""
        self.assertTrue(self.gateway.running)
        self.assertLess(self.gateway.peak_mb, MEMORY_MB)


class TestBadAnswers(MemoryCase):
    """Many answers without end at the same time."""

    async def check(self, answer: Answer, path: str) -> None:
        """Send the calls twice, beside sound ones."""
        await self.add_bad_targets(answer)
        sound = asyncio.create_task(self.send_sound())
        for attempt in range(2):
            await asyncio.gather(
                *(
                    self.call(path, f'r-{attempt}-{number}')
                    for number in range(CALLS)
                )
            )
        sound.cancel()
        self.assert_bounded()
        served = sum(
            reply.status == 200 and reply.complete for reply in self.sound
        )
        self.assertGreater(len(self.sound), SOUND_PER_S)
        self.assertGreaterEqual(served, LEAST_SOUND_SHARE * len(self.sound))

    async def test_chunks(self) -> None:
        """Guards against a process that ends with what faulty targets send."""
        await self.check(CHUNKED, '/order/1')

    async def test_bodies_with_a_length(self) -> None:
        """Guards against the same for answers whose length is known."""
        await self.check(WITH_LENGTH, '/look/1')

    async def test_bodies_to_the_end_of_the_connection(self) -> None:
        """Guards against the same for answers without a length."""
        await self.check(TO_THE_END, '/order/1')

    async def test_errors(self) -> None:
        """Guards against the same for errors, which may be kept for later."""
        await self.check(FAILED, '/look/1')


class TestLargeAnswers(MemoryCase):
    """Many sound answers of some megabytes at the same time."""

    async def asyncSetUp(self) -> None:
        """Add a target whose answers are large."""
        await super().asyncSetUp()
        self.target = PlatformTarget('p-1', 'plain', 'a')
        self.target.behaviour = Behaviour(body_bytes=LARGE_BYTES)
        await self.site.add_target(self.target)
        await asyncio.sleep(0.5)

    async def test_answers_are_whole(self) -> None:
        """Guards against a bound that costs sound answers."""
        replies = await asyncio.gather(
            *(
                self.call('/look/1', f'r-{number}')
                for number in range(LARGE_CALLS)
            )
        )
        self.assert_bounded()
        for number, reply in enumerate(replies):
            with self.subTest(number=number):
                self.assertTrue(reply.complete)
                self.assertEqual(len(reply.body), LARGE_BYTES)
                mark = f'answer to r-{number}.'.encode()
                self.assertEqual(reply.body[: len(mark)], mark)

    async def test_callers_that_do_not_read(self) -> None:
        """Guards against answers that pile up before callers that pause."""
        writers = [
            await self._ask_only(f'r-{number}') for number in range(CALLS)
        ]
        await asyncio.sleep(2)
        reply = await self.call('/ask/1', 's-1')
        self.assertEqual(reply.status, 200)
        self.assert_bounded()
        for writer in writers:
            writer.transport.abort()

    async def test_broken_answer_is_not_joined_with_another_one(self) -> None:
        """Guards against pieces of two answers once memory is taken up."""
        second = PlatformTarget('p-2', 'plain', 'a')
        await self.site.add_target(second)
        for target in (self.target, second):
            target.behaviour = Behaviour(
                body_bytes=LARGE_BYTES, truncate_after=LARGE_BYTES - 1
            )
        await asyncio.sleep(0.5)
        replies = await asyncio.gather(
            *(self.call('/look/1', f'r-{number}') for number in range(CALLS))
        )
        self.assert_bounded()
        self.assertFalse(
            any(reply.complete and reply.status == 200 for reply in replies)
        )
        for reply in replies:
            self.assertLess(len(reply.body), LARGE_BYTES)

    async def _ask_only(self, request_id: str) -> asyncio.StreamWriter:
        """Send a request and read nothing of its answer."""
        call = Call('/look/1', key=KEY, request_id=request_id)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.gateway.port, limit=1
        )
        reader._transport.pause_reading()
        parser = h11.Connection(h11.CLIENT)
        for event in (
            call.request_head(),
            h11.Data(call.body),
            h11.EndOfMessage(),
        ):
            writer.write(parser.send(event) or b'')
        return writer


class TestUploads(MemoryCase):
    """Many large requests at the same time."""

    async def test_uploads_beyond_the_memory_are_refused(self) -> None:
        """Guards against callers that end the process with what they send."""
        document = make_fleet_configuration()
        document['version'] = 2
        document['limits']['maxBodyBytes'] = UPLOAD_BYTES
        self.site.store.put('op/config', document)
        target = PlatformTarget('p-1', 'plain', 'a')
        target.behaviour = Behaviour(delay_s=0.5)
        await self.site.add_target(target)
        await asyncio.sleep(1)
        replies = await asyncio.gather(
            *(self._upload(f'r-{number}') for number in range(LARGE_CALLS))
        )
        self.assert_bounded()
        refused = [reply for reply in replies if reply.status != 200]
        self.assertEqual({reply.status for reply in refused}, {503})
        for reply in refused:
            self.assertIn(b'2211', reply.body)
            self.assertIn('retry-after', reply.headers)
        # What was refused has not run.
        self.assertEqual(len(target.runs), len(replies) - len(refused))
        self.assertGreater(len(target.runs), 0)
        later = await self._upload('r-later')
        self.assertEqual(later.status, 200)

    async def _upload(self, request_id: str) -> Reply:
        """Send a large request."""
        call = Call(
            '/order/1',
            key=KEY,
            request_id=request_id,
            body=bytes(UPLOAD_BYTES),
        )
        return await call_once(self.gateway.port, call)


class TestBound(unittest.TestCase):
    """What holders may keep together."""

    def test_sum_of_holders_is_bounded(self) -> None:
        """Guards against a bound that holds for each one only."""
        bound = MemoryBound(10_000)
        first, second = bound.hold(), bound.hold()
        self.assertTrue(first.grow(UNCOUNTED_BYTES + 9_000))
        self.assertFalse(second.grow(UNCOUNTED_BYTES + 1_001))
        self.assertTrue(second.grow(UNCOUNTED_BYTES + 1_000))
        first.release()
        self.assertEqual(bound.used, 1_000)
        first.release()
        second.release()
        self.assertEqual(bound.used, 0)

    def test_small_bodies_never_wait(self) -> None:
        """Guards against large bodies that crowd out small ones."""
        bound = MemoryBound(0)
        self.assertTrue(bound.hold().grow(UNCOUNTED_BYTES))
        self.assertFalse(bound.hold().grow(UNCOUNTED_BYTES + 1))
