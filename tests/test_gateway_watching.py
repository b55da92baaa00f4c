"""Following the store: large answers, and a storm during a cut."""

import asyncio
import random
import unittest
from typing import cast
from unittest import mock

from fuchsiafork.gateway.watcher import Watcher
from fuchsiafork.kernel import SystemClock
from fuchsiafork.kernel.errors import StoreUnavailableError
from fuchsiafork.platform.store import Changes, Item, PlatformStore
from fuchsiafork.transport.json_call import JsonCall, call_json
from fuchsiafork.transport.pool import ConnectionPool
from fuchsiafork.transport.target import BrokenAnswerError

LIMIT_S = 0.3
PIECES = 8
PAUSE_S = 0.1


class _SlowServer:
    """Sends a JSON list in pieces, and may stop half way."""

    def __init__(self, *, stops: bool) -> None:
        self.stops = stops

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one call."""
        await reader.readuntil(b'\r\n\r\n')
        body = b'[' + b' ' * (PIECES - 2) + b']'
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {PIECES}\r\n\r\n'
        writer.write(head.encode())
        for place in range(PIECES):
            if self.stops and place == PIECES // 2:
                # Until the caller has given up.
                await reader.read()
                break
            await asyncio.sleep(PAUSE_S)
            writer.write(body[place : place + 1])
        writer.close()


class TestLargeAnswer(unittest.IsolatedAsyncioTestCase):
    """Answers that take longer than the limit for their head."""

    async def call(self, *, stops: bool) -> object:
        """Return the body of an answer."""
        slow = _SlowServer(stops=stops)
        server = await asyncio.start_server(slow.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        pool = ConnectionPool(SystemClock())
        call = JsonCall('GET', '/')
        async with server:
            answer = await call_json(pool, f'{host}:{port}', call, LIMIT_S)
        return answer.body

    async def test_goes_on_while_pieces_come(self) -> None:
        """Guards against asking for a large answer again and again."""
        self.assertEqual(await self.call(stops=False), [])

    async def test_ends_when_no_piece_comes(self) -> None:
        """Guards against waiting for a peer that has gone silent."""
        with self.assertRaises(BrokenAnswerError):
            await self.call(stops=True)


class TestStormDuringCut(unittest.IsolatedAsyncioTestCase):
    """What is asked for once the store answers again."""

    async def asks(self, *, relist_after_loss: bool) -> list[str]:
        """Return the calls after a listing, a failed watch and its end."""
        store = mock.Mock(spec=PlatformStore)
        calls = []
        ended = asyncio.Event()

        async def list_items(prefix: str) -> Changes:
            calls.append('list')
            return Changes((Item('op/config', 7, b'{}'),), 7)

        async def watch(prefix: str, after: int, wait_s: float) -> Changes:
            calls.append(f'watch {after}')
            if len(calls) == 2:
                raise StoreUnavailableError('cut')
            if len(calls) > 3:
                ended.set()
            await asyncio.sleep(0.01)
            return Changes((), after)

        store.list_items, store.watch = list_items, watch
        watcher = Watcher(
            'op/',
            cast(PlatformStore, store),
            SystemClock(),
            random.Random(1),
            mock.Mock(),
            relist_after_loss=relist_after_loss,
        )
        task = asyncio.create_task(watcher.run(mock.Mock(), mock.Mock()))
        await asyncio.wait_for(ended.wait(), 5)
        task.cancel()
        return calls[:4]

    async def test_only_the_newest_is_asked_for(self) -> None:
        """Guards against a backlog of documents over a narrow link."""
        expected = ['list', 'watch 7', 'list', 'watch 7']
        self.assertEqual(await self.asks(relist_after_loss=True), expected)

    async def test_all_changes_are_asked_for(self) -> None:
        """Guards against losing the deletions of entries."""
        expected = ['list', 'watch 7', 'watch 7', 'watch 7']
        self.assertEqual(await self.asks(relist_after_loss=False), expected)
