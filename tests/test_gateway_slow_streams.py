"""Streams that are slow, and streams that never end."""

import asyncio
import time

from standins.platform_targets import Behaviour, PlatformTarget
from tests.gateway_case import GatewayCase

# Time limits of routes, seconds, and a margin for a busy machine.
ROUTE_TIMEOUT_S = 3.0
SHORT_TIMEOUT_S = 1.2
MARGIN_S = 1.5
# Pause after which a target is given up while another one may be tried.
LONG_PAUSE_S = 1.2


class TestSlowStreams(GatewayCase):
    """Streams whose pauses are longer than the route's objective."""

    async def test_slow_stream_is_whole(self) -> None:
        """Guards against cutting a sound stream at its last target."""
        await self.change_route('/talk/', timeoutMs=9000)
        for engine in self.engines:
            engine.behaviour = Behaviour(events=3, delay_s=LONG_PAUSE_S)
        reply = await self.call_engine('/talk/1', deadline_ms='9000')
        self.assertTrue(reply.complete)
        self.assertEqual(reply.body.count(b'id:'), 3)

    async def test_late_answer_of_the_last_target_is_whole(self) -> None:
        """Guards against giving up each target for the same delay."""
        for target in self.plain:
            target.behaviour = Behaviour(delay_s=LONG_PAUSE_S)
        reply = await self.call('/look/1')
        self.assertEqual((reply.status, reply.complete), (200, True))

    async def test_target_is_kept_without_an_alternative(self) -> None:
        """Guards against giving up the only target of a service."""
        self.store.remove(f'servers/{self.plain[1].target_id}')
        table = self.gateway._shared.targets
        await self.eventually(lambda: len(table.serving_targets('plain')) == 1)
        self.plain[0].behaviour = Behaviour(delay_s=LONG_PAUSE_S)
        reply = await self.call('/look/1')
        self.assertEqual(reply.status, 200)
        self.assertEqual(len(self.plain[0].runs), 1)

    async def test_target_is_kept_when_no_retry_is_allowed(self) -> None:
        """Guards against giving up a target without a permit to retry."""
        for target in self.plain:
            target.behaviour = Behaviour(delay_s=LONG_PAUSE_S)

        async def refuse(service: str) -> bool:
            return False

        self.gateway._shared.retries.try_acquire = refuse
        reply = await self.call('/look/1')
        self.assertEqual(reply.status, 200)
        self.assertEqual(sum(len(target.runs) for target in self.plain), 1)

    async def test_one_pause_gives_up_one_target(self) -> None:
        """Guards against trying all targets for the same delay."""
        third = PlatformTarget('p-3', 'plain', 'a')
        await self.site.add_target(third)
        self.plain.append(third)
        await self.change_route('/look/', maxAttempts=3)
        await self.eventually(
            lambda: self.gateway._shared.targets.get('p-3') is not None
        )
        for target in self.plain:
            target.behaviour = Behaviour(delay_s=LONG_PAUSE_S)
        reply = await self.call('/look/1')
        self.assertEqual(reply.status, 200)
        self.assertEqual(sum(len(target.runs) for target in self.plain), 2)

    async def test_stalled_first_target_is_given_up(self) -> None:
        """Guards against waiting for a target that another can replace."""
        for engine in self.engines:
            engine.behaviour = Behaviour(events=3)
        await self.call_engine('/talk/1', request_id='first')
        for engine in self.engines:
            engine.next_behaviours.append(
                Behaviour(events=3, delay_s=2 * ROUTE_TIMEOUT_S)
            )
        self.engines[1].next_behaviours.clear()
        for number in range(4):
            reply = await self.call_engine(
                '/talk/1', request_id=f'next-{number}'
            )
            self.assertTrue(reply.complete)


class TestEndlessStreams(GatewayCase):
    """Streams that send something now and then and never end."""

    async def test_drips_end_at_the_time_limit_of_the_route(self) -> None:
        """Guards against streams that bytes or comments keep alive."""
        for path in ('/ask/', '/talk/'):
            await self.change_route(path, timeoutMs=1000 * SHORT_TIMEOUT_S)
            for drip in (b'x', b': still here\n\n', b'data: more\n\n'):
                with self.subTest(drip=drip, path=path):
                    await self._check_ends(f'{path}1', drip)

    async def test_comments_are_no_events(self) -> None:
        """Guards against charging an account for comments."""
        for engine in self.engines:
            engine.behaviour = Behaviour(
                events=1, delay_s=0.05, drip=b': still here\n\n'
            )
        await self.call_engine('/ask/1', deadline_ms='600')
        await self.eventually(lambda: self.spent('acme') == 105)

    async def _check_ends(self, path: str, drip: bytes) -> None:
        """Check that a stream is broken off in time, at all its targets."""
        for engine in self.engines:
            engine.behaviour = Behaviour(events=1, delay_s=0.2, drip=drip)
        started_at = time.monotonic()
        reply = await asyncio.wait_for(
            self.call_engine(path, deadline_ms='9000'),
            SHORT_TIMEOUT_S + MARGIN_S,
        )
        self.assertFalse(reply.complete)
        self.assertGreater(time.monotonic() - started_at, SHORT_TIMEOUT_S / 2)
        await self.eventually(
            lambda: all(run.ended for e in self.engines for run in e.runs), 1
        )
