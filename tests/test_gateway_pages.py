"""Log lines, metrics and status of a gateway."""

import asyncio
import json
from unittest import mock

from fuchsiafork.gateway.program import GatewayProgram
from standins.platform_store import StoreFault
from standins.platform_targets import Behaviour
from tests.gateway_case import GatewayCase


class TestLogLines(GatewayCase):
    """One line for each decision that touches a request."""

    async def start_gateway(self) -> GatewayProgram:
        """Start a gateway whose log lines are recorded."""
        with mock.patch('fuchsiafork.gateway.program.get_logger') as get_logger:
            self.log = get_logger.return_value.bind.return_value
            return await super().start_gateway()

    def _line(self, level: str, event: str) -> dict[str, object]:
        """Return the fields of the last line of an event."""
        calls = getattr(self.log, level).call_args_list
        found = [call.kwargs for call in calls if call.args == (event,)]
        self.assertTrue(found, event)
        return found[-1]

    async def test_answer(self) -> None:
        """Guards against an answer that can't be traced in the log."""
        await self.call('/look/1')
        line = self._line('info', 'request_answered')
        self.assertEqual(line['request_id'], 'r-1')
        self.assertEqual(line['account'], 'acme')
        self.assertIn(':served', str(line['attempts']))
        self.assertEqual(line['configuration'], 1)

    async def test_failed_attempt_and_refusal(self) -> None:
        """Guards against logging a failure without its target."""
        for target in self.plain:
            target.behaviour = Behaviour(truncate_after=2)
        await self.call('/order/1')
        attempt = self._line('warning', 'attempt_failed')
        refusal = self._line('warning', 'request_refused')
        self.assertEqual(attempt['request_id'], refusal['request_id'])
        self.assertIn(str(attempt['target']), str(refusal['attempts']))
        self.assertEqual(refusal['run_state'], 'outcome_unknown')

    async def test_disconnected_caller(self) -> None:
        """Guards against disconnected callers that are not logged."""
        for target in self.plain:
            target.behaviour = Behaviour(delay_s=3)
        task = asyncio.create_task(self.call('/look/1'))
        await self.eventually(lambda: any(t.runs for t in self.plain))
        task.cancel()
        await self.eventually(lambda: self.gateway._in_flight() == 0)
        self.assertEqual(
            self._line('warning', 'caller_left')['request_id'],
            'r-1',
        )

    async def test_refusal_for_lack_of_tokens(self) -> None:
        """Guards against a refusal that is logged without its figures."""
        await self.call_engine(key='key-of-poor')
        line = self._line('warning', 'request_refused')
        self.assertEqual((line['code'], line['reserved']), (2101, 300))

    async def test_lost_and_restored_store(self) -> None:
        """Guards against an outage that is not logged."""
        self.store.fault = StoreFault.RESET
        self.store.server.break_connections()
        await self.eventually(
            lambda: (
                not self.gateway._components.watchers.configuration.connected
            )
        )
        self.assertTrue(self._line('warning', 'store_lost')['reason'])
        self.store.fault = StoreFault.NONE
        await self.eventually(
            lambda: self.gateway._components.watchers.configuration.connected
        )
        self._line('warning', 'store_reached')

    async def test_start_and_reload(self) -> None:
        """Guards against starts and reloads that are not logged."""
        self._line('info', 'started')
        self.gateway._reload()
        self._line('info', 'settings_reloaded')

    async def test_settings_are_reloaded_without_a_signal(self) -> None:
        """Guards against settings that are applied only after a restart."""
        path = self.gateway._path
        text = path.read_text(encoding='utf-8')
        changed = text.replace(self.store.address, '127.0.0.1:1')
        path.write_text(changed, encoding='utf-8')
        store = self.gateway._components.store
        await self.eventually(lambda: store.address == '127.0.0.1:1')
        path.write_text('nonsense', encoding='utf-8')
        await self.eventually(lambda: self.log.error.called)
        self.assertEqual(store.address, '127.0.0.1:1')


class TestPages(GatewayCase):
    """Metrics and status."""

    async def _page(self, path: str) -> bytes:
        """Return a page for operators."""
        port = self.gateway._settings.metrics_port
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        head = f'GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'
        writer.write(head.encode())
        response = await reader.read(-1)
        writer.close()
        return response.partition(b'\r\n\r\n')[2]

    async def test_metrics(self) -> None:
        """Guards against counters that are not incremented."""
        await self.call('/look/1')
        await self.call('/nowhere/')
        page = (await self._page('/metrics')).decode()
        for line in (
            'fuchsiafork_gateway_requests_total{route="look",status="200"} 1.0',
            'refusals_total{code="2004",run_state="not_run"} 1.0',
            'fuchsiafork_gateway_configuration_version 1.0',
            'fuchsiafork_gateway_targets{service="plain"} 2.0',
        ):
            self.assertIn(line, page)

    async def test_status(self) -> None:
        """Guards against a status without ages or targets."""
        status = json.loads(await self._page('/status'))
        self.assertEqual(status['configuration'], 1)
        self.assertLess(status['ages_s']['targets'], 5)
        self.assertEqual(len(status['targets']), 4)
        self.assertGreater(status['tokens']['acme'], 0)

    async def test_target_that_gets_no_request(self) -> None:
        """Guards against a target that is left out without a trace."""
        self.plain[0].behaviour = Behaviour(leaving=True)
        for number in range(8):
            await self.call('/look/1', request_id=f'r-{number}')
        page = await self._page('/status')
        rows = {row['target']: row for row in json.loads(page)['targets']}
        self.assertEqual(rows['p-1']['availability'], 'leaving')
        self.assertEqual(rows['p-1']['source'], 'answer')
        self.assertGreaterEqual(rows['p-1']['for_s'], 0)
        self.assertEqual(rows['p-2']['availability'], 'accepting')
        metrics = (await self._page('/metrics')).decode()
        self.assertIn(
            'fuchsiafork_gateway_unavailable_targets{availability="leaving",'
            'service="plain",source="answer"} 1.0',
            metrics,
        )
