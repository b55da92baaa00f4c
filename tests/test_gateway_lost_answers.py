"""Answers that are lost or break off after a request has run."""

import asyncio

from standins.platform_caller import Reply
from standins.platform_targets import Behaviour
from tests.gateway_case import GatewayCase

# Statuses that promise that a request has not run.
PROMISES = frozenset((408, 421, 429, 503))
# Events of a stream before it breaks off, and in all.
BROKEN_AFTER = 2
EVENTS = 5


class TestBrokenStreams(GatewayCase):
    """A stream breaks off, and the next target doesn't continue it."""

    async def test_answer_of_the_next_target_stays_out(self) -> None:
        """Guards against error texts within a stream (ORDER, MIXED)."""
        for number, behaviour in enumerate((
            *(Behaviour(status=status) for status in (200, 302, 400, 402)),
            *(Behaviour(status=status) for status in (404, 500, 503)),
            *(
                Behaviour(status=status, not_run=True)
                for status in (400, 421, 429, 503)
            ),
            Behaviour(raw_response=b'%%% no HTTP %%%'),
            Behaviour(no_answer=True),
        )):
            with self.subTest(behaviour=behaviour):
                self._end_backoff()
                reply = await self._break_stream(f'r-{number}', behaviour)
                self.assertEqual(reply.status, 200)
                self.assertFalse(reply.complete)
                self.assertEqual(reply.body, _events(1, BROKEN_AFTER))

    async def test_next_target_continues(self) -> None:
        """Guards against streams that are broken off without need."""
        reply = await self._break_stream('r-1', Behaviour(events=EVENTS))
        self.assertTrue(reply.complete)
        self.assertEqual(reply.body, _events(1, EVENTS))

    async def _break_stream(self, request_id: str, then: Behaviour) -> Reply:
        """Return a stream that breaks off at its first target."""
        broken = Behaviour(events=EVENTS, truncate_after=BROKEN_AFTER)
        self.engines[0].share_next_behaviours(self.engines[1:])
        self.engines[0].next_behaviours.append(broken)
        for engine in self.engines:
            engine.behaviour = then
        return await self.call_engine('/talk/1', request_id=request_id)

    def _end_backoff(self) -> None:
        """Let all targets get requests again."""
        for state in self.gateway._shared.targets.states():
            state.availability.backoff_until = 0.0
            state.failure_share = 0.0


class TestLostAnswers(GatewayCase):
    """A target runs a request, and its answer doesn't arrive whole."""

    async def test_order_is_run_once_and_not_called_unrun(self) -> None:
        """Guards against a second run, and against a false promise."""
        behaviours = (
            Behaviour(no_answer=True),
            Behaviour(truncate_after=0),
            Behaviour(truncate_after=3),
            Behaviour(raw_response=b'HTTP/1.1 200 OK\r\ncontent-le'),
            Behaviour(raw_response=b'HTTP/1.1 503 Busy\r\n'),
            Behaviour(omit_seal=True),
            Behaviour(status=429),
            Behaviour(delay_s=2),
        )
        for number, behaviour in enumerate(behaviours):
            for kept in (False, True):
                with self.subTest(behaviour=behaviour, kept=kept):
                    await self._check_run_once(
                        f'{number}-{kept}', behaviour, kept=kept
                    )

    async def test_frozen_target_keeps_its_order(self) -> None:
        """Guards against running work again that is only silent."""
        for target in self.plain:
            target.behaviour = Behaviour(delay_s=1.5)
        reply = await self.call('/order/1')
        self.assertEqual(reply.status, 200)
        self.assertEqual(sum(len(target.runs) for target in self.plain), 1)

    async def test_target_that_lapsed_keeps_its_requests(self) -> None:
        """Guards against giving up work when heartbeats are late."""
        for target in self.plain:
            target.behaviour = Behaviour(delay_s=1.0)
        task = asyncio.create_task(self.call('/order/1'))
        await self.eventually(lambda: any(t.runs for t in self.plain))
        for target in self.plain:
            self.store.remove(f'servers/{target.target_id}')
        await self.eventually(
            lambda: not self.gateway._shared.targets.serving_targets('plain')
        )
        self.assertEqual((await task).status, 200)
        self.assertEqual(sum(len(target.runs) for target in self.plain), 1)

    async def _check_run_once(
        self, name: str, behaviour: Behaviour, *, kept: bool
    ) -> None:
        """Send an order whose answer is lost, on a kept connection or not."""
        for target in self.plain:
            target.behaviour = Behaviour()
        if kept:
            await asyncio.gather(
                *(
                    self.call('/look/1', request_id=f'before-{name}-{number}')
                    for number in range(4)
                )
            )
        for target in self.plain:
            target.runs.clear()
            target.behaviour = behaviour
        reply = await self.call(
            '/order/1', request_id=f'order-{name}', deadline_ms='700'
        )
        self.assertEqual(sum(len(target.runs) for target in self.plain), 1)
        self.assertNotIn(reply.status, PROMISES)
        self.assertNotEqual(reply.status, 200)


def _events(first: int, last: int) -> bytes:
    """Return the given events in the form that an engine sends."""
    return b''.join(
        f'id: {number}\ndata: piece-{number}\n\n'.encode()
        for number in range(first, last + 1)
    )
