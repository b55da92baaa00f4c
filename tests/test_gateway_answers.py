"""Answers of targets that a gateway relays, and admission of requests."""

import asyncio
import time

from standins.platform_store import StoreFault
from standins.platform_targets import Behaviour, PlatformTarget
from tests.gateway_case import VM, GatewayCase, make_configuration

# Targets of both services at the start of a test.
TARGETS = 4
# Targets to which a lookup may be sent.
MAX_TARGETS = 2


def _events(first: int, last: int) -> bytes:
    """Return the given events in the form that an engine sends."""
    return b''.join(
        f'id: {number}\ndata: piece-{number}\n\n'.encode()
        for number in range(first, last + 1)
    )


class TestWholeAnswers(GatewayCase):
    """Answers that are not event streams."""

    async def test_answer_is_forwarded_unchanged(self) -> None:
        """Guards against losing the target's MAC or changing the body."""
        reply = await self.call('/look/1?q=2')
        self.assertEqual((reply.status, reply.complete), (200, True))
        self.assertEqual(reply.body, b'answer to r-1')
        self.assertEqual(reply.headers['x-response-seal'], 'mac-r-1')

    async def test_target_sees_the_account_and_not_the_key(self) -> None:
        """Guards against forwarding keys and accepting account names."""
        await self.call('/look/1', x_tenant='other', x_hold='h', x_pin_ms='9')
        run = next(run for target in self.plain for run in target.runs)
        self.assertEqual(run.account, 'acme')
        for name in ('authorization', 'x-hold', 'x-pin-ms'):
            self.assertNotIn(name, run.headers)
        self.assertLessEqual(int(run.headers['x-deadline-ms']), 3000)

    async def test_interrupted_idempotent_request_is_retried(self) -> None:
        """Guards against failing a request that another target can answer."""
        for target in self.plain:
            target.next_behaviours.append(Behaviour(truncate_after=3))
        first = await self.call('/look/1')
        self.assertEqual(first.status, 502)
        self.plain[0].next_behaviours.append(Behaviour(truncate_after=3))
        self.plain[1].behaviour = Behaviour()
        second = await self.call('/look/1', request_id='r-2')
        self.assertEqual((second.status, second.complete), (200, True))

    async def test_non_idempotent_request_is_sent_once(self) -> None:
        """Guards against running a non-idempotent request twice."""
        for target in self.plain:
            target.behaviour = Behaviour(truncate_after=3)
        reply = await self.call('/order/1')
        self.assertEqual(reply.status, 502)
        self.assertNotIn('x-response-seal', reply.headers)
        self.assertEqual(sum(len(target.runs) for target in self.plain), 1)

    async def test_unanswered_requests_reach_no_more_targets_than_allowed(
        self,
    ) -> None:
        """Guards against retries on kept connections that aren't counted."""
        others = [PlatformTarget(f'p-{n}', 'plain', 'a') for n in (3, 4)]
        for target in others:
            await self.site.add_target(target)
        self.plain += others
        await self.eventually(
            lambda: len(self.gateway._shared.targets) == TARGETS + len(others)
        )
        await asyncio.gather(
            *(self.call('/look/1', request_id=f'first-{n}') for n in range(20))
        )
        for target in self.plain:
            target.behaviour = Behaviour(no_answer=True)
        await self.call('/look/1')
        reached = {
            target.target_id
            for target in self.plain
            for run in target.runs
            if run.request_id == 'r-1'
        }
        self.assertLessEqual(len(reached), MAX_TARGETS)

    async def test_status_503_of_a_possibly_run_request_is_replaced(
        self,
    ) -> None:
        """Guards against reporting that a request did not run when it did."""
        for target in self.plain:
            target.behaviour = Behaviour(status=503)
        reply = await self.call('/order/1')
        self.assertEqual(reply.status, 502)

    async def test_status_503_of_a_request_not_run_is_kept(self) -> None:
        """Guards against hiding from a caller that it may retry."""
        for target in self.plain:
            target.behaviour = Behaviour(status=503, not_run=True)
        reply = await self.call('/order/1')
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.headers['retry-after']), 0)

    async def test_failure_of_the_target_keeps_its_status_and_mac(self) -> None:
        """Guards against changing an error answer of the target."""
        for target in self.plain:
            target.behaviour = Behaviour(status=500)
        reply = await self.call('/order/1')
        self.assertEqual(reply.status, 500)
        self.assertEqual(reply.headers['x-response-seal'], 'mac-r-1')

    async def test_failed_idempotent_request_is_retried_once(self) -> None:
        """Guards against trying more targets than the route allows."""
        for target in self.plain:
            target.behaviour = Behaviour(status=500)
        reply = await self.call('/look/1')
        self.assertEqual(reply.status, 500)
        self.assertEqual([len(target.runs) for target in self.plain], [1, 1])

    async def test_answer_without_mac_is_an_error(self) -> None:
        """Guards against accepting an answer that the target did not send."""
        for target in self.plain:
            target.behaviour = Behaviour(omit_seal=True)
        self.assertEqual((await self.call('/look/1')).status, 502)

    async def test_answer_to_another_request_is_skipped(self) -> None:
        """Guards against giving a caller the answer to another request."""
        for target in self.plain:
            target.behaviour = Behaviour(crossed_answer_first=True)
        reply = await self.call('/order/1')
        self.assertEqual(reply.body, b'answer to r-1')

    async def test_extra_bytes_are_not_used_for_a_later_request(self) -> None:
        """Guards against reading a surplus answer on a reused connection."""
        extra = b'HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad'
        for target in self.plain:
            target.behaviour = Behaviour(trailing_bytes=extra)
        for number in range(6):
            request_id = f'r-{number}'
            reply = await self.call('/look/1', request_id=request_id)
            self.assertEqual(reply.body, f'answer to {request_id}'.encode())

    async def test_invalid_answer_is_an_error(self) -> None:
        """Guards against forwarding bytes that are not HTTP."""
        for target in self.plain:
            target.behaviour = Behaviour(
                raw_response=b'%%% no HTTP %%%\r\n\r\n'
            )
        self.assertEqual((await self.call('/look/1')).status, 502)

    async def test_route_timeout(self) -> None:
        """Guards against requests that exceed the time limit of the route."""
        for target in self.plain:
            target.behaviour = Behaviour(delay_s=3)
        started_at = time.monotonic()
        reply = await self.call('/quick/1')
        self.assertEqual(reply.status, 504)
        self.assertLess(time.monotonic() - started_at, 1.5)

    async def test_disconnected_caller_cancels_the_request(self) -> None:
        """Guards against running requests of disconnected callers."""
        for target in self.plain:
            target.behaviour = Behaviour(delay_s=3)
        task = asyncio.create_task(self.call('/look/1'))
        await self.eventually(lambda: any(t.runs for t in self.plain))
        task.cancel()
        run = next(run for target in self.plain for run in target.runs)
        await self.eventually(lambda: run.cancelled, 0.5)

    async def test_connections_are_reused(self) -> None:
        """Guards against a new connection for each request."""
        for number in range(8):
            await self.call('/look/1', request_id=f'r-{number}')
        total = sum(target.connections for target in self.plain)
        self.assertLessEqual(total, 2)


class TestStreams(GatewayCase):
    """Answers that are event streams."""

    async def test_events_are_forwarded_as_they_arrive(self) -> None:
        """Guards against buffering events until the stream ends."""
        for engine in self.engines:
            engine.behaviour = Behaviour(events=4, delay_s=0.02)
        reply = await self.call_engine()
        self.assertTrue(reply.complete)
        self.assertEqual(reply.body, _events(1, 4))

    async def test_interrupted_stream_is_not_completed(self) -> None:
        """Guards against callers that take a partial stream as complete."""
        for engine in self.engines:
            engine.behaviour = Behaviour(
                events=4,
                truncate_after=2,
                truncate_in_event=True,
            )
        reply = await self.call_engine()
        self.assertFalse(reply.complete)
        self.assertEqual(sum(len(e.runs) for e in self.engines), 1)

    async def test_stream_is_resumed_at_another_target(self) -> None:
        """Guards against lost, repeated or partial events after a resume."""
        for engine in self.engines:
            engine.behaviour = Behaviour(events=6)
        parts = 'aa:50,bb:50'
        await self.call_engine(
            '/talk/1', request_id='probe', x_prompt_prefix=parts
        )
        first_engine = next(engine for engine in self.engines if engine.runs)
        first_engine.next_behaviours.append(
            Behaviour(events=6, truncate_after=3, truncate_in_event=True),
        )
        reply = await self.call_engine('/talk/1', x_prompt_prefix=parts)
        self.assertTrue(reply.complete)
        self.assertEqual(reply.body, _events(1, 6))
        second_engine = next(e for e in self.engines if e is not first_engine)
        self.assertEqual(second_engine.runs[-1].headers['last-event-id'], '3')

    async def test_cost_is_settled(self) -> None:
        """Guards against billing more than was delivered, or nothing."""
        for engine in self.engines:
            engine.behaviour = Behaviour(events=4)
        await self.call_engine()
        prepaid_tokens = self.gateway._shared.prepaid_tokens
        state = prepaid_tokens._allocator._states['acme']
        self.assertEqual(state.reserved, 0)
        await self.eventually(lambda: self.spent('acme') == 100 + 4 * 5)

    async def test_insufficient_budget_is_refused(self) -> None:
        """Guards against serving a request that exceeds the budget."""
        reply = await self.call_engine(key='key-of-poor')
        self.assertEqual(reply.status, 402)
        self.assertFalse(any(engine.runs for engine in self.engines))


class TestAdmission(GatewayCase):
    """Admission of requests, and following the store."""

    async def test_statuses_of_refusals(self) -> None:
        """Guards against decisions that contradict the configuration."""
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

    async def test_slow_request_head_times_out(self) -> None:
        """Guards against connections kept open without a complete request."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            self.site.ports[VM],
        )
        writer.write(b'GET /look/1 HTTP/1.1\r\n')
        line = await asyncio.wait_for(reader.readline(), 3)
        writer.close()
        self.assertIn(b'408', line)

    async def test_newer_configuration_is_applied(self) -> None:
        """Guards against keeping old routes, or applying an older version."""
        newer = make_configuration(5)
        newer['routes'] = newer['routes'][1:]
        self.store.put('op/config', newer)
        await self.eventually(
            lambda: self.gateway._shared.configuration.version == 5,
        )
        self.assertEqual((await self.call('/look/1')).status, 404)
        self.store.put('op/config', make_configuration(4))
        await asyncio.sleep(0.1)
        self.assertEqual((await self.call('/look/1')).status, 404)

    async def test_leaving_target_gets_no_requests(self) -> None:
        """Guards against requests to a draining target."""
        self.site.register(self.plain[0], state='draining')
        table = self.gateway._shared.targets
        await self.eventually(lambda: len(table.serving_targets('plain')) == 1)
        for number in range(6):
            await self.call('/look/1', request_id=f'r-{number}')
        self.assertEqual(self.plain[0].runs, [])

    async def test_entries_that_lapsed_during_a_store_outage(self) -> None:
        """Guards against losing all targets after an outage of the store."""
        table = self.gateway._shared.targets
        self.store.fault = StoreFault.RESET
        self.store.server.break_connections()
        await self.eventually(
            lambda: not self.gateway._components.watchers.targets.connected
        )
        for target in self.plain:
            self.store.content.remove(f'servers/{target.target_id}')
        self.store.fault = StoreFault.NONE
        await self.eventually(
            lambda: self.gateway._components.watchers.targets.connected
        )
        self.assertEqual(len(table.serving_targets('plain')), 2)
        self.site.register(self.plain[0])
        lapsed_id = self.plain[1].target_id
        await self.eventually(lambda: table.get(lapsed_id) is None)
        self.assertEqual((await self.call('/look/1')).status, 200)

    async def test_invalid_entries_are_ignored(self) -> None:
        """Guards against an invalid entry that stops valid ones."""
        self.store.put('servers/odd', {'service': 'plain', 'state': 'up'})
        self.store.content.put('servers/raw', b'\xff\xfe')
        self.store.notify_watchers()
        self.site.register(self.plain[1], state='draining')
        table = self.gateway._shared.targets
        await self.eventually(lambda: len(table.serving_targets('plain')) == 1)
        self.assertEqual((await self.call('/look/1')).status, 200)

    async def test_misdirected_request_is_sent_to_another_target(self) -> None:
        """Guards against using an address that another target has now."""
        self.plain[0].target_id = 'somebody-else'
        statuses = [
            (await self.call('/order/1', request_id=f'r-{number}')).status
            for number in range(6)
        ]
        self.assertLessEqual(statuses.count(503), 1)
        self.assertEqual(self.plain[0].runs, [])

    async def test_compacted_history_causes_a_new_listing(self) -> None:
        """Guards against missing changes after the store compacts history."""
        self.store.content.put('op/other', b'1')
        self.store.content.compact_history()
        self.store.notify_watchers()
        self.store.put('op/config', make_configuration(9))
        await self.eventually(
            lambda: self.gateway._shared.configuration.version == 9,
        )
