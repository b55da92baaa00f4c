"""Tests of each way by which a request reaches a target."""

import asyncio
import unittest.mock
from typing import Any

from fuchsiafork.availability import INITIAL_BACKOFF_S
from fuchsiafork.platform.headers import parse_response_headers
from standins.platform_targets import Behaviour, PlatformTarget
from tests.gateway_case import GatewayCase

EVENTS = 6
BROKEN_AFTER = 3
WORK_S = 0.3
LEAVING = [('server-leaving', '1')]


class WaysCase(GatewayCase):
    """
    A target stops accepting requests after it was selected.

    :ivar statement: metadata of its answer.
    """

    statement = parse_response_headers(LEAVING)

    def announce(self, *targets: PlatformTarget) -> None:
        """Let the gateway receive the statement of targets."""
        shared = self.gateway._shared
        for target in targets:
            state = shared.targets.get(target.target_id)
            self.assertIsNotNone(state)
            if state is not None:
                shared.announcements.record(state.target, self.statement)

    def announce_at(
        self, owner: object, name: str, *targets: PlatformTarget
    ) -> Any:
        """Return a patch by which they announce it while a call waits."""
        original = getattr(owner, name)

        async def call(*args: Any, **kwargs: Any) -> Any:
            self.announce(*targets)
            await asyncio.sleep(0)
            return await original(*args, **kwargs)

        return unittest.mock.patch.object(owner, name, call)

    async def keep_connections(self) -> None:
        """Leave a kept connection to each plain target."""
        for target in self.plain:
            target.behaviour = Behaviour(delay_s=0.05)
        await asyncio.gather(
            *(
                self.call('/look/1', request_id=f'before-{number}')
                for number in range(4)
            )
        )

    def assert_no_arrivals(self, targets: list[PlatformTarget]) -> None:
        """Check that no request has reached targets."""
        self.assertEqual([target.arrivals for target in targets], [0, 0])


class TestWays(WaysCase):
    """A target announces that it is leaving."""

    async def test_first_try(self) -> None:
        """Guards against an announcement that is recorded and not used."""
        self.announce(self.plain[0])
        for number in range(6):
            await self.call('/look/1', request_id=f'r-{number}')
        self.assertEqual(self.plain[0].arrivals, 0)

    async def test_wait_for_a_permit(self) -> None:
        """Guards against a choice that is not looked at again."""
        limits = self.gateway._shared.target_limits
        with self.announce_at(limits, 'acquire', *self.plain):
            reply = await self.call('/look/1')
        self.assertEqual(reply.status, 503)
        self.assert_no_arrivals(self.plain)

    async def test_wait_for_the_quarantine(self) -> None:
        """Guards against a probe that is sent wherever it was admitted."""
        quarantine = self.gateway._shared.quarantine
        with self.announce_at(quarantine, 'admit', *self.engines):
            reply = await self.call_engine()
        self.assertEqual(reply.status, 503)
        self.assert_no_arrivals(self.engines)

    async def test_wait_for_a_connection(self) -> None:
        """Guards against a request that is sent once a connection opens."""
        pool = self.gateway._shared.pool
        with self.announce_at(pool, 'acquire_for', *self.plain):
            reply = await self.call('/order/1')
        self.assertEqual(reply.status, 503)
        self.assert_no_arrivals(self.plain)

    async def test_another_target_gets_the_request(self) -> None:
        """Guards against an attempt that counts though it was not sent."""
        pool = self.gateway._shared.pool
        original = pool.acquire_for
        left: list[str] = []

        async def acquire_for(address: str, *args: Any, **kwargs: Any) -> Any:
            if not left:
                left.append(address)
                self.announce(*(t for t in self.plain if t.address == address))
            return await original(address, *args, **kwargs)

        with unittest.mock.patch.object(pool, 'acquire_for', acquire_for):
            # The route allows one target.
            reply = await self.call('/order/1')
        self.assertEqual(reply.status, 200)
        arrivals = {target.address: target.arrivals for target in self.plain}
        self.assertEqual(arrivals.pop(left[0]), 0)
        self.assertEqual(list(arrivals.values()), [1])

    async def test_wait_for_a_retry(self) -> None:
        """Guards against a repeat at a target that left meanwhile."""
        for target in self.plain:
            target.behaviour = Behaviour(status=500)
        retries = self.gateway._shared.retries
        with self.announce_at(retries, 'try_acquire', *self.plain):
            reply = await self.call('/look/1')
        # The answer of the first target, as no other one is left.
        self.assertEqual(reply.status, 500)
        self.assertEqual(sum(target.arrivals for target in self.plain), 1)

    async def test_same_target_after_a_kept_connection_ended(self) -> None:
        """Guards against a repeat that asks for no choice of a target."""
        await self.keep_connections()
        arrivals = sum(target.arrivals for target in self.plain)
        for target in self.plain:
            target.behaviour = Behaviour(delay_s=WORK_S, no_answer=True)
        task = asyncio.create_task(self.call('/look/1', request_id='r-last'))
        await asyncio.sleep(WORK_S / 2)
        self.announce(*self.plain)
        await task
        self.assertEqual(
            sum(target.arrivals for target in self.plain), arrivals + 1
        )

    async def test_resumed_stream(self) -> None:
        """Guards against a stream that goes on at a target that leaves."""
        self.engines[0].share_next_behaviours(self.engines[1:])
        self.engines[0].next_behaviours.append(
            Behaviour(events=EVENTS, truncate_after=BROKEN_AFTER, delay_s=0.05)
        )
        for engine in self.engines:
            engine.behaviour = Behaviour(events=EVENTS)
        task = asyncio.create_task(self.call_engine('/talk/1'))
        await self.eventually(lambda: any(e.runs for e in self.engines))
        self.announce(*self.engines)
        reply = await task
        self.assertFalse(reply.complete)
        self.assertEqual(sum(engine.arrivals for engine in self.engines), 1)

    async def test_share_of_a_rollout(self) -> None:
        """Guards against a new version that is chosen as it leaves."""
        self.site.register(self.plain[0], version='v2')
        order = {'service': 'plain', 'to': 'v2', 'durationS': 60}
        self.store.put('op/rollout/plain', order)
        rollouts = self.gateway._shared.rollouts
        await self.eventually(lambda: rollouts.get('plain') is not None)
        table = self.gateway._shared.targets
        await self.eventually(
            lambda: any(s.target.version == 'v2' for s in table.states())
        )
        self.announce(self.plain[0])
        replies = [
            await self.call('/look/1', request_id=f'r-{number}')
            for number in range(40)
        ]
        self.assertEqual({reply.status for reply in replies}, {200})
        self.assertEqual(self.plain[0].arrivals, 0)


class TestWaysToPausedTargets(TestWays):
    """A target requests a pause of a minute."""

    statement = parse_response_headers([('retry-after', '60')], 503)


class TestLeaving(WaysCase):
    """What else changes once a target is leaving."""

    async def test_answers_of_all_kinds_tell(self) -> None:
        """Guards against reading the header of some answers only."""
        target = self.plain[0]
        self.announce(self.plain[1])
        for born, status in enumerate((200, 302, 404, 429, 500), start=1000):
            self.site.register(target, born=born)
            await self._wait_for_start(target, born)
            target.behaviour = Behaviour(status=status, leaving=True)
            arrivals = target.arrivals
            for number in range(2):
                await self.call('/open/1', request_id=f'{born}-{number}')
            with self.subTest(status=status):
                self.assertEqual(target.arrivals, arrivals + 1)

    async def _wait_for_start(self, target: PlatformTarget, born: int) -> None:
        """Wait until the gateway knows of a start of a target."""
        table = self.gateway._shared.targets

        def is_known() -> bool:
            state = table.get(target.target_id)
            return state is not None and state.target.started_unix_ms == born

        await self.eventually(is_known)

    async def test_connections_are_closed_once_idle(self) -> None:
        """Guards against connections that keep a target from its end."""
        await self.keep_connections()
        for target in self.plain:
            target.behaviour = Behaviour(delay_s=WORK_S)
        task = asyncio.create_task(self.call('/look/1', request_id='r-last'))
        await asyncio.sleep(WORK_S / 2)
        self.announce(*self.plain)
        self.assertEqual((await task).status, 200)
        await self.eventually(
            lambda: not any(target.connections for target in self.plain), 1.0
        )

    async def test_header_is_not_passed_on(self) -> None:
        """Guards against callers that take the VM for the one that leaves."""
        for target in self.plain:
            target.behaviour = Behaviour(leaving=True)
        reply = await self.call('/look/1')
        self.assertEqual(reply.status, 200)
        self.assertNotIn('server-leaving', reply.headers)


class TestAnnouncementsOfOthers(GatewayCase):
    """Answers that don't come from the selected target, or not only."""

    async def test_informational_head(self) -> None:
        """Guards against reading the final head only."""
        early = b'HTTP/1.1 103 Early Hints\r\nserver-leaving: 1\r\n\r\n'
        self.plain[0].behaviour = Behaviour(head_start=early)
        await self._fill(6)
        self.assertEqual(self.plain[0].arrivals, 1)

    async def test_target_at_a_reused_address(self) -> None:
        """Guards against a sound target that is taken for its successor."""
        sound = self.plain[0]
        sound.behaviour = Behaviour(leaving=True)
        sound.target_id = 'somebody-else'
        await self._fill(2)
        self.assertEqual((sound.arrivals, sound.runs), (1, []))
        sound.behaviour = Behaviour()
        sound.target_id = 'p-1'
        # The gateway avoids the target for a while, as for any wrong address.
        await asyncio.sleep(INITIAL_BACKOFF_S)
        await self._fill(6)
        self.assertTrue(sound.runs)

    async def test_limit_of_a_target_at_a_reused_address(self) -> None:
        """Guards against a limit that no target in use has named."""
        self.plain[0].behaviour = Behaviour(rate_limit='1')
        self.plain[0].target_id = 'somebody-else'
        await self._fill(2)
        self.assertEqual(self.plain[0].arrivals, 1)
        limits = self.gateway._shared.target_limits
        self.assertEqual(len(limits._named), 0)

    async def _fill(self, count: int) -> None:
        """Send requests, several at a time."""
        for start in range(0, count, 2):
            await asyncio.gather(
                *(
                    self.call(
                        '/look/1', request_id=f'{id(self)}-{start}-{number}'
                    )
                    for number in range(2)
                )
            )
