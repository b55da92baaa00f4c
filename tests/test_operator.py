"""Tests of the command line for operators."""

import contextlib
import io
import json
import tempfile
import types
import unittest
from pathlib import Path
from unittest import mock

from fuchsiafork.operator_cli import ledger
from fuchsiafork.operator_cli.__main__ import run
from fuchsiafork.operator_cli.output import Exit, render_table
from standins.store_application import StoreApplication
from standins.store_server import StoreServer
from tests.test_configuration import SAMPLE
from tests.test_operator_timeline import AdminServer


class FakeLedger:
    """The functions of the ledger module on a record in JSON."""

    def ledger_key(self, budget: str) -> str:
        return f'ledger/{len(budget)}'

    def decode_record(self, encoded: bytes | None) -> types.SimpleNamespace:
        tables = json.loads(encoded or b'{}')
        rows = {
            name: types.SimpleNamespace(**row) for name, row in tables.items()
        }
        return types.SimpleNamespace(budgets=rows, closed={'a': 1})

    def encode_record(self, record: types.SimpleNamespace) -> bytes:
        rows = {name: vars(row) for name, row in record.budgets.items()}
        return json.dumps(rows).encode()

    def top_up(self, record, budget, tokens, change_id):
        blank = {'prepaid': 0, 'settled': 0, 'duplicate': 0, 'free': 0}
        row = types.SimpleNamespace(**blank, grants={'a': 9}, changes=[])
        row = record.budgets.setdefault(budget, row)
        row.prepaid += tokens
        row.changes.append(change_id)
        return record

    def release(self, record, budget, holder, change_id):
        if holder not in record.closed:
            raise ValueError(holder)
        record.budgets[budget].grants.pop(holder)
        record.budgets[budget].changes.append(change_id)
        return record


class OperatorCase(unittest.TestCase):
    """Base with a stand-in of the key-value service and a folder."""

    def setUp(self) -> None:
        self.server = StoreServer(StoreApplication())
        self.server.start()
        self.addCleanup(self.server.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        variables = {'FUCHSIAFORK_STORE': self.server.url}
        patch = mock.patch.dict('os.environ', variables)
        patch.start()
        self.addCleanup(patch.stop)

    def call(self, *arguments: str, expect: int = Exit.OK) -> str:
        """Run a command, check its exit code and return its output."""
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            code = run([*arguments, '--timeout-s', '5'])
        self.assertEqual(code, expect, out.getvalue())
        return out.getvalue()

    def apply_sample(self) -> None:
        """Apply the sample document, one apply for each team."""
        sample = SAMPLE.replace('routes = plans\n', '')
        head, title, rest = sample.partition('[pool:assistant]')
        for owner, text in (('money', head), ('models', f'{title}{rest}')):
            path = self.folder / f'{owner}.ini'
            path.write_text(text, encoding='utf-8')
            self.call('config', 'apply', str(path), '--owner', owner)

    def document(self) -> str:
        """Return the stored document."""
        return self.call('config', 'show')


class TestConfig(OperatorCase):
    """Commands for the configuration document."""

    def test_apply_show_edit_and_conflict(self) -> None:
        """Guards against a stale file that reverts a change by others."""
        self.apply_sample()
        mine, theirs = self.folder / 'mine.ini', self.folder / 'theirs.ini'
        for path in (mine, theirs):
            self.call(*f'config show --owner money --output {path}'.split())
        for path, tokens in ((mine, '1'), (theirs, '2')):
            text = path.read_text(encoding='utf-8').replace('1000', tokens)
            path.write_text(text, encoding='utf-8')
        common = ('--owner', 'money')
        shown = self.call('config', 'diff', str(mine), *common)
        self.assertIn('+opening_tokens = 1', shown)
        self.call('config', 'apply', str(mine), *common)
        stale = ('config', 'apply', str(theirs), *common)
        refused = self.call(*stale, expect=Exit.CONFLICT)
        self.assertIn('-opening_tokens = 1\n+opening_tokens = 2', refused)
        self.assertIn('code 1202', refused)
        self.call('config', 'apply', str(mine), *common)
        rows = json.loads(self.call('config', 'history', '--json'))
        self.assertEqual([row['revision'] for row in rows], [3, 2, 1])

    def test_invalid_file_changes_nothing(self) -> None:
        """Guards against storing an invalid document, which stops the fleet."""
        self.apply_sample()
        before = self.document()
        path = self.folder / 'money.ini'
        text = path.read_text(encoding='utf-8')
        path.write_text(f'{text}\nownr = money\n', encoding='utf-8')
        common = ('config', 'apply', str(path), '--owner', 'money')
        printed = self.call(*common, expect=Exit.INVALID)
        self.assertIn('[account:crumb] ownr: unknown key (code 1201)', printed)
        self.assertEqual(self.document(), before)
        whole = self.folder / 'whole.ini'
        whole.write_text(before, encoding='utf-8')
        out = io.StringIO()
        with contextlib.redirect_stderr(out):
            self.assertEqual(run(['config', 'check', str(whole)]), 0)
            wrong = run(['config', 'check', str(path)])
            missing = run(['config', 'check', str(self.folder / 'x')])
        self.assertEqual((wrong, missing), (Exit.INVALID, Exit.INVALID))

    def test_lost_answer_and_outage(self) -> None:
        """Guards against a change applied twice after a lost answer."""
        self.server.application.faults.lost_answer = 1
        self.apply_sample()
        self.server.application.faults.down = True
        path = str(self.folder / 'money.ini')
        common = ('config', 'apply', path, '--owner', 'money')
        printed = self.call(*common, expect=Exit.UNAVAILABLE)
        self.assertIn('repeat with --change-id', printed)
        self.server.application.faults.down = False
        rows = json.loads(self.call('config', 'history', '--json'))
        self.assertEqual(len(rows), 2)

    def test_wait_reports_nodes_without_the_revision(self) -> None:
        """Guards against reporting a change as in force too early."""
        self.apply_sample()
        ahead = AdminServer(self, 'd-1/keeper')
        behind = AdminServer(self, 'd-2/keeper')
        ahead.admins = (ahead.address, behind.address)
        ahead.revision = 9
        path = self.folder / 'money.ini'
        options = f'--owner=money --admin={ahead.address} --json'
        common = f'config apply {path} {options}'.split()
        printed = self.call(*common, '--wait=0.3', expect=Exit.NOT_IN_FORCE)
        rows = json.loads(printed)['nodes']
        self.assertEqual(
            {row['node']: row['in_force'] for row in rows},
            {'d-1/keeper': True, 'd-2/keeper': False},
        )
        behind.revision = 9
        self.call(*common, '--wait=5')


class TestOtherCommands(OperatorCase):
    """Commands for rollouts, targets, budgets and processes."""

    def test_rollout_is_started_and_taken_back(self) -> None:
        """Guards against edits that bypass compare-and-swap."""
        self.apply_sample()
        self.call('rollout', 'take-back', 'r1')
        self.assertIn('take_back = true', self.document())
        self.call('rollout', 'take-back', 'nope', expect=Exit.NOT_FOUND)
        start = ('rollout', 'start', 'r2', '--route=plans', '--new=a2')
        times = ('--at=2027-02-01T00:00:00', '--deadline=2027-02-01T01:00:00')
        self.call(*start, *times)
        self.call(*start, *times, expect=Exit.CONFLICT)
        verdicts = [
            {'section': name, 'verdict': verdict, 'domain': 'd', 'wall_ms': at}
            for name, verdict, at in (('old', 'good', 1), ('new', 'bad', 2))
        ]
        model = self.server.application.model
        model.swap('verdicts/r1', 0, json.dumps(verdicts).encode())
        model.swap('verdicts/r2', 0, b'garbage')
        rows = json.loads(self.call('rollout', 'show', '--json'))
        shown = [row['last_verdicts'] for row in rows]
        self.assertEqual(shown, [['bad in d'], []])
        self.assertEqual(rows[1]['start'], '2027-02-01T00:00:00+00:00')

    def test_target_is_drained_and_ordered_once(self) -> None:
        """Guards against a change applied twice under one id."""
        self.apply_sample()
        self.call('target', 'drain', 't1', '--at=2027-02-01T00:00:00Z')
        self.assertIn('drain_at', self.document())
        order = ('target', 'order', 't1', 'a2', '--change-id=x', '--json')
        first = json.loads(self.call(*order))
        self.assertEqual(json.loads(self.call(*order)), first)
        newer = json.loads(self.call('target', 'order', 't1', 'a1', '--json'))
        self.assertGreater(newer['revision'], first['revision'])
        self.assertIn('version = a1', self.document())
        wrong = ('target', 'order', 't1', 'o1')
        self.call(*wrong, expect=Exit.CONFLICT)
        self.assertIn('t2', self.call('target', 'list'))

    def test_status_and_events(self) -> None:
        """Guards against omitting a process that does not answer."""
        server = AdminServer(self, 'd-1/router')
        server.admins = ('127.0.0.1:1',)
        server.record(5, account='delta')
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            status = run(['status', f'--admin={server.address}'])
            listed = run(['events', f'--admin={server.address}'])
        self.assertEqual((status, listed), (4, 4))
        self.assertIn('no answer: 127.0.0.1:1', out.getvalue())
        self.assertIn('d-1/router happened account=delta', out.getvalue())

    def test_budget_is_topped_up_once(self) -> None:
        """Guards against a credit given twice after a lost answer."""
        self.apply_sample()
        patch = mock.patch.object(ledger, 'load_ledger', FakeLedger)
        patch.start()
        self.addCleanup(patch.stop)
        top_up = ('budget', 'top-up', 'ovens', '50', '--json')
        self.server.application.faults.lost_answer = 1
        for _ in range(2):
            rows = json.loads(self.call(*top_up, '--change-id=x'))
            self.assertEqual(rows[0]['prepaid'], 50)
        self.server.application.faults.lost_answer = 0
        self.assertEqual(json.loads(self.call(*top_up))[0]['prepaid'], 100)
        self.call('budget', 'top-up', 'nope', '5', expect=Exit.NOT_FOUND)
        release = ('budget', 'release', 'ovens')
        self.call(*release, 'b', expect=Exit.CONFLICT)
        show = ('budget', 'show', 'ovens', '--json')
        held = {'holder': 'a', 'tokens': 9, 'closed_out': True}
        self.assertEqual(json.loads(self.call(*show)), [held])
        self.call(*release, 'a')
        self.assertEqual(json.loads(self.call(*show)), [])
        self.server.application.faults.down = True
        self.call('budget', 'show', 'ovens', expect=Exit.UNAVAILABLE)

    def test_table(self) -> None:
        """Guards against misaligned columns."""
        rows = [{'a': 'xx', 'b': None}, {'a': 1, 'b': ()}]
        self.assertEqual(render_table(rows), 'a   b\nxx  -\n1   -')
