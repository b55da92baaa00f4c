"""The key-value service is down, and the configuration goes on."""

import json
import signal
import threading
import time
from typing import Any, ClassVar

import urllib3

from fuchsiafork.configuration import parse_document
from fuchsiafork.kernel import rank
from standins.deployment import CallerClient, apply_sections, base_sections
from standins.fleet import ProcessFleet, Vm, document_text, make_vms
from standins.load_generator import read_records
from tests.process_fault_case import FaultCase, grants_of

# Longer than the lease of 5 s.
OUTAGE_S = 7.0
IN_FORCE_S = 5.0
# 1.5 s to be seen leaving, 5 s to hand money back, 2 s of a store call.
END_S = 10.0
# Start of a process and the first answer of a peer.
RESTART_S = 6.0
# A claim's removal and a write are tried again at growing intervals.
RETRIES_S = 10.0
# Lease of 5 s, quarantine of 10 s, and the time of the close-out itself.
CLOSED_S = 20.0


class RevisionWatch:
    """Reads the revision in force on every process again and again."""

    def __init__(self, vms: list[Vm]) -> None:
        """Watch the keeper and the router of each VM."""
        self.seen: dict[str, list[tuple[float, str, int]]] = {}
        self._pool = urllib3.PoolManager(retries=False, timeout=1)
        self._addresses = [
            address
            for vm in vms
            for address in (vm.keeper_admin, vm.router_admin)
        ]
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopped.set()
        self._thread.join(10)

    def status(self, address: str) -> dict[str, Any]:
        """Return what a process says of itself, nothing if it is away."""
        url = f'http://{address}/status'
        try:
            return self._pool.request('GET', url).json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return {}

    def wait_for(self, revision: int, timeout_s: float) -> float:
        """Return the seconds until a revision is in force everywhere."""
        started = time.monotonic()
        waiting = set(self._addresses)
        while waiting and time.monotonic() - started < timeout_s:
            waiting = {
                one
                for one in waiting
                if self.status(one).get('revision', 0) < revision
            }
            time.sleep(0.02)
        return time.monotonic() - started

    def reverted(self) -> list[str]:
        """Return the processes whose revision went down while ready."""
        found = []
        for address, rows in self.seen.items():
            revisions = [revision for _, _, revision in rows]
            if revisions != sorted(revisions):
                found.append(address)
        return found

    def _run(self) -> None:
        """Note what ready processes have in force."""
        while not self._stopped.wait(0.05):
            for address in self._addresses:
                status = self.status(address)
                if status.get('ready'):
                    self.seen.setdefault(address, []).append((
                        time.monotonic(),
                        status['incarnation'],
                        status['revision'],
                    ))


class TestOutage(FaultCase):
    """The store fails for longer than a lease; a keeper restarts in it."""

    in_force_s: ClassVar[float]
    restart_s: ClassVar[float]
    outage: ClassVar[tuple[float, float]]
    refused: ClassVar[list[dict[str, Any]]]
    runs_in_outage: ClassVar[int]
    orders_after: ClassVar[set[tuple[int, str]]]
    watch: ClassVar[RevisionWatch]
    held: ClassVar[dict[str, int]]
    left: ClassVar[dict[str, int]]
    killed_at: ClassVar[float]

    @classmethod
    def setUpClass(cls) -> None:
        """Change the configuration, take the store down, kill a keeper."""
        vms = make_vms(['a', 'b'], 2)
        cls.start(ProcessFleet(vms), {'bakers': 2_000_000}, services=1)
        cls.watch = RevisionWatch(vms)
        cls.addClassCleanup(cls.watch.stop)
        cls.load.start()
        time.sleep(1)
        cls.in_force_s = cls.change(50)
        cls.set_down(down=True)
        started = time.monotonic()
        cls.held = grants_of(cls.fleet, 'a-1/keeper')
        cls.fleet.signal(cls.vm('a-1'), 'keeper', signal.SIGKILL)
        cls.killed_at = time.monotonic()
        cls.fleet.processes['a-1/keeper'].wait(5)
        cls.fleet.start_keeper(cls.vm('a-1'))
        cls.restart_s = cls.wait_ready(cls.vm('a-1').keeper_admin)
        time.sleep(max(0, started + OUTAGE_S - 2 - time.monotonic()))
        cls.refused = [
            json.loads(answer.data)['error'] for answer in cls.order()
        ]
        cls.runs_in_outage = cls.runs()
        time.sleep(max(0, started + OUTAGE_S - time.monotonic()))
        cls.set_down(down=False)
        cls.outage = (started, time.monotonic())
        cls.change(60)
        cls.orders_after = cls.retry_orders()
        cls.wait_closed()
        cls.load.stop()

    @classmethod
    def change(cls, timeout_s: int) -> float:
        """Return the seconds until a change is in force everywhere."""
        sections = base_sections(cls.targets, cls.budgets)
        sections['route:assistant']['timeout_s'] = str(timeout_s)
        made = apply_sections(cls.fleet.store.url, sections)
        return cls.watch.wait_for(made.revision, 2 * IN_FORCE_S)

    @classmethod
    def set_down(cls, *, down: bool) -> None:
        """Switch the store off or on."""
        urllib3.PoolManager().request(
            'POST', f'{cls.fleet.store.url}/faults', json={'down': down}
        )

    @classmethod
    def wait_ready(cls, address: str) -> float:
        """Return the seconds until a process is ready with a revision."""
        started = time.monotonic()
        while time.monotonic() - started < 2 * RESTART_S:
            if cls.watch.status(address).get('ready'):
                break
            time.sleep(0.05)
        return time.monotonic() - started

    @classmethod
    def wait_closed(cls) -> None:
        """Return when the killed holder's money is back, in bounded time."""
        while time.monotonic() < cls.killed_at + CLOSED_S:
            now = grants_of(cls.fleet, 'a-1/keeper')
            cls.left = {holder: now.get(holder, 0) for holder in cls.held}
            if not any(cls.left.values()):
                break
            time.sleep(0.2)

    @classmethod
    def order(cls) -> list[urllib3.BaseHTTPResponse]:
        """Return the answers to one order at each VM, under fixed keys."""
        caller = CallerClient('bakers')
        return [
            caller.order(vm.url, f'order-{vm.name}', {'sacks': 3})
            for vm in cls.fleet.vms
        ]

    @classmethod
    def retry_orders(cls) -> set[tuple[int, str]]:
        """Return how the orders were refused until all were answered."""
        found: set[tuple[int, str]] = set()
        deadline = time.monotonic() + RETRIES_S
        while True:
            refused = [
                json.loads(answer.data)['error']
                for answer in cls.order()
                if answer.status != 200
            ]
            found.update((one['code'], one['run_state']) for one in refused)
            if not refused or time.monotonic() > deadline:
                return found if not refused else {*found, (0, 'late')}
            time.sleep(0.2)

    @classmethod
    def runs(cls) -> int:
        """Return how many orders the services ran."""
        return sum(
            count
            for service in cls.targets.services.values()
            for key, count in service.keys.items()
            if key
        )

    @classmethod
    def paid_orders(cls) -> int:
        """Return what the orders that ran cost, at their flat price."""
        section = parse_document(
            document_text(base_sections(cls.targets, cls.budgets))
        ).routes['orders']
        return cls.runs() * section.tokens_per_call

    def test_change_is_in_force_in_time(self) -> None:
        """Guards against a process that works with old rules."""
        self.assertLess(self.in_force_s, IN_FORCE_S)

    def test_no_process_reverts(self) -> None:
        """Guards against a restart that brings an old revision back."""
        self.assertEqual(len(self.watch.seen), 2 * len(self.fleet.vms))
        self.assertEqual(self.watch.reverted(), [])

    def test_restarted_keeper_asks_its_peers(self) -> None:
        """Guards against a keeper that needs the store to start."""
        self.assertLess(self.restart_s, RESTART_S)

    def test_requests_go_on_from_grants(self) -> None:
        """Guards against an outage that stops what is already paid."""
        # The holder that a-2 uses has just started, see the next test.
        for name in ('a-1', 'b-1', 'b-2'):
            self.assertTrue(self.late_answers(name), name)

    def test_restarted_holder_gets_money_from_others(self) -> None:
        """Guards against refusals while other holders have money."""
        self.assertTrue(self.late_answers('a-2'))

    def late_answers(self, name: str) -> list[float]:
        """Return when a VM answered in the last 2 s of the outage."""
        started, ended = self.outage
        times = [one.ended_at for one in self.load.answered(name)]
        return [at for at in times if started + OUTAGE_S - 2 < at < ended]

    def test_orders_are_refused_and_not_run(self) -> None:
        """Guards against an order that runs without its claim."""
        found = {(one['code'], one['run_state']) for one in self.refused}
        self.assertEqual(found, {(2205, 'not_run')})
        self.assertEqual(self.runs_in_outage, 0)

    def test_refused_orders_run_once_afterwards(self) -> None:
        """Guards against a refusal that takes its key with it."""
        self.assertLessEqual({run for _, run in self.orders_after}, {'not_run'})
        keys = [f'order-{vm.name}' for vm in self.fleet.vms]
        services = self.targets.services.values()
        runs = {key: sum(one.keys[key] for one in services) for key in keys}
        self.assertEqual(runs, dict.fromkeys(keys, 1))

    def test_money_of_the_killed_holder_comes_back(self) -> None:
        """Guards against grants that stay withheld without a reason."""
        closed = {
            name
            for record in read_records(self.fleet.store)
            for name in record.closed
        }
        self.assertLessEqual(set(self.held), closed)
        self.assertTrue(any(self.held.values()))
        for holder, tokens in self.left.items():
            keepers = ['a-1/keeper', 'a-2/keeper']
            first = rank(f'holder:{holder}', keepers)[0]
            # The restarted keeper cannot know every router of its
            # predecessor; docs/budgets.md has the money stay withheld.
            if first == 'a-2/keeper':
                self.assertEqual(tokens, 0, holder)

    def test_answers_are_whole(self) -> None:
        """Guards against answers that a fault truncates or crosses."""
        self.check_answers()

    def test_each_request_is_billed_once(self) -> None:
        """Guards against money that is spent twice or not billed."""
        self.check_billing(self.paid_orders())
        self.check_targets()

    def test_watching_keeper_ends(self) -> None:
        """Guards against a watch on the head that outlives its program."""
        # The last test by name, as it ends a whole failure domain.
        vms = [self.vm('b-1'), self.vm('b-2')]
        for vm in vms:
            self.fleet.signal(vm, 'router', signal.SIGKILL)
        for vm in vms:
            self.fleet.signal(vm, 'keeper', signal.SIGTERM)
        for vm in vms:
            process = self.fleet.processes[f'{vm.name}/keeper']
            self.assertEqual(process.wait(END_S), 0)
