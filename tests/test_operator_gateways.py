"""Tests of the operators' commands for gateways."""

import asyncio
import contextlib
import io
import json
import tempfile
from pathlib import Path

from fuchsiafork.operator_cli.__main__ import run
from fuchsiafork.operator_cli.output import Exit
from standins.platform_targets import Behaviour
from tests.gateway_case import GatewayCase, make_configuration

REFUSAL = Behaviour(not_run=True, status=503, retry_after='60')


def _run(*arguments: str) -> tuple[int, str]:
    """Return the exit code of a command and its output."""
    printed = io.StringIO()
    with (
        contextlib.redirect_stdout(printed),
        contextlib.redirect_stderr(printed),
    ):
        code = run(arguments)
    return code, printed.getvalue()


class TestGatewayCommands(GatewayCase):
    """``fuchsiafork gateway``."""

    async def test_status(self) -> None:
        """Guards against a status that operators can't read."""
        port = self.gateway._settings.metrics_port
        address = f'127.0.0.1:{port}'
        code, text = await asyncio.to_thread(_run, 'gateway', 'status', address)
        self.assertEqual(code, Exit.OK)
        for part in ('configuration 1', 'p-1', 'acme', 'ledger'):
            self.assertIn(part, text)

    async def test_status_with_targets_in_several_states(self) -> None:
        """Guards against a table whose rows have different columns."""
        self.plain[0].behaviour = Behaviour(leaving=True)
        self.plain[1].behaviour = REFUSAL
        for number in range(6):
            await self.call('/look/1', request_id=f'r-{number}')
        address = f'127.0.0.1:{self.gateway._settings.metrics_port}'
        code, text = await asyncio.to_thread(_run, 'gateway', 'status', address)
        self.assertEqual(code, Exit.OK, text)
        for part in ('leaving', 'answer', 'paused', 'refusal', 'accepting'):
            self.assertIn(part, text)

    async def test_status_without_a_listener(self) -> None:
        """Guards against a traceback if nothing listens at the address."""
        arguments = ('gateway', 'status', '127.0.0.1:1')
        code, text = await asyncio.to_thread(_run, *arguments)
        self.assertEqual(code, Exit.UNAVAILABLE)
        self.assertIn('127.0.0.1:1', text)

    async def test_quarantine_is_shown_and_lifted(self) -> None:
        """Guards against a sound request that nobody can let pass."""
        address = f'127.0.0.1:{self.gateway._settings.metrics_port}'
        for number in range(3):
            self.store.put(
                f'fuchsiafork/quarantine/other/{number}',
                {
                    'kind': 'ended',
                    'parts': ['request:ab'],
                    'lifetime': f't-{number}@0',
                },
            )
        quarantine = self.gateway._shared.quarantine
        await self.eventually(quarantine.quarantined)
        shown = ('gateway', 'quarantine', address)
        code, text = await asyncio.to_thread(_run, *shown)
        self.assertEqual(code, Exit.OK)
        self.assertIn('request:ab', text)
        release = ('gateway', 'release', address)
        code, _ = await asyncio.to_thread(_run, *release, 'request:cd')
        self.assertEqual(code, Exit.NOT_FOUND)
        code, _ = await asyncio.to_thread(_run, *release, 'request:ab')
        self.assertEqual(code, Exit.OK)
        await self.eventually(
            lambda: any(
                b'begun' in (self.store.content.get(key) or b'')
                for key in self.store.content.items
                if key.startswith('fuchsiafork/quarantine/')
            )
        )
        self.assertEqual(quarantine.quarantined(), [])

    async def test_check(self) -> None:
        """Guards against files whose errors are found only in use."""
        with tempfile.TemporaryDirectory() as folder:
            good = Path(folder) / 'good.json'
            good.write_text(json.dumps(make_configuration()), encoding='utf-8')
            bad = Path(folder) / 'bad.json'
            bad.write_text('{"version": "x"}', encoding='utf-8')
            node = Path(folder) / 'node.conf'
            node.write_text('node=a-1\n', encoding='utf-8')
            arguments = ('gateway', 'check', '--configuration')
            code, text = _run(*arguments, str(good))
            self.assertEqual(code, Exit.OK)
            self.assertIn('6 routes', text)
            code, text = _run(*arguments, str(bad))
            self.assertEqual(code, Exit.INVALID)
            self.assertIn('bad.json', text)
            code, text = _run('gateway', 'check', '--settings', str(node))
            self.assertEqual(code, Exit.USAGE)
            self.assertIn('zone', text)
