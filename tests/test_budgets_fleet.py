"""Tests of holders and routers under each failure mode of the design page."""

import unittest
from unittest import mock

from fuchsiafork import budgets
from fuchsiafork.budgets.holder import HolderSystem
from fuchsiafork.budgets.tables import HolderTables
from fuchsiafork.kernel import InvariantViolationError
from measurements.budgets_ends import Request
from measurements.budgets_fleet import Fleet
from standins.virtual import Faults

LAYOUT = {'a': 3, 'b': 2}
PREPAID = 20_000


class FleetCase(unittest.TestCase):
    """A fleet with one budget, whose target counts the tokens used."""

    def setUp(self) -> None:
        self.fleet = Fleet(LAYOUT, {'x': PREPAID}, seed=7, faults=Faults())
        self.requests: list[Request] = []
        self.fleet.run(3)

    def send_requests(
        self, seconds: float, tokens: int = 300, **fields
    ) -> None:
        """Send ten requests a second from all routers."""
        vms = fields.get('vms') or list(self.fleet.routers)
        for number in range(int(seconds * 10)):
            request = Request(
                len(self.requests),
                self.fleet.clock.now(),
                vms[number % len(vms)],
                'x',
                tokens,
                tokens // 2,
                fields.get('duration', 0.7),
            )
            self.requests.append(request)
            self.fleet.call(request)
            self.fleet.run(0.1)

    def settled(self) -> int:
        """Return the tokens settled in the ledger, duplicates included."""
        row = self.fleet.rows()['x']
        return row.settled + row.duplicate

    def assert_spend_settled(self) -> None:
        """Check that all tokens used were prepaid and are settled once."""
        self.assertLessEqual(self.fleet.target.spent['x'], PREPAID)
        self.assertGreater(self.fleet.served, 10)
        self.assertEqual(self.settled(), self.fleet.target.spent['x'])

    def tables(self, vm: str) -> HolderTables:
        """Return the tables of a VM's holder."""
        return self.fleet.keepers[vm].holder.tables

    def vm_with_reservation(self, not_on: str = '') -> str:
        """Return the VM of a keeper that holds a reservation."""
        return next(
            vm
            for vm, keeper in self.fleet.keepers.items()
            if keeper.holder.tables.reservations and vm != not_on
        )


class TestMessagesAndAnswers(FleetCase):
    """Lost, duplicated and reordered messages and answers."""

    def test_lost_answers_of_writes(self) -> None:
        """Guards against repeating a write whose answer was lost."""
        self.fleet.network.faults.store_lost_answer = 0.5
        self.send_requests(20)
        self.fleet.network.faults.store_lost_answer = 0
        self.fleet.run(20)
        self.assert_spend_settled()

    def test_lossy_links(self) -> None:
        """Guards against wrong settlements after lost or duplicate messages."""
        self.fleet.network.faults.drop = 0.15
        self.fleet.network.faults.duplicate = 0.4
        self.fleet.network.faults.delay_s = (0.001, 0.4)
        self.send_requests(20)
        self.fleet.run(30)
        self.assert_spend_settled()
        self.assertFalse(
            any(r.reservation_tracker.unsettled for r in self.routers())
        )

    def routers(self) -> list:
        """Return the running routers."""
        return list(self.fleet.routers.values())

    def test_settlement_is_durable_only_after_the_write(self) -> None:
        """Guards against a router that drops an unwritten settlement."""
        self.send_requests(2)
        self.fleet.network.faults.store_down = True
        self.send_requests(3)
        self.fleet.run(5)
        self.assertTrue(
            any(r.reservation_tracker.unsettled for r in self.routers())
        )
        self.fleet.network.faults.store_down = False
        self.fleet.run(10)
        self.assertFalse(
            any(r.reservation_tracker.unsettled for r in self.routers())
        )
        self.assert_spend_settled()


class TestHolders(FleetCase):
    """Paused and dead holders, and dead routers."""

    def test_paused_holder_past_its_lease(self) -> None:
        """Guards against a holder that reserves after its close-out."""
        self.send_requests(3)
        vm = self.vm_with_reservation()
        old = self.tables(vm).holder
        self.fleet.network.pause(f'{vm}/keeper')
        self.send_requests(25)
        self.fleet.network.resume(f'{vm}/keeper')
        self.send_requests(10)
        self.fleet.run(30)
        renewed = self.tables(vm).holder
        self.assertEqual(renewed, f'{old}+1')
        self.assert_spend_settled()

    def resume_paused_holder_in_outage(self) -> None:
        """Pause a holder past its lease; resume it while the store is down."""
        self.send_requests(3, tokens=100)
        vm = self.vm_with_reservation()
        self.fleet.network.pause(f'{vm}/keeper')
        self.fleet.run(30)
        self.send_requests(20, tokens=1200, vms=['b-0', 'b-1'])
        self.fleet.network.faults.store_down = True
        self.fleet.network.resume(f'{vm}/keeper')
        self.send_requests(30, tokens=600)
        self.fleet.network.faults.store_down = False
        self.fleet.run(30)

    def test_closed_holder_stays_stopped_without_the_store(self) -> None:
        """Guards against a closed-out holder that resumes unconfirmed."""
        self.resume_paused_holder_in_outage()
        self.assertLessEqual(self.fleet.target.spent['x'], PREPAID)

    def test_overspend_shows_without_pause_detection(self) -> None:
        """Negative control: without pause detection the budget is exceeded."""
        with mock.patch.object(
            HolderSystem, '_check_for_pause', lambda system: None
        ):
            try:
                self.resume_paused_holder_in_outage()
            except InvariantViolationError:
                return
        self.assertGreater(self.fleet.target.spent['x'], PREPAID)

    def test_dead_holder_is_closed_out(self) -> None:
        """Guards against tokens withheld forever, and lost settlements."""
        self.send_requests(3, duration=4)
        vm = self.vm_with_reservation()
        self.fleet.network.kill(f'{vm}/keeper')
        self.fleet.keepers.pop(vm)
        self.fleet.run(60)
        self.assert_spend_settled()
        self.assertEqual(self.fleet.withheld(), 0)

    def test_dead_router_is_settled_from_target_records(self) -> None:
        """Guards against tokens used that are never settled."""
        self.send_requests(3, duration=3)
        self.fleet.network.kill('a-0/router')
        self.fleet.routers.pop('a-0')
        self.fleet.run(40)
        self.assert_spend_settled()
        held = [
            keeper.holder.tables.reservations
            for keeper in self.fleet.keepers.values()
        ]
        self.assertFalse(any(held))

    def test_dead_router_and_holder_on_two_vms(self) -> None:
        """Guards against releasing tokens that a lost router may have used."""
        self.send_requests(3, duration=20)
        holder = self.vm_with_reservation(not_on='a-0')
        reservations = self.tables(holder).reservations
        router = next(iter(reservations.values())).router
        self.fleet.kill(holder)
        self.fleet.kill(router.partition('/')[0])
        self.fleet.run(60)
        withheld = self.fleet.withheld()
        spent = self.fleet.target.spent['x']
        self.assertGreaterEqual(withheld, spent - self.settled())
        self.assertGreater(withheld, 0)
        key = budgets.ledger_key('x')
        revision, encoded = self.fleet.store.read(key)
        record = budgets.decode_record(encoded)
        for name in record.closed:
            record = budgets.release(record, 'x', name, f'release {name}')
        value = budgets.encode_record(record)
        self.assertTrue(self.fleet.store.swap(key, revision, value)[0])
        self.assertEqual(self.fleet.withheld(), 0)
