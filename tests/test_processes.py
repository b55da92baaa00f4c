"""End-to-end tests of real processes, checked against counts of stand-ins."""

import json
import signal
import threading
import time
import unittest
from typing import ClassVar

import urllib3

from standins.deployment import (
    CallerClient,
    Sections,
    apply_sections,
    base_sections,
    have_distinct_request_ids,
    is_complete_answer,
)
from standins.engine_types import EngineSettings
from standins.fleet import ProcessFleet, Targets, make_vms


class TestWholePath(unittest.TestCase):
    """A fleet of two failure domains with two VMs each."""

    fleet: ClassVar[ProcessFleet]
    targets: ClassVar[Targets]
    sections: ClassVar[Sections]

    @classmethod
    def setUpClass(cls) -> None:
        """Start stand-ins and programs."""
        cls.targets = Targets()
        cls.addClassCleanup(cls.targets.stop)
        for domain in ('a', 'b'):
            cls.targets.add_engine(
                f'engine-{domain}',
                domain,
                settings=EngineSettings(capacity=16, step_s=0.005),
            )
            cls.targets.add_service(f'orders-{domain}', domain)
        cls.targets.add_engine(
            'engine-a2',
            'a',
            settings=EngineSettings(capacity=16, step_s=0.005, load_s=1),
        )
        cls.fleet = ProcessFleet(make_vms(['a', 'b'], 2))
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()
        cls.sections = base_sections(
            cls.targets,
            {'bakers': 100_000, 'poor': 40},
        )
        apply_sections(cls.fleet.store.url, cls.sections)
        cls.fleet.wait_ready()

    def test_answers_are_whole_and_their_own(self) -> None:
        """Guards against truncated and crossed answers under load."""
        caller = CallerClient('bakers')
        bodies: list[bytes] = []

        def send_call(number: int) -> None:
            vm = self.fleet.vms[number % len(self.fleet.vms)]
            answer = caller.chat(vm.url, f'dough question {number}', 12)
            bodies.append(answer.data)

        threads = [
            threading.Thread(target=send_call, args=(number,))
            for number in range(24)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(len(bodies), len(threads))
        for body in bodies:
            self.assertTrue(is_complete_answer(body, 12), body[-200:])
        self.assertTrue(have_distinct_request_ids(bodies))

    def test_order_is_run_once_under_its_key(self) -> None:
        """Guards against an order that runs twice if retried at another VM."""
        caller = CallerClient('bakers')
        first = caller.order(self.fleet.vms[0].url, 'order-1', {'sacks': 3})
        again = caller.order(self.fleet.vms[3].url, 'order-1', {'sacks': 3})
        self.assertEqual((first.status, again.status), (200, 200))
        self.assertEqual(first.data, again.data)
        runs = sum(
            service.keys['order-1']
            for service in self.targets.services.values()
        )
        self.assertEqual(runs, 1)

    def test_refusal_names_code_and_run_state(self) -> None:
        """Guards against a refusal without error code and run state."""
        answer = CallerClient('poor').chat(self.fleet.vms[1].url, 'x', 500)
        error = json.loads(answer.data)['error']
        self.assertEqual(answer.status, 402)
        self.assertEqual((error['code'], error['run_state']), (2101, 'not_run'))
        unknown = CallerClient('nobody').chat(self.fleet.vms[1].url, 'x', 5)
        self.assertEqual(unknown.status, 401)

    def test_event_and_metric_name_the_request(self) -> None:
        """Guards against a request without events, metrics or log lines."""
        vm = self.fleet.vms[2]
        answer = CallerClient('bakers').chat(vm.url, 'label', 3)
        request_id = answer.headers['X-Request-Id']
        pool = urllib3.PoolManager()
        events = pool.request('GET', f'http://{vm.router_admin}/events').json()
        kinds = [
            event['kind']
            for event in events
            if event['fields'].get('request_id') == request_id
        ]
        self.assertEqual(kinds, ['request_received', 'request_answered'])
        metrics = pool.request('GET', f'http://{vm.router_admin}/metrics').data
        self.assertIn(b'fuchsiafork_requests_total', metrics)
        self.assertIn(request_id, self.fleet.log(vm, 'router'))

    def test_target_loads_its_new_version_when_idle(self) -> None:
        """Guards against a version load that breaks streams of its target."""
        engine = self.targets.engines['engine-a2'].model
        sections = {
            **self.sections,
            'version:v2': {'owner': 'platform', 'pool': 'assistant'},
        }
        sections['target:engine-a2'] = {
            **self.sections['target:engine-a2'],
            'version': 'v2',
        }
        caller = CallerClient('bakers')
        answers: list[bytes] = []
        threads = [
            threading.Thread(
                target=lambda: answers.append(
                    caller.chat(self.fleet.vms[0].url, 'plan', 150).data,
                ),
            )
            for _ in range(8)
        ]
        for thread in threads:
            thread.start()
        apply_sections(self.fleet.store.url, sections)
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            if engine.version == 'v2' and engine.ready:
                break
            time.sleep(0.1)
        for thread in threads:
            thread.join()
        self.assertEqual((engine.version, engine.counts['orders']), ('v2', 1))
        self.assertTrue(all(is_complete_answer(body, 150) for body in answers))
        self.assertEqual(engine.counts['failed'], 0)

    def test_killed_router_does_not_lose_a_request_under_its_key(self) -> None:
        """Guards against a retry that is billed twice or never answered."""
        vm = self.fleet.vms[2]
        caller = CallerClient('bakers')
        broken: list[bool] = []

        def send_call() -> None:
            try:
                caller.chat(vm.url, 'season plan', 400)
            except urllib3.exceptions.HTTPError:
                broken.append(True)

        thread = threading.Thread(target=send_call)
        thread.start()
        time.sleep(0.5)
        self.fleet.signal(vm, 'router', signal.SIGKILL)
        thread.join()
        self.assertTrue(broken)
        retried = caller.chat(self.fleet.vms[3].url, 'season plan', 50)
        self.assertTrue(
            is_complete_answer(retried.data, 50), retried.data[-200:]
        )
        self.fleet.start_router(vm)
        self.fleet.wait_ready()
