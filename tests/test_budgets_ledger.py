"""Tests of ledger records and of holders' writes to them."""

import unittest

from fuchsiafork import budgets
from fuchsiafork.budgets.ledger import HolderRow, Transfer
from fuchsiafork.budgets.ledger_writes import (
    GrantRequest,
    HolderWrite,
    Settlement,
    apply_write,
)
from fuchsiafork.kernel import InvariantViolationError
from standins.store_model import StoreModel
from standins.virtual import VirtualClock

GIVER = 'a-1/keeper#i1'
RECEIVER = 'b-1/keeper#i1'


def granted_record() -> budgets.Record:
    """Return a record in which each of two holders has 40 of 100 tokens."""
    record = budgets.open_budget(budgets.Record(), 'x', 100)
    for holder in (GIVER, RECEIVER):
        write = HolderWrite(holder, holder[0], 1, 1000)
        write.grant_requests['x'] = GrantRequest(0, 40, 0)
        record = apply_write(record, write)
    return record


def settle(
    request: str,
    key: str,
    holder: str = GIVER,
    tokens: int = 10,
) -> Settlement:
    """Return a settlement of budget x."""
    return Settlement(request, 'x', holder, tokens, key, 'a-2/router')


class TestTopUps(unittest.TestCase):
    """Credits by operators and by the configuration."""

    def test_racing_top_ups_count_once_each(self) -> None:
        """Guards against a credit lost or added twice by a race or a retry."""
        store = StoreModel(VirtualClock().now)
        key = budgets.ledger_key('x')
        stale = store.read(key)
        for change in ('one', 'two', 'one'):
            revision, encoded = stale
            while True:
                record = budgets.decode_record(encoded)
                changed = budgets.top_up(record, 'x', 50, change)
                value = budgets.encode_record(changed)
                if store.swap(key, revision, value)[0]:
                    break
                revision, encoded = store.read(key)
        record = budgets.decode_record(store.read(key)[1])
        self.assertEqual(record.budgets['x'].prepaid, 100)

    def test_opening_credit_is_given_once(self) -> None:
        """Guards against an opening credit at each start of a keeper."""
        record = budgets.open_budget(granted_record(), 'x', 100)
        for number in range(70):
            record = budgets.top_up(record, 'x', 1, f'c{number}')
        record = budgets.open_budget(record, 'x', 100)
        self.assertEqual(record.budgets['x'].prepaid, 170)
        self.assertEqual(len(record.budgets['x'].changes), 64)

    def test_only_closed_holders_are_released(self) -> None:
        """Guards against a release of tokens of a holder that still runs."""
        record = granted_record()
        with self.assertRaises(ValueError):
            budgets.release(record, 'x', GIVER, 'c1')
        record.closed[GIVER] = HolderRow(1, 'a')
        after = budgets.release(record, 'x', GIVER, 'c1')
        self.assertEqual(after.budgets['x'].free, 60)


class TestWrites(unittest.TestCase):
    """Effects of a holder's write on a record."""

    def test_empty_budget_without_demand(self) -> None:
        """Guards against a division by zero when no forecast has demand."""
        write = HolderWrite(GIVER, 'a', 1, 1000, openings={'x': 0})
        write.grant_requests['x'] = GrantRequest(
            0, 0, 0, is_domain_primary=True
        )
        record = apply_write(budgets.Record(), write)
        self.assertEqual(record.budgets['x'].grants, {})

    def test_record_round_trip(self) -> None:
        """Guards against a field lost in encoding."""
        write = HolderWrite(GIVER, 'a', 2, 1000)
        write.settlements = [settle('r1', 'k')]
        write.transfers['t'] = Transfer('x', GIVER, RECEIVER, 5)
        write.close_outs = [RECEIVER]
        record = apply_write(granted_record(), write)
        encoded = budgets.encode_record(record)
        self.assertEqual(budgets.decode_record(encoded), record)

    def test_second_execution_of_a_key_is_a_duplicate(self) -> None:
        """Guards against a request billed twice, or a repeat charged again."""
        record = granted_record()
        names = ('r1', 'r2', 'r1', 'r2')
        rows = [settle(name, 'k') for name in names]
        for number, row in enumerate(rows, 2):
            write = HolderWrite(GIVER, 'a', number, 1000, settlements=[row])
            record = apply_write(record, write)
        row = record.budgets['x']
        self.assertEqual((row.settled, row.duplicate), (10, 10))
        self.assertEqual(row.grants[GIVER], 20)

    def test_transfer_moves_once_whichever_side_writes_first(self) -> None:
        """Guards against a transfer that is applied twice."""
        for order in ((GIVER, RECEIVER), (RECEIVER, GIVER)):
            record = granted_record()
            for holder in order:
                write = HolderWrite(holder, holder[0], 2, 1000)
                write.transfers['t'] = Transfer('x', GIVER, RECEIVER, 15)
                record = apply_write(record, write)
            grants = record.budgets['x'].grants
            self.assertEqual((grants[GIVER], grants[RECEIVER]), (25, 55))
            self.assertFalse(record.transfers)

    def test_zombie_write_after_close_out_fails(self) -> None:
        """Guards against a closed-out holder that uses tokens of others."""
        write = HolderWrite(GIVER, 'a', 2, 1000, close_outs=[RECEIVER])
        write.withheld[RECEIVER, 'x'] = 7
        record = apply_write(granted_record(), write)
        self.assertEqual(record.budgets['x'].grants[RECEIVER], 7)
        with self.assertRaises(ValueError):
            apply_write(record, HolderWrite(RECEIVER, 'b', 2, 1000))

    def test_check_fires_when_grants_exceed_prepaid(self) -> None:
        """Negative control of the ledger's invariant."""
        record = granted_record()
        record.budgets['x'].grants[GIVER] += 21
        with self.assertRaises(InvariantViolationError):
            apply_write(record, HolderWrite(GIVER, 'a', 2, 1000))

    def test_check_fires_when_negative_grants_hide_spend(self) -> None:
        """Negative control of the check on settled tokens alone."""
        record = granted_record()
        write = HolderWrite(GIVER, 'a', 2, 1000)
        write.settlements = [settle('r', 'k', tokens=101)]
        with self.assertRaises(InvariantViolationError):
            apply_write(record, write)
