"""Tests of the ledger record, the token allocator and transfers."""

import unittest

from fuchsiafork.kernel.errors import StoreFormatError
from fuchsiafork.prepaid import (
    AccountEntry,
    Ledger,
    decode_ledger,
    encode_ledger,
)
from fuchsiafork.prepaid.ledger import (
    RAMP_END_S,
    RAMP_START_S,
    ClockReading,
    Holder,
    Share,
)
from standins.virtual import VirtualClock
from tests.prepaid_case import PREPAID, Record, make_allocator, sync_once


class TestLedger(unittest.TestCase):
    """Serialization of the ledger record."""

    def test_round_trip(self) -> None:
        """Guards against data lost between encoding and decoding."""
        ledger = Ledger(
            {'acme': AccountEntry(7, {'a#1': Share(10, 5, 2, 1)})},
            {
                'a#1': Holder(3, ClockReading(12.5, 4.25), '10.0.0.1:7000'),
                'b#1': Holder(1, ClockReading(9.5, 4.0, 9.25), '10.0.0.2:7000'),
            },
        )
        self.assertEqual(decode_ledger(encode_ledger(ledger)), ledger)

    def test_malformed(self) -> None:
        """Guards against treating a malformed record as an empty one."""
        for value in (b'{', b'[]', b'{"accounts": {"a": 3}}'):
            with self.assertRaises(StoreFormatError):
                decode_ledger(value)

    def test_empty(self) -> None:
        """Guards against a failing first start, when no record exists."""
        self.assertEqual(decode_ledger(b''), Ledger())


class TestTokenAllocator(unittest.TestCase):
    """Reservations and settlements of one process."""

    def setUp(self) -> None:
        """Start one process with a grant."""
        self.clock = VirtualClock()
        self.record = Record()
        self.allocator = make_allocator('a#1', self.clock)
        sync_once(self.allocator, self.record)

    def test_reserves_only_within_the_grant(self) -> None:
        """Guards against spending tokens that the ledger did not grant."""
        available = self.allocator.available('acme')
        self.assertGreater(available, 0)
        self.assertIsNone(self.allocator.reserve('acme', available + 1))
        self.assertIsNotNone(self.allocator.reserve('acme', available))
        self.assertEqual(self.allocator.available('acme'), 0)

    def test_settles_once_and_at_most_the_reservation(self) -> None:
        """Guards against billing a request twice or above its reservation."""
        before = self.allocator.available('acme')
        reservation = self.allocator.reserve('acme', 500)
        assert reservation is not None
        self.allocator.settle(reservation, 9000)
        self.allocator.settle(reservation, 400)
        self.assertEqual(self.allocator.available('acme'), before - 500)
        sync_once(self.allocator, self.record)
        self.assertEqual(self.record.read()[0].entry('acme').spent, 500)

    def test_lost_response_to_a_stored_write(self) -> None:
        """Guards against settling the same tokens twice."""
        reservation = self.allocator.reserve('acme', 300)
        assert reservation is not None
        self.allocator.settle(reservation, 300)
        ledger, revision = self.record.read()
        self.allocator.apply_record(ledger, revision)
        self.allocator.plan_write(ledger, revision)
        self.record.swap(revision, ledger)
        sync_once(self.allocator, self.record)
        self.assertEqual(self.record.read()[0].entry('acme').spent, 300)

    def test_delayed_write_conflicts_with_a_newer_one(self) -> None:
        """Guards against a delayed write that grants tokens twice."""
        delayed, revision = self.record.read()
        self.allocator.apply_record(delayed, revision)
        self.allocator.plan_write(delayed, revision)
        self.assertTrue(sync_once(self.allocator, self.record))
        self.assertFalse(self.record.swap(revision, delayed))
        granted = self.record.read()[0].entry('acme').share('a#1').grant
        self.assertGreaterEqual(granted, self.allocator.available('acme'))

    def test_lowered_budget_stops_spending_until_the_next_write(self) -> None:
        """Guards against grants of a budget that the operator has lowered."""
        self.allocator.set_prepaid({'acme': 10})
        self.assertEqual(self.allocator.available('acme'), 0)
        sync_once(self.allocator, self.record)
        self.assertLessEqual(self.allocator.available('acme'), 10)

    def test_shutdown_returns_the_grant(self) -> None:
        """Guards against withholding tokens after a planned stop."""
        self.allocator.begin_shutdown()
        sync_once(self.allocator, self.record)
        entry = self.record.read()[0].entry('acme')
        self.assertEqual(entry.free(PREPAID), PREPAID)

    def test_whole_grant_becomes_spendable(self) -> None:
        """Guards against permanent refusals while the store is unavailable."""
        share = self.record.read()[0].entry('acme').share('a#1')
        self.assertLess(self.allocator.available('acme'), share.grant)
        self.clock.advance(RAMP_END_S + 0.1)
        self.assertEqual(self.allocator.available('acme'), share.grant)

    def test_spendable_tokens_ramp_up_without_the_store(self) -> None:
        """Guards against seconds of refusals despite an unused grant."""
        grant = self.record.read()[0].entry('acme').share('a#1').grant
        self.clock.advance(RAMP_START_S)
        self.assertLess(self.allocator.available('acme'), grant / 2)
        self.clock.advance((RAMP_END_S - RAMP_START_S) / 2)
        self.assertGreater(self.allocator.available('acme'), grant / 2)

    def test_exhausted_only_by_settled_tokens(self) -> None:
        """Guards against a final refusal while grants may become free again."""
        self.assertFalse(self.allocator.exhausted('acme', PREPAID))
        self.assertTrue(self.allocator.exhausted('acme', PREPAID + 1))


class TestTransfer(unittest.TestCase):
    """Transfers of tokens between VMs."""

    def setUp(self) -> None:
        """Start two processes with grants."""
        self.clock = VirtualClock()
        self.record = Record()
        self.sender = make_allocator('a#1', self.clock)
        self.receiver = make_allocator('b#1', self.clock)
        sync_once(self.sender, self.record)
        sync_once(self.receiver, self.record)

    def test_write_order_does_not_change_the_sum(self) -> None:
        """Guards against transfers that create tokens."""
        for first, second in (
            (self.sender, self.receiver),
            (self.receiver, self.sender),
        ):
            transferred = self.sender.transfer_out('acme', 100)
            self.receiver.transfer_in('acme', transferred)
            sync_once(first, self.record)
            sync_once(second, self.record)
            entry = self.record.read()[0].entry('acme')
            self.assertGreaterEqual(entry.free(PREPAID), 0)
            self.assertEqual(entry.spent, 0)

    def test_transfers_only_available_tokens(self) -> None:
        """Guards against transferring reserved tokens."""
        available = self.sender.available('acme')
        self.assertLessEqual(
            self.sender.transfer_out('acme', PREPAID), available
        )
        self.assertEqual(self.sender.available('acme'), 0)
        self.assertEqual(self.sender.transfer_out('acme', 1), 0)

    def test_peers_by_grant(self) -> None:
        """Guards against requesting tokens from VMs without a grant."""
        sync_once(self.receiver, self.record)
        self.assertEqual(self.receiver.peers_by_grant('acme'), ['a#1:1'])
