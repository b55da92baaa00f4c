"""Planned stops of a real router process."""

import signal
import threading
import time
import unittest

import urllib3

from standins.deployment import (
    CallerClient,
    apply_sections,
    base_sections,
    whole_answer,
)
from standins.engine_types import EngineSettings
from standins.fleet import ProcessFleet, Targets, make_vms

TOKENS = 400


class TestRouterStop(unittest.TestCase):
    """A router that is told to stop while it relays an answer."""

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
        self.thread = threading.Thread(target=self._ask)
        self.thread.start()
        time.sleep(0.5)

    def test_open_answer_is_finished(self) -> None:
        """Guards against a planned stop that cuts an answer off."""
        self.fleet.signal(self.vm, 'router', signal.SIGTERM)
        self.assertEqual(self._wait(), 0)
        self.thread.join(5)
        self.assertTrue(whole_answer(self.body, TOKENS), self.body[-200:])

    def test_second_signal_names_what_is_cut_off(self) -> None:
        """Guards against a forced stop that says nothing of its victims."""
        self.fleet.signal(self.vm, 'router', signal.SIGTERM)
        time.sleep(1)
        self.fleet.signal(self.vm, 'router', signal.SIGTERM)
        self.assertEqual(self._wait(), 1)
        self.thread.join(5)
        rows = self.fleet.log(self.vm, 'router').splitlines()
        cut = [row for row in rows if 'event=request_cut_off' in row]
        self.assertEqual(len(cut), 1)
        self.assertIn('path=/v1/chat/completions', cut[0])
        self.assertIn('request_id=', cut[0])

    def _wait(self) -> int:
        """Return the router's exit status."""
        return self.fleet.processes[f'{self.vm.name}/router'].wait(15)

    def _ask(self) -> None:
        """Keep the answer, or nothing if it breaks."""
        try:
            answer = CallerClient('bakers').chat(self.vm.url, 'plan', TOKENS)
        except urllib3.exceptions.HTTPError:
            return
        self.body = answer.data
