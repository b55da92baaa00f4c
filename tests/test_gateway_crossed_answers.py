"""Copies of earlier answers on connections that are in use again."""

import asyncio
import contextlib
import itertools
import json

from fuchsiafork.kernel.errors import StoreUnavailableError
from standins.platform_caller import Reply
from standins.platform_targets import Behaviour
from tests.gateway_case import GatewayCase

# Statuses with which a target says that it did not run a request.
REFUSALS = (400, 408, 421, 429, 503)
SERVED = 200
# Time limit of a refused request: a refusal without an id on a connection that
# was used before isn't believed.
REFUSED_WITHIN_MS = '500'


class TestCopiesOfTheStore(GatewayCase):
    """The store writes each answer once more, ahead of the next one."""

    async def test_copy_is_not_the_answer_to_another_call(self) -> None:
        """Guards against a target table filled from another key's answer."""
        targets = self.gateway._shared.targets.ids()
        self.store.copies_answers = True
        for number in range(4):
            self.store.content.put(f'op/other-{number}', b'{}')
            self.store.content.put(f'servers/{targets[0]}', self._entry())
            self.store.notify_watchers()
            await self.call_engine('/ask/1', request_id=f'r-{number}')
            await asyncio.sleep(0.3)
        store = self.gateway._components.store
        for key in ('op/config', 'fuchsiafork/ledger') * 3:
            with contextlib.suppress(StoreUnavailableError):
                self.assertEqual((await store.read(key)).key, key)
        self.assertEqual(set(self.gateway._shared.targets.ids()), set(targets))
        self.store.copies_answers = False
        self.assertEqual((await self.call('/look/1')).status, 200)

    def _entry(self) -> bytes:
        """Return the stored entry of the first target."""
        return json.dumps(self.plain[0].entry).encode()


class TestRepeatedRefusals(GatewayCase):
    """A target writes a refusal once more, ahead of the next answer."""

    async def asyncSetUp(self) -> None:
        """Leave one plain target, so that its connection is used again."""
        await super().asyncSetUp()
        self._ids = itertools.count()
        self.store.remove(f'servers/{self.plain[1].target_id}')
        table = self.gateway._shared.targets
        await self.eventually(lambda: len(table.serving_targets('plain')) == 1)

    async def test_copy_does_not_answer_another_request(self) -> None:
        """Guards against refusing a request that runs (REFUSED)."""
        for path, status, anonymous in itertools.product(
            ('/order/1', '/look/1'), REFUSALS, (False, True)
        ):
            with self.subTest(path=path, status=status, anonymous=anonymous):
                first_id = f'first-{next(self._ids)}'
                await self._refuse_once(
                    path, first_id, status, anonymous=anonymous
                )
                await self._check_served(path, f'next-{next(self._ids)}')

    async def test_copy_does_not_answer_the_same_request(self) -> None:
        """Guards against a refusal for an attempt that runs."""
        for path, status, anonymous in itertools.product(
            ('/order/1', '/look/1'), REFUSALS, (False, True)
        ):
            with self.subTest(path=path, status=status, anonymous=anonymous):
                request_id = f'same-{next(self._ids)}'
                await self._refuse_once(
                    path, request_id, status, anonymous=anonymous
                )
                await self._check_served(path, request_id)

    async def test_copy_does_not_answer_a_request_without_an_id(self) -> None:
        """Guards against answers that can't be told from one another."""
        for status in REFUSALS:
            with self.subTest(status=status):
                await self._refuse_once('/order/1', '', status, anonymous=True)
                self._end_backoff()
                runs = len(self.plain[0].runs)
                reply = await self.call('/order/1', request_id='')
                self.assertEqual(len(self.plain[0].runs), runs + 1)
                self.assertNotIn(reply.status, REFUSALS)

    async def test_connection_is_kept_after_a_refusal(self) -> None:
        """Guards against a new connection for each refused request."""
        opened = self.plain[0].used_connections
        for number in range(6):
            self.plain[0].next_behaviours.append(
                Behaviour(status=503, not_run=True)
            )
            await self.call('/order/1', request_id=f'refused-{number}')
            await self._check_served('/order/1', f'served-{number}')
        self.assertLessEqual(self.plain[0].used_connections - opened, 1)

    async def _refuse_once(
        self, path: str, request_id: str, status: int, *, anonymous: bool
    ) -> None:
        """Send a request that is refused, so that a copy is due."""
        self.plain[0].next_behaviours.append(
            Behaviour(
                status=status,
                not_run=True,
                anonymous=anonymous,
                repeat_refusal=True,
            )
        )
        reply = await self.call(
            path, request_id=request_id, deadline_ms=REFUSED_WITHIN_MS
        )
        self.assertNotEqual(reply.status, SERVED)

    def _end_backoff(self) -> None:
        """Let the target get requests again after a misdirected one."""
        for state in self.gateway._shared.targets.states():
            state.availability.backoff_until = 0.0

    async def _check_served(self, path: str, request_id: str) -> None:
        """Check that a request runs once and gets its own answer."""
        self._end_backoff()
        self.plain[0].runs.clear()
        reply: Reply = await self.call(path, request_id=request_id)
        self.assertEqual(
            (reply.status, reply.body),
            (SERVED, f'answer to {request_id}'.encode()),
        )
        self.assertEqual(len(self.plain[0].runs), 1)
