"""Random draws, lost answers, cancellations and deaths of holders."""

import random
import unittest

from fuchsiafork.prepaid import TokenAllocator
from fuchsiafork.prepaid.draw_records import DrawRecords
from standins.virtual import VirtualClock
from tests.prepaid_case import PREPAID, Record, make_allocator, sync_once

SEEDS = range(20)
STEPS = 1200
MAX_REQUEST_TOKENS = 4000
HOLDERS = ('a', 'b')


class _Fleet:
    """Two holders and one VM that draws; counts the actual spending."""

    def __init__(self, seed: int, *, double_cancel: bool = False) -> None:
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.record = Record()
        self.spent = 0
        self.drawn = 0
        self.starts = 0
        self.double_cancel = double_cancel
        self.unanswered: list[tuple[str, str, int]] = []
        self.holders: dict[str, TokenAllocator] = {}
        self.draw_records: dict[str, DrawRecords] = {}
        for name in HOLDERS:
            self.start_holder(name)
        self.client = make_allocator('c#1', self.clock)
        self.client.holding = False

    def start_holder(self, name: str) -> None:
        """Start a process of a holder; an earlier one ends."""
        self.starts += 1
        holder = make_allocator(f'{name}#{self.starts}', self.clock)
        self.holders[name] = holder
        self.draw_records[name] = DrawRecords(self.clock)
        sync_once(holder, self.record)

    def draw(self, *, answered: bool) -> None:
        """Draw the tokens of a request, which then spends a part of them."""
        name = self.rng.choice(HOLDERS)
        tokens = self.rng.randint(1, MAX_REQUEST_TOKENS)
        holder = self.holders[name]
        reservation = holder.reserve('acme', tokens)
        if reservation is None:
            return
        holder.settle(reservation, tokens)
        self.drawn += 1
        draw_id = str(self.drawn)
        self.draw_records[name].record(draw_id, 'acme', tokens)
        if not answered:
            self.unanswered.append((name, draw_id, tokens))
            return
        self.client.transfer_in('acme', tokens)
        request = self.client.reserve('acme', tokens)
        if request is None:
            return
        cost = self.rng.randint(0, tokens)
        self.client.settle(request, cost)
        self.spent += cost

    def cancel(self) -> None:
        """Cancel a draw without an answer, at times twice."""
        if not self.unanswered:
            return
        name, draw_id, tokens = self.unanswered.pop()
        holder = self.holders[name]
        for _ in range(self.rng.choice((1, 2))):
            given = self.draw_records[name].cancel(draw_id)
            if given is not None or self.double_cancel:
                holder.transfer_in('acme', tokens)

    def return_unused(self) -> None:
        """Return what the requests did not spend; the answer may be lost."""
        unused = self.client.withdraw_unused()
        holder = self.holders[self.rng.choice(HOLDERS)]
        for account, tokens in unused.items():
            holder.transfer_in(account, tokens)

    def step(self) -> None:
        """Do one thing at random."""
        self.clock.advance(self.rng.uniform(0, 0.2))
        choice = self.rng.random()
        if choice < 0.6:
            self.draw(answered=self.rng.random() < 0.6)
        elif choice < 0.8:
            self.cancel()
        elif choice < 0.88:
            self.return_unused()
        elif choice < 0.98:
            sync_once(self.rng.choice([*self.holders.values()]), self.record)
        else:
            self.start_holder(self.rng.choice(HOLDERS))


class TestDraws(unittest.TestCase):
    """What the requests of a VM without grants spend."""

    def spent(self, seed: int, *, double_cancel: bool = False) -> int:
        """Return the tokens spent in one run."""
        fleet = _Fleet(seed, double_cancel=double_cancel)
        for _ in range(STEPS):
            fleet.step()
        return fleet.spent

    def test_draws_never_overspend(self) -> None:
        """Guards against tokens that are given twice."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertLessEqual(self.spent(seed), PREPAID)

    def test_control_overspends(self) -> None:
        """Guards against a load that could not overspend."""
        spent = max(self.spent(seed, double_cancel=True) for seed in SEEDS)
        self.assertGreater(spent, PREPAID)
