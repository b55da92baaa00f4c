"""A failure domain that is cut off, with a top-up in the middle."""

import time
from typing import ClassVar

from fuchsiafork.budgets import decode_record, ledger_key, top_up
from fuchsiafork.budgets.ledger import encode_record
from standins.fleet import make_vms
from standins.load_generator import read_ledger, read_records
from standins.partition_fleet import CutFleet
from tests.process_fault_case import FaultCase

# Longer than the lease of 5 s and the 2 s in which members are silent.
CUT_S = 7.0
HEAL_S = 6.0
TOP_UP = 500_000
BUDGETS = {'bakers': 1_000_000, 'kiosk': 3_000}


class TestCutDomain(FaultCase):
    """One of two failure domains is cut off from the other and the store."""

    cut: ClassVar[tuple[float, float]]
    writes: ClassVar[list[dict[str, int]]]

    @classmethod
    def setUpClass(cls) -> None:
        """Cut the domain off, top up a budget, and heal the cut."""
        cls.start(CutFleet(make_vms(['a', 'b'], 2)), dict(BUDGETS))
        fleet = cls.fleet
        assert isinstance(fleet, CutFleet)
        cls.load.start()
        time.sleep(2)
        started = time.monotonic()
        fleet.switch('b', is_open=False)
        time.sleep(CUT_S / 2)
        for name in BUDGETS:
            cls.add(name)
        cls.writes = [cls.sequences()]
        time.sleep(CUT_S / 2)
        cls.writes.append(cls.sequences())
        fleet.switch('b', is_open=True)
        cls.cut = (started, time.monotonic())
        time.sleep(HEAL_S)
        cls.load.stop()

    @classmethod
    def sequences(cls) -> dict[str, int]:
        """Return how often the holders of each domain have written."""
        found = {'a': 0, 'b': 0}
        for record in read_records(cls.fleet.store):
            for row in record.holders.values():
                found[row.domain] += row.sequence
        return found

    @classmethod
    def add(cls, budget: str) -> None:
        """Top a budget up by compare-and-swap, as an operator does."""
        application = cls.fleet.store.application
        key = ledger_key(budget)
        with application.changed:
            revision, value = application.model.read(key)
            record = top_up(decode_record(value), budget, TOP_UP, 'top-up-1')
            done, _ = application.model.swap(
                key, revision, encode_record(record), 0
            )
            application.changed.notify_all()
        assert done
        cls.budgets[budget] += TOP_UP

    def test_cut_domain_cannot_write(self) -> None:
        """Guards against gates that let the cut domain through."""
        before, after = self.writes
        self.assertEqual(before['b'], after['b'])
        self.assertLess(before['a'], after['a'])

    def test_both_sides_serve_during_the_cut(self) -> None:
        """Guards against a cut that stops what is already granted."""
        started, ended = self.cut
        for vm in self.fleet.vms:
            times = [one.at for one in self.load.answered(vm.name)]
            late = [at for at in times if started + CUT_S / 2 < at < ended]
            self.assertTrue(late, vm.name)

    def test_cut_domain_works_again_after_healing(self) -> None:
        """Guards against a domain that stays without money or links."""
        for vm in self.fleet.vms:
            late = self.load.answered(vm.name, self.cut[1] + HEAL_S / 2)
            paid = [one for one in late if one.account == 'kiosk']
            self.assertTrue(paid, vm.name)

    def test_each_request_is_billed_once(self) -> None:
        """Guards against money that both sides spend."""
        self.check_money()
        self.check_targets()

    def test_top_up_counts_once(self) -> None:
        """Guards against a credit that a late write takes back."""
        for name, row in read_ledger(self.fleet.store).items():
            self.assertEqual(row.prepaid, self.budgets[name], name)

    def test_answers_are_whole(self) -> None:
        """Guards against answers that a cut truncates or crosses."""
        self.check_answers()
