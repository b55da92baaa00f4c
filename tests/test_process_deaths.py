"""Process tests of paused and killed keepers and a lost VM."""

import signal
import sys
import time
from typing import ClassVar

from fuchsiafork.budgets.ledger import check_record
from standins.fleet import ProcessFleet, Vm, make_vms
from standins.load_generator import read_records
from tests.process_fault_case import FaultCase, grants_of

# Lease of 5 s, quarantine of 10 s, and the time of the close-out itself.
KEEPER_PAUSE_S = 17.0
# 2 s without heartbeats until keys move to another owner, 5 s until the new
# owner can grant slots, 1 s until routers have connected.
SERVED_AGAIN_S = 8.0
RESTART_AFTER_S = 4.0
# A restarted keeper waits 15 s from its own start to close out its
# predecessor.
CLOSE_OUT_S = 19.0


class TestKeeperFailures(FaultCase):
    """One fault in each of three failure domains under load."""

    grants_before: ClassVar[dict[str, dict[str, int]]]
    closed_out: ClassVar[set[str]]
    affected: ClassVar[list[Vm]]
    faults_at: ClassVar[float]
    resumed_at: ClassVar[float]

    @classmethod
    def setUpClass(cls) -> None:
        """Pause a keeper, kill another, and kill a VM."""
        vms = [*make_vms(['a', 'b'], 2), *make_vms(['c'], 3)]
        cls.start(ProcessFleet(vms), {'bakers': 2_000_000, 'kiosk': 6_000})
        cls.load.start()
        time.sleep(3)
        paused, killed, lost = cls.affected = [
            cls.vm_with_largest_grants(domain) for domain in ('a', 'b', 'c')
        ]
        cls.grants_before = {
            vm.name: grants_of(cls.fleet, f'{vm.name}/keeper')
            for vm in (paused, killed, lost)
        }
        cls.fleet.signal(paused, 'keeper', signal.SIGSTOP)
        cls.fleet.signal(killed, 'keeper', signal.SIGKILL)
        cls.fleet.signal(lost, 'keeper', signal.SIGKILL)
        cls.fleet.signal(lost, 'router', signal.SIGKILL)
        cls.faults_at = time.monotonic()
        time.sleep(RESTART_AFTER_S)
        cls.fleet.start_keeper(killed)
        time.sleep(KEEPER_PAUSE_S - RESTART_AFTER_S)
        cls.closed_out = cls.closed_holders()
        cls.fleet.signal(paused, 'keeper', signal.SIGCONT)
        cls.resumed_at = time.monotonic()
        time.sleep(3)
        cls.load.stop()

    @classmethod
    def vm_with_largest_grants(cls, domain: str) -> Vm:
        """Return the VM of a domain whose keeper has the largest grants."""
        vms = [vm for vm in cls.fleet.vms if vm.domain == domain]
        return max(
            vms,
            key=lambda vm: sum(
                grants_of(cls.fleet, f'{vm.name}/keeper').values()
            ),
        )

    @classmethod
    def closed_holders(cls) -> set[str]:
        """Return the grant holders that are closed out."""
        records = read_records(cls.fleet.store)
        return {name for one in records for name in one.closed}

    def wait_closed_out(self, holders: set[str]) -> set[str]:
        """Wait for holders to be closed out; return all closed out by then."""
        closed = self.closed_holders()
        while not holders <= closed and time.monotonic() < (
            self.faults_at + RESTART_AFTER_S + CLOSE_OUT_S
        ):
            time.sleep(0.1)
            closed = self.closed_holders()
        return closed

    def test_answers_are_whole(self) -> None:
        """Guards against answers that a fault truncates or crosses."""
        self.check_answers()

    def test_each_request_is_billed_once(self) -> None:
        """Guards against tokens that are used twice or not billed."""
        self.check_billing()
        self.assertGreater(self.load.error_codes().get(2101, 0), 0)

    def test_no_engine_is_overfilled(self) -> None:
        """Guards against a new owner that grants slots still in use."""
        self.check_targets()

    def test_silent_holders_are_closed_out(self) -> None:
        """Guards against grants that stay with a dead or paused holder."""
        for name, held in self.grants_before.items():
            self.assertTrue(any(held.values()), name)
            self.assertLessEqual(
                set(held), self.wait_closed_out(set(held)), name
            )
        # Holders lost within a minute of each other may stay withheld, see
        # docs/budgets.md; test_process_outage loses a single one. Withheld
        # tokens must not be used as well.
        for record in read_records(self.fleet.store):
            check_record(record)

    def test_paused_holder_stops_before_it_goes_on(self) -> None:
        """Guards against a resumed holder that uses closed-out grants."""
        self.assertLessEqual(
            set(self.grants_before[self.affected[0].name]), self.closed_out
        )
        log = self.fleet.log(self.affected[0], 'keeper')
        self.assertLess(
            log.index('event=holder_paused'),
            log.index('event=holder_closed_out'),
        )

    def test_requests_are_served_again_in_time(self) -> None:
        """Guards against a VM that stays without a keeper or targets."""
        again: dict[str, float] = {}
        for vm in self.fleet.vms:
            if vm is self.affected[2]:
                continue
            times = sorted(one.ended_at for one in self.load.answered(vm.name))
            # Requests in flight at the time of the faults end within 2 s.
            after = [at for at in times if at > self.faults_at + 2]
            self.assertTrue(after, vm.name)
            again[vm.name] = round(after[0] - self.faults_at, 1)
            late = [at for at in times if at > self.resumed_at]
            self.assertTrue(late, vm.name)
        sys.stdout.write(f'\nserved again after seconds: {again}\n')
        self.assertLess(max(again.values()), SERVED_AGAIN_S, again)
