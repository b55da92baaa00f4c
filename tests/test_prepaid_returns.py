"""Prepaid tokens while the record comes back from older copies."""

import random
import unittest

from fuchsiafork.prepaid import (
    Ledger,
    TokenAllocator,
    decode_ledger,
    encode_ledger,
)
from standins.virtual import VirtualClock
from tests.prepaid_case import PREPAID, Record, make_allocator

SEEDS = range(25)
STEPS = 250
STEP_S = 0.05
VMS = 4
# Steps between two writes of a holder, on average.
WRITE_STEPS = 25
# Steps for which the record may go back.
LARGEST_LOSS = 120
# Tokens.
LARGEST_REQUEST = 1500
# Rounds of writes and spending in which an account is used up at the end.
FINAL_ROUNDS = 100
REQUESTS_AT_END = 4


class _Fleet:
    """
    Processes that spend tokens of one account as fast as they may.

    :ivar spent: tokens that requests have used.
    """

    def __init__(self, seed: int, *, forgetful: bool = False) -> None:
        """
        Start the processes.

        :param forgetful: whether processes take each record as it is, with
            what they have settled themselves.
        """
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.record = Record()
        self.era = 0
        self.spent = 0
        self._forgetful = forgetful
        self._starts = 0
        self.copies: list[tuple[bytes, int]] = []
        self.processes = [self._start(vm) for vm in range(VMS)]

    def _start(self, vm: int) -> TokenAllocator:
        """Start a process on a VM."""
        self._starts += 1
        return make_allocator(f'vm{vm}#{self._starts}', self.clock)

    def step(self) -> None:
        """Let one thing happen."""
        self.clock.advance(STEP_S)
        self.copies.append((self.record.value, self.record.revision))
        process = self.rng.choice(self.processes)
        self.spend(process)
        if self.rng.random() < VMS / WRITE_STEPS:
            self.write(process)
        if self.rng.random() < 0.1:
            giver = self.rng.choice(self.processes)
            if giver is not process:
                process.transfer_in('acme', giver.transfer_out('acme', 300))

    def spend(self, process: TokenAllocator) -> None:
        """Serve one request, whose cost is below its reservation."""
        tokens = self.rng.randrange(1, LARGEST_REQUEST)
        reservation = process.reserve('acme', tokens)
        if reservation is not None:
            cost = self.rng.randrange(tokens + 1)
            process.settle(reservation, cost)
            self.spent += cost

    def write(self, process: TokenAllocator) -> None:
        """Read and write the record; the outcome may stay unknown."""
        ledger, revision = self.record.read()
        if self._forgetful:
            process._last_ledger = None
            share = ledger.entry('acme').share(process._holder)
            for state in process._states.values():
                state.settled = share.settled
        else:
            process.start_era(self.era)
        process.apply_record(ledger, revision)
        change = process.plan_write(ledger, revision)
        outcome = self.rng.random()
        if outcome < 0.05:
            return
        if self.record.swap(revision, ledger) and outcome > 0.1:
            process.confirm_write(change, ledger)

    def go_back(self) -> None:
        """Replace the record by an older copy, whose revision counts on."""
        copy = self.rng.choice(self.copies[-LARGEST_LOSS:])
        self.record.value, self.record.revision = copy
        self.copies.clear()
        self.era += 1

    def kill(self) -> None:
        """
        Start a process anew, once another VM has read its last write.

        What a process wrote last and nobody has read can't be known.
        """
        vm = self.rng.randrange(VMS)
        self.write(self.processes[vm - 1])
        self.processes[vm] = self._start(vm)

    def use_up(self) -> None:
        """Spend all that can be obtained."""
        for _ in range(FINAL_ROUNDS):
            self.clock.advance(STEP_S * VMS)
            for process in self.processes:
                for _ in range(REQUESTS_AT_END):
                    self.spend(process)
                self.write(process)


def _play(
    seed: int, *, returns: int = 2, kills: bool = False, forgetful: bool = False
) -> int:
    """Return the tokens spent while the record goes back some times."""
    fleet = _Fleet(seed, forgetful=forgetful)
    return_steps = fleet.rng.sample(range(STEPS), returns)
    for number in range(STEPS):
        fleet.step()
        if number in return_steps:
            fleet.go_back()
        if kills and fleet.rng.random() < 0.01:
            fleet.kill()
    fleet.use_up()
    return fleet.spent


class TestReturns(unittest.TestCase):
    """Random fleets whose record goes back."""

    def test_no_token_is_spent_twice(self) -> None:
        """Guards against tokens that are free again after a return."""
        for seed in SEEDS:
            for kills in (False, True):
                with self.subTest(seed=seed, kills=kills):
                    self.assertLessEqual(_play(seed, kills=kills), PREPAID)

    def test_control_spends_tokens_twice(self) -> None:
        """Guards against a check that finds nothing."""
        broken = [_play(seed, forgetful=True) > PREPAID for seed in SEEDS]
        self.assertGreater(sum(broken), len(SEEDS) / 2)

    def test_most_tokens_can_still_be_spent(self) -> None:
        """Guards against withholding an account for good."""
        spent = [_play(seed) for seed in SEEDS]
        self.assertGreater(min(spent), 0.9 * PREPAID)


class TestMerge(unittest.TestCase):
    """Two copies of one record."""

    def setUp(self) -> None:
        """Let a holder write twice, and keep both records."""
        self.clock = VirtualClock()
        self.record = Record()
        self.holder = make_allocator('a#1', self.clock)
        self.copies = [self.write(self.holder, spend=500) for _ in range(2)]

    def write(self, holder: TokenAllocator, spend: int) -> bytes:
        """Spend tokens, write the record and return it."""
        ledger, revision = self.record.read()
        holder.apply_record(ledger, revision)
        reservation = holder.reserve('acme', spend)
        if reservation is not None:
            holder.settle(reservation, spend)
        change = holder.plan_write(ledger, revision)
        self.record.swap(revision, ledger)
        holder.confirm_write(change, ledger)
        return self.record.value

    def merged(self, older: bytes, newer: bytes) -> Ledger:
        """Return an older record after the newer one was merged into it."""
        ledger = decode_ledger(older)
        ledger.merge(decode_ledger(newer))
        return ledger

    def test_newer_part_is_adopted(self) -> None:
        """Guards against settled tokens that are lost with a copy."""
        older, newer = self.copies
        merged = self.merged(older, newer)
        self.assertEqual(merged, decode_ledger(newer))
        self.assertEqual(merged, self.merged(newer, older))
        self.assertEqual(merged.entry('acme').spent, 500)

    def test_retired_holder_stays_retired(self) -> None:
        """Guards against grants of a process that ended long ago."""
        before = self.record.value
        successor = make_allocator('a#2', self.clock)
        self.clock.advance(2.0)
        self.write(successor, spend=0)
        merged = self.merged(before, self.record.value)
        self.assertEqual(list(merged.holders), ['a#2'])
        self.assertEqual(merged.entry('acme').spent, 500)

    def test_record_of_an_earlier_release_is_read(self) -> None:
        """Guards against losing what was spent before an update."""
        stored = (
            b'{"names":["a#0"],"accounts":{"acme":[700,[[0,50,1,1,1]]]},'
            b'"holders":{"a#0":[3,1.0,1.0,"a:1",0]}}'
        )
        ledger = decode_ledger(stored)
        self.assertEqual(ledger.entry('acme').spent, 700)
        self.assertEqual(ledger.entry('acme').share('a#0').grant, 50)
        self.assertEqual(decode_ledger(encode_ledger(ledger)), ledger)
