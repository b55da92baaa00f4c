"""Planned stops while nothing else happens."""

import asyncio
import collections
from unittest import mock

from fuchsiafork.gateway import program
from standins.platform_targets import Behaviour
from tests.gateway_case import GatewayCase

# Times of a planned stop, seconds after its start.
ACCEPT_S = 0.5
DRAIN_S = 2.0
CALL_INTERVAL_S = 0.1
WORK_S = 0.6
ENDLESS_S = 30.0
# Status that promises that a request hasn't run and won't.
NOT_RUN = 503
OK_STATUS = 200


class TestStopInCalm(GatewayCase):
    """A planned stop of one VM while nothing else happens."""

    async def asyncSetUp(self) -> None:
        """Shorten the times of a stop."""
        margin_s = 8.0 - DRAIN_S
        for name, seconds in (
            ('ACCEPT_WHILE_STOPPING_S', ACCEPT_S),
            ('KILL_MARGIN_S', margin_s),
        ):
            patcher = mock.patch.object(program, name, seconds)
            patcher.start()
            self.addCleanup(patcher.stop)
        await super().asyncSetUp()

    async def order(self, number: int) -> str:
        """Send a request that may not be repeated; return what came back."""
        request_id = f'o-{number}'
        try:
            reply = await self.call('/order/1', request_id=request_id)
        except (OSError, EOFError):
            return self.outcome(request_id, 'closed')
        if not reply.complete:
            return self.outcome(request_id, 'cut')
        return self.outcome(request_id, str(reply.status))

    def outcome(self, request_id: str, name: str) -> str:
        """Return an outcome, with whether the request was run."""
        runs = [
            run
            for target in self.plain
            for run in target.runs
            if run.request_id == request_id
        ]
        return f'{name}, run' if runs else name

    async def stop_among_orders(self) -> collections.Counter[str]:
        """Send an order at each tenth of a second of a stop."""
        calls = []
        stop = asyncio.create_task(self.gateway.stop())
        for number in range(round(DRAIN_S / CALL_INTERVAL_S) + 4):
            calls.append(asyncio.create_task(self.order(number)))
            await asyncio.sleep(CALL_INTERVAL_S)
        await stop
        return collections.Counter(await asyncio.gather(*calls))

    async def test_orders_are_answered_or_truly_refused(self) -> None:
        """Guards against orders that are taken and cut at the end."""
        for target in self.plain:
            target.behaviour = Behaviour(delay_s=WORK_S)
        outcomes = await self.stop_among_orders()
        allowed = {f'{OK_STATUS}, run', f'{NOT_RUN}', 'closed'}
        self.assertLessEqual(set(outcomes), allowed)
        self.assertGreater(outcomes[f'{OK_STATUS}, run'], 0)
        self.assertGreater(outcomes[f'{NOT_RUN}'], 0)

    async def test_orders_at_work_at_the_end_are_answered(self) -> None:
        """Guards against a connection that closes without any answer."""
        for target in self.plain:
            target.behaviour = Behaviour(delay_s=ENDLESS_S)
        outcomes = await self.stop_among_orders()
        self.assertEqual(outcomes['closed, run'] + outcomes['cut, run'], 0)
