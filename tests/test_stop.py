"""Tests of planned stops of router and keeper processes."""

import signal
import threading
import time
import unittest

import urllib3

from fuchsiafork import budgets
from standins.deployment import (
    CallerClient,
    apply_sections,
    base_sections,
    is_complete_answer,
)
from standins.engine_types import EngineSettings
from standins.fleet import ProcessFleet, Targets, make_vms

TOKENS = 400


class StopCase(unittest.TestCase):
    """One VM that relays an answer."""

    def setUp(self) -> None:
        """Start one VM and open a long answer."""
        targets = Targets()
        self.addCleanup(targets.stop)
        targets.add_engine('e', 'a', settings=EngineSettings(step_s=0.01))
        self.fleet = ProcessFleet(make_vms(['a'], 1))
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        sections = base_sections(targets, {'bakers': 100_000})
        apply_sections(self.fleet.store.url, sections)
        self.fleet.wait_ready()
        self.vm = self.fleet.vms[0]
        self.body = b''
        self.thread = threading.Thread(target=self._request_answer)
        self.thread.start()
        time.sleep(0.5)

    def wait(self, program: str) -> int:
        """Wait for a program to end and return its exit status."""
        return self.fleet.processes[f'{self.vm.name}/{program}'].wait(15)

    def rows(self, program: str, event: str) -> list[str]:
        """Return a program's log lines of one kind."""
        lines = self.fleet.log(self.vm, program).splitlines()
        return [line for line in lines if f'event={event} ' in line]

    def _request_answer(self) -> None:
        """Request an answer and keep its body unless the connection breaks."""
        try:
            answer = CallerClient('bakers').chat(self.vm.url, 'plan', TOKENS)
        except urllib3.exceptions.HTTPError:
            return
        self.body = answer.data


class TestRouterStop(StopCase):
    """A router that is stopped while it relays an answer."""

    def test_open_answer_is_finished(self) -> None:
        """Guards against a planned stop that truncates an answer."""
        self.fleet.signal(self.vm, 'router', signal.SIGTERM)
        self.assertEqual(self.wait('router'), 0)
        self.thread.join(5)
        self.assertTrue(is_complete_answer(self.body, TOKENS), self.body[-200:])

    def test_second_signal_logs_aborted_work(self) -> None:
        """Guards against a forced stop that logs no aborted requests."""
        self.fleet.signal(self.vm, 'router', signal.SIGTERM)
        time.sleep(1)
        self.fleet.signal(self.vm, 'router', signal.SIGTERM)
        self.assertEqual(self.wait('router'), 1)
        self.thread.join(5)
        cut = self.rows('router', 'request_cut_off')
        self.assertEqual(len(cut), 1)
        self.assertIn('path=/v1/chat/completions', cut[0])
        self.assertIn('request_id=', cut[0])


class TestKeeperStop(StopCase):
    """A keeper that is stopped while it holds token grants."""

    def grants(self) -> int:
        """Return the tokens granted to holders in the ledger."""
        store = self.fleet.store.application.model
        records = [
            budgets.decode_record(value)
            for key, _, value in store.list_prefix('ledger/')
        ]
        return sum(
            sum(row.grants.values())
            for record in records
            for row in record.budgets.values()
        )

    def test_grants_are_returned(self) -> None:
        """Guards against tokens that stay withheld after a planned stop."""
        self.assertGreater(self.grants(), 0)
        self.thread.join(10)
        self.fleet.signal(self.vm, 'keeper', signal.SIGTERM)
        self.assertEqual(self.wait('keeper'), 0)
        self.assertEqual(self.grants(), 0)

    def test_second_signal_logs_aborted_work(self) -> None:
        """Guards against a forced stop that logs no open reservations."""
        self.fleet.signal(self.vm, 'keeper', signal.SIGTERM)
        time.sleep(0.5)
        self.fleet.signal(self.vm, 'keeper', signal.SIGTERM)
        self.assertEqual(self.wait('keeper'), 1)
        rows = self.rows('keeper', 'keeper_cut_off')
        self.assertEqual(len(rows), 1)
        self.assertIn('reservations=1', rows[0])
