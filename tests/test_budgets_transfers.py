"""Tests of reservations and of transfers between holders."""

from unittest import mock

from fuchsiafork import messages
from fuchsiafork.budgets.tables import HolderTables, QueuedRequest
from fuchsiafork.budgets.transfers import TransferManager
from fuchsiafork.kernel import InvariantViolationError
from tests.test_budgets_fleet import FleetCase


class TestTransfers(FleetCase):
    """Transfers while the store is unreachable."""

    def create_shortage_in_outage(self) -> None:
        """Create a shortage in one domain while the store is down."""
        self.send_requests(3)
        self.fleet.network.faults.store_down = True
        self.send_requests(8, vms=['b-0', 'b-1'])

    def test_transfers_cover_demand_in_an_outage(self) -> None:
        """Guards against refusals while other holders have free tokens."""
        self.create_shortage_in_outage()
        self.assertFalse([r for r in self.fleet.refused if r.false])
        self.fleet.network.faults.store_down = False
        self.fleet.run(15)
        self.assert_spend_settled()
        self.assertFalse(
            any(k.holder.tables.transfers for k in self.keepers()),
        )

    def keepers(self) -> list:
        """Return the running keepers."""
        return list(self.fleet.keepers.values())

    def test_tokens_go_to_the_request_that_they_cover(self) -> None:
        """Guards against tokens kept for a request that they can't cover."""
        self.send_requests(1)
        self.fleet.run(5)
        tables = self.tables('a-0')
        state = tables.budgets['x']
        state.reserved += state.available(tables.holder) - 64
        request = messages.Reserve('r', 'x', 'acc', 66, 1, 'a-1')
        tables.waiting['r'] = QueuedRequest(request, 'a-1/router', 1e9)
        manager = self.fleet.keepers['a-0'].holder._transfer_manager
        receiver = self.tables('b-0').holder
        for name, tokens in (('all', 65), ('part', 22)):
            manager.serve_request(
                messages.AskTransfer(name, 'x', receiver, tokens)
            )
        self.assertEqual(list(tables.transfers), ['part'])

    def test_new_holder_receives_a_transfer(self) -> None:
        """Guards against an old record that lacks the requesting holder."""
        self.send_requests(1)
        tables = self.tables('a-0')
        receiver = self.tables('b-0').holder
        record = tables.budgets['x'].shard.record
        record.holders.pop(receiver)
        manager = self.fleet.keepers['a-0'].holder._transfer_manager
        manager.serve_request(messages.AskTransfer('new', 'x', receiver, 22))
        self.assertNotIn('new', tables.seen_transfers)
        self.fleet.run(0.25)
        self.assertIn('new', tables.seen_transfers)

    def test_new_shortage_starts_at_the_largest_grant(self) -> None:
        """Guards against a wait that ends before the largest grant is used."""
        self.send_requests(1)
        self.fleet.run(5)
        keeper = self.fleet.keepers['a-0']
        tables = keeper.holder.tables
        state = tables.budgets['x']
        state.reserved += state.available(tables.holder)
        request = messages.Reserve('r', 'x', 'acc', 66, 1, 'a-1')
        tables.waiting['r'] = QueuedRequest(request, 'a-1/router', 1e9)
        grants = dict(state.shard.record.budgets['x'].grants)
        grants.pop(tables.holder, None)
        largest_holder = max(grants, key=lambda name: grants[name])
        live = set(keeper.membership.live())
        state.requests_sent = 3
        keeper.outbox.drain()
        keeper.holder._transfer_manager.tick(
            set(keeper.membership.domains()), live
        )
        sends, _ = keeper.outbox.drain()
        self.assertEqual(sends[0].destination, largest_holder.partition('#')[0])

    def test_lost_transfers_are_never_credited_twice(self) -> None:
        """Guards against tokens lost or credited twice by lossy links."""
        self.fleet.network.faults.drop = 0.3
        self.fleet.network.faults.duplicate = 0.3
        self.create_shortage_in_outage()
        self.fleet.network.faults.store_down = False
        self.fleet.network.faults.drop = 0
        self.fleet.run(20)
        self.assert_spend_settled()
        row = self.fleet.rows()['x']
        self.assertGreaterEqual(row.free, 0)

    def test_check_fires_on_a_duplicate_credit(self) -> None:
        """Negative control: each copy of a transfer is credited."""
        accept = TransferManager.accept

        def accept_without_memory(
            manager: TransferManager, message: object
        ) -> None:
            manager._tables.seen_transfers.clear()
            accept(manager, message)

        self.fleet.network.faults.duplicate = 1
        with (
            mock.patch.object(TransferManager, 'accept', accept_without_memory),
            self.assertRaises(InvariantViolationError),
        ):
            self.create_shortage_in_outage()
            self.send_requests(12, vms=['b-0', 'b-1'])
            self.fleet.network.faults.store_down = False
            self.fleet.run(10)


class TestReservations(FleetCase):
    """Single reservations and their settlement."""

    def test_duplicate_reserve_messages_reserve_once(self) -> None:
        """Guards against a duplicate request that reserves twice."""
        self.send_requests(1)
        self.fleet.run(5)
        keeper = self.fleet.keepers['a-0']
        request = messages.Reserve('r', 'x', 'acc', 50, 1, 'a-1')
        for _ in range(3):
            keeper.receive(request, 'a-9/router', 'a-0/keeper')
            self.fleet.run(0.2)
        state = keeper.holder.tables.budgets['x']
        self.assertEqual(state.reserved, 50)
        settle = messages.Settle(
            'r', 'x', 'acc', keeper.holder.tables.holder, 900, 'r'
        )
        for late in (settle, request, settle):
            keeper.receive(late, 'a-9/router', 'a-0/keeper')
        self.assertEqual((state.reserved, state.unwritten_settlements), (0, 50))

    def test_tokens_freed_before_the_deadline_are_reserved(self) -> None:
        """Guards against refusing a request that its holder can cover."""
        self.send_requests(1)
        self.fleet.run(5)
        keeper = self.fleet.keepers['a-0']
        tables = keeper.holder.tables
        state = tables.budgets['x']
        state.reserved += state.available(tables.holder)
        for name in ('in time', 'too late'):
            request = messages.Reserve(name, 'x', 'acc', 50, 2, 'a-1')
            keeper.receive(request, 'a-9/router', 'a-0/keeper')
        state.reserved -= 50
        # The record was not read since, so the wait ends at the deadline.
        for wait in (1.05, 1.0):
            self.fleet.clock.advance(wait)
            keeper.holder._queue.serve()
            state.reserved -= 50
        self.assertIn('in time', tables.reservations)
        self.assertNotIn('too late', tables.reservations)

    def test_cancel_at_one_holder_does_not_settle_at_another(self) -> None:
        """Guards against a lost settlement when two holders reserved."""
        self.send_requests(1)
        keeper = self.fleet.keepers['a-0']
        own = keeper.holder.tables.holder
        for holder, tokens in ((own, 0), ('a-1/keeper#i9', 40)):
            message = messages.Settle('r', 'x', 'acc', holder, tokens, 'r')
            keeper.receive(message, 'a-9/router', 'a-0/keeper')
        sends, _ = keeper.outbox.drain()
        answers = [
            send.message.durable
            for send in sends
            if isinstance(send.message, messages.SettleAccepted)
        ]
        self.assertEqual(answers, [True, False])

    def test_late_reservation_is_not_used(self) -> None:
        """Guards against a request sent after its reservation expired."""
        reservation_tracker = self.fleet.routers['a-0'].reservation_tracker
        row = messages.Reserved('r', 'x', 'h#i', 5, 5)
        requested_at = self.fleet.clock.now()
        self.assertTrue(
            reservation_tracker.accept_reservation(row, 'acc', requested_at)
        )
        self.fleet.clock.advance(5)
        self.assertFalse(reservation_tracker.start('r', 'target'))
        self.assertFalse(
            reservation_tracker.accept_reservation(row, 'acc', requested_at - 5)
        )

    def test_overdraft_shows_when_grants_are_ignored(self) -> None:
        """Negative control: reservations that ignore the grants overdraw."""
        with (
            mock.patch.object(HolderTables, 'available', return_value=10**9),
            self.assertRaises(InvariantViolationError),
        ):
            self.send_requests(20, tokens=3000)
            self.fleet.run(10)
