"""Answers of targets on their way through a gateway."""

import asyncio
import time

from standins.platform_store import StoreFault
from standins.platform_targets import Behaviour
from tests.gateway_case import VM, GatewayCase, make_configuration


def _events(first: int, last: int) -> bytes:
    """Return the events that an engine sends."""
    return b''.join(
        f'id: {number}\ndata: piece-{number}\n\n'.encode()
        for number in range(first, last + 1)
    )


class TestWholeAnswers(GatewayCase):
    """Answers with a length."""

    async def test_passed_on_unchanged(self) -> None:
        """Guards against an answer without the target's MAC or body."""
        reply = await self.call('/look/1?q=2')
        self.assertEqual((reply.status, reply.complete), (200, True))
        self.assertEqual(reply.body, b'answer to r-1')
        self.assertEqual(reply.headers['x-response-seal'], 'mac-r-1')

    async def test_target_sees_the_account_and_not_the_key(self) -> None:
        """Guards against passing a key on, or a caller naming an account."""
        await self.call('/look/1', x_tenant='other', x_hold='h', x_pin_ms='9')
        run = next(run for target in self.plain for run in target.runs)
        self.assertEqual(run.account, 'acme')
        for name in ('authorization', 'x-hold', 'x-pin-ms'):
            self.assertNotIn(name, run.headers)
        self.assertLessEqual(int(run.headers['x-deadline-ms']), 3000)

    async def test_break_off_is_repeated_if_idempotent(self) -> None:
        """Guards against failing what another target could answer."""
        for target in self.plain:
            target.next_behaviours.append(Behaviour(truncate_after=3))
        first = await self.call('/look/1')
        self.assertEqual(first.status, 502)
        self.plain[0].next_behaviours.append(Behaviour(truncate_after=3))
        self.plain[1].behaviour = Behaviour()
        second = await self.call('/look/1', request_id='r-2')
        self.assertEqual((second.status, second.complete), (200, True))

    async def test_order_is_never_sent_twice(self) -> None:
        """Guards against placing an order a second time."""
        for target in self.plain:
            target.behaviour = Behaviour(truncate_after=3)
        reply = await self.call('/order/1')
        self.assertEqual(reply.status, 502)
        self.assertNotIn('x-response-seal', reply.headers)
        self.assertEqual(sum(len(target.runs) for target in self.plain), 1)

    async def test_false_promise_is_not_passed_on(self) -> None:
        """Guards against telling that an order did not run although it did."""
        for target in self.plain:
            target.behaviour = Behaviour(status=503)
        reply = await self.call('/order/1')
        self.assertEqual(reply.status, 502)

    async def test_true_promise_is_passed_on(self) -> None:
        """Guards against hiding from a caller that it may come back."""
        for target in self.plain:
            target.behaviour = Behaviour(status=503, not_run=True)
        reply = await self.call('/order/1')
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.headers['retry-after']), 0)

    async def test_own_failure_keeps_its_status_and_mac(self) -> None:
        """Guards against changing a failure of the target's own."""
        for target in self.plain:
            target.behaviour = Behaviour(status=500)
        reply = await self.call('/order/1')
        self.assertEqual(reply.status, 500)
        self.assertEqual(reply.headers['x-response-seal'], 'mac-r-1')

    async def test_failure_of_idempotent_call_is_repeated_once(self) -> None:
        """Guards against more targets than the route allows."""
        for target in self.plain:
            target.behaviour = Behaviour(status=500)
        reply = await self.call('/look/1')
        self.assertEqual(reply.status, 500)
        self.assertEqual([len(target.runs) for target in self.plain], [1, 1])

    async def test_answer_without_mac_is_no_success(self) -> None:
        """Guards against bytes of somebody else counting as an answer."""
        for target in self.plain:
            target.behaviour = Behaviour(omit_seal=True)
        self.assertEqual((await self.call('/look/1')).status, 502)

    async def test_foreign_answer_is_skipped(self) -> None:
        """Guards against giving a caller the answer to another request."""
        for target in self.plain:
            target.behaviour = Behaviour(crossed_answer_first=True)
        reply = await self.call('/order/1')
        self.assertEqual(reply.body, b'answer to r-1')

    async def test_extra_bytes_reach_no_later_request(self) -> None:
        """Guards against a second answer on a kept connection."""
        extra = b'HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad'
        for target in self.plain:
            target.behaviour = Behaviour(trailing_bytes=extra)
        for number in range(6):
            request_id = f'r-{number}'
            reply = await self.call('/look/1', request_id=request_id)
            self.assertEqual(reply.body, f'answer to {request_id}'.encode())

    async def test_bytes_that_are_no_answer(self) -> None:
        """Guards against passing garbage on."""
        for target in self.plain:
            target.behaviour = Behaviour(
                raw_response=b'%%% no HTTP %%%\r\n\r\n'
            )
        self.assertEqual((await self.call('/look/1')).status, 502)

    async def test_route_timeout(self) -> None:
        """Guards against holding a request past its route's time."""
        for target in self.plain:
            target.behaviour = Behaviour(delay_s=3)
        began = time.monotonic()
        reply = await self.call('/quick/1')
        self.assertEqual(reply.status, 504)
        self.assertLess(time.monotonic() - began, 1.5)

    async def test_caller_that_leaves_ends_the_work(self) -> None:
        """Guards against work for callers that are gone."""
        for target in self.plain:
            target.behaviour = Behaviour(delay_s=3)
        task = asyncio.create_task(self.call('/look/1'))
        await self.eventually(lambda: any(t.runs for t in self.plain))
        task.cancel()
        run = next(run for target in self.plain for run in target.runs)
        await self.eventually(lambda: run.cancelled, 0.5)

    async def test_connections_are_kept(self) -> None:
        """Guards against a new connection for each request."""
        for number in range(8):
            await self.call('/look/1', request_id=f'r-{number}')
        total = sum(target.connections for target in self.plain)
        self.assertLessEqual(total, 2)


class TestStreams(GatewayCase):
    """Answers in events."""

    async def test_passed_on_as_they_come(self) -> None:
        """Guards against holding events back until the stream ends."""
        for engine in self.engines:
            engine.behaviour = Behaviour(events=4, delay_s=0.02)
        reply = await self.ask()
        self.assertTrue(reply.complete)
        self.assertEqual(reply.body, _events(1, 4))

    async def test_cut_stream_does_not_look_complete(self) -> None:
        """Guards against a caller that takes a part for the whole."""
        for engine in self.engines:
            engine.behaviour = Behaviour(
                events=4,
                truncate_after=2,
                truncate_in_event=True,
            )
        reply = await self.ask()
        self.assertFalse(reply.complete)
        self.assertEqual(sum(len(e.runs) for e in self.engines), 1)

    async def test_resumed_at_another_target(self) -> None:
        """Guards against lost, doubled or halved events after a break."""
        for engine in self.engines:
            engine.behaviour = Behaviour(events=6)
        parts = 'aa:50,bb:50'
        await self.ask('/talk/1', request_id='probe', x_prompt_prefix=parts)
        chosen = next(engine for engine in self.engines if engine.runs)
        chosen.next_behaviours.append(
            Behaviour(events=6, truncate_after=3, truncate_in_event=True),
        )
        reply = await self.ask('/talk/1', x_prompt_prefix=parts)
        self.assertTrue(reply.complete)
        self.assertEqual(reply.body, _events(1, 6))
        other = next(e for e in self.engines if e is not chosen)
        self.assertEqual(other.runs[-1].headers['last-event-id'], '3')

    async def test_cost_is_settled(self) -> None:
        """Guards against billing more than was delivered, or nothing."""
        for engine in self.engines:
            engine.behaviour = Behaviour(events=4)
        await self.ask()
        prepaid_tokens = self.gateway._services.prepaid_tokens
        state = prepaid_tokens._allocator._states['acme']
        self.assertEqual(state.reserved, 0)
        await self.eventually(lambda: self._spent('acme') == 100 + 4 * 5)

    def _spent(self, account: str) -> int:
        """Return what the ledger shows as spent."""
        from fuchsiafork.gateway.prepaid_tokens import LEDGER_KEY
        from fuchsiafork.prepaid import decode_ledger

        value = self.store.content.get(LEDGER_KEY) or b''
        return decode_ledger(value).entry(account).spent

    async def test_budget_that_is_too_small(self) -> None:
        """Guards against serving what the budget can't cover."""
        reply = await self.ask(key='key-of-poor')
        self.assertEqual(reply.status, 402)
        self.assertFalse(any(engine.runs for engine in self.engines))


class TestAdmission(GatewayCase):
    """Which requests are let through."""

    async def test_statuses(self) -> None:
        """Guards against refusals that the configuration doesn't say."""
        cases = (
            (await self.call('/nowhere/'), 404),
            (await self.call('/look/1', key='wrong'), 401),
            (await self.call('/look/1', key=''), 401),
            (await self.call('/open/1', key=''), 200),
            (await self.call('/look/1', body=b'x' * 100_001), 413),
            (await self.call('/look/1', x_big='y' * 8000), 431),
            (await self.call('/look/1', deadline_ms='soon'), 400),
        )
        self.assertEqual(
            [reply.status for reply, _ in cases],
            [status for _, status in cases],
        )

    async def test_slow_head(self) -> None:
        """Guards against callers that hold a connection without a request."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            self.site.ports[VM],
        )
        writer.write(b'GET /look/1 HTTP/1.1\r\n')
        line = await asyncio.wait_for(reader.readline(), 3)
        writer.close()
        self.assertIn(b'408', line)

    async def test_new_configuration(self) -> None:
        """Guards against old routes in force, and against going back."""
        newer = make_configuration(5)
        newer['routes'] = newer['routes'][1:]
        self.store.put('op/config', newer)
        await self.eventually(
            lambda: self.gateway._services.catalog.version == 5,
        )
        self.assertEqual((await self.call('/look/1')).status, 404)
        self.store.put('op/config', make_configuration(4))
        await asyncio.sleep(0.1)
        self.assertEqual((await self.call('/look/1')).status, 404)

    async def test_leaving_target_gets_nothing(self) -> None:
        """Guards against requests to a target that leaves."""
        self.site.register(self.plain[0], state='draining')
        table = self.gateway._services.targets
        await self.eventually(lambda: len(table.of_service('plain')) == 1)
        for number in range(6):
            await self.call('/look/1', request_id=f'r-{number}')
        self.assertEqual(self.plain[0].runs, [])

    async def test_entries_that_lapsed_while_the_store_was_away(self) -> None:
        """Guards against no targets at all after an outage of the store."""
        table = self.gateway._services.targets
        self.store.fault = StoreFault.RESET
        self.store.server.break_connections()
        await self.eventually(lambda: not self.gateway._parts.registered.synced)
        for target in self.plain:
            self.store.content.remove(f'servers/{target.target_id}')
        self.store.fault = StoreFault.NONE
        await self.eventually(lambda: self.gateway._parts.registered.synced)
        self.assertEqual(len(table.of_service('plain')), 2)
        self.site.register(self.plain[0])
        gone = self.plain[1].target_id
        await self.eventually(lambda: table.get(gone) is None)
        self.assertEqual((await self.call('/look/1')).status, 200)

    async def test_entries_that_cannot_be_read(self) -> None:
        """Guards against a foreign entry that hides the others."""
        self.store.put('servers/odd', {'service': 'plain', 'state': 'up'})
        self.store.content.put('servers/raw', b'\xff\xfe')
        self.store.notify_watchers()
        self.site.register(self.plain[1], state='draining')
        table = self.gateway._services.targets
        await self.eventually(lambda: len(table.of_service('plain')) == 1)
        self.assertEqual((await self.call('/look/1')).status, 200)

    async def test_misdirected_request_goes_elsewhere(self) -> None:
        """Guards against an address that another target has taken over."""
        self.plain[0].target_id = 'somebody-else'
        statuses = [
            (await self.call('/order/1', request_id=f'r-{number}')).status
            for number in range(6)
        ]
        self.assertLessEqual(statuses.count(503), 1)
        self.assertEqual(self.plain[0].runs, [])

    async def test_history_gone(self) -> None:
        """Guards against missing changes after the store has compacted."""
        self.store.content.put('op/other', b'1')
        self.store.content.compact_history()
        self.store.notify_watchers()
        self.store.put('op/config', make_configuration(9))
        await self.eventually(
            lambda: self.gateway._services.catalog.version == 9,
        )
