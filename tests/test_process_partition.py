"""Process test of a partitioned failure domain, with a top-up meanwhile."""

import time
from typing import ClassVar

from fuchsiafork.budgets import decode_record, ledger_key, top_up
from fuchsiafork.budgets.ledger import encode_record
from standins.fleet import make_vms
from standins.load_generator import read_ledger, read_records
from standins.partition_fleet import PartitionableFleet
from tests.process_fault_case import FaultCase

# Longer than the lease of 5 s and the 2 s until a silent member is lost.
PARTITION_S = 7.0
RECOVERY_S = 6.0
TOP_UP_TOKENS = 500_000
BUDGETS = {'bakers': 1_000_000, 'kiosk': 3_000}


class TestPartitionedDomain(FaultCase):
    """One of two failure domains loses the other one and the store."""

    partition: ClassVar[tuple[float, float]]
    writes_during_partition: ClassVar[list[dict[str, int]]]

    @classmethod
    def setUpClass(cls) -> None:
        """Partition the domain, top up the budgets, and end the partition."""
        cls.start(PartitionableFleet(make_vms(['a', 'b'], 2)), dict(BUDGETS))
        fleet = cls.fleet
        assert isinstance(fleet, PartitionableFleet)
        cls.load.start()
        time.sleep(2)
        started = time.monotonic()
        fleet.set_connected('b', connected=False)
        time.sleep(PARTITION_S / 2)
        for name in BUDGETS:
            cls.top_up_budget(name)
        cls.writes_during_partition = [cls.ledger_sequences()]
        time.sleep(PARTITION_S / 2)
        cls.writes_during_partition.append(cls.ledger_sequences())
        fleet.set_connected('b', connected=True)
        cls.partition = (started, time.monotonic())
        time.sleep(RECOVERY_S)
        cls.load.stop()

    @classmethod
    def ledger_sequences(cls) -> dict[str, int]:
        """Return the number of ledger writes by the holders of each domain."""
        found = {'a': 0, 'b': 0}
        for record in read_records(cls.fleet.store):
            for row in record.holders.values():
                found[row.domain] += row.sequence
        return found

    @classmethod
    def top_up_budget(cls, budget: str) -> None:
        """Top up a budget by compare-and-swap, as an operator does."""
        application = cls.fleet.store.application
        key = ledger_key(budget)
        with application.changed:
            revision, value = application.model.read(key)
            record = top_up(
                decode_record(value), budget, TOP_UP_TOKENS, 'top-up-1'
            )
            succeeded, _ = application.model.swap(
                key, revision, encode_record(record), 0
            )
            application.changed.notify_all()
        assert succeeded
        cls.budgets[budget] += TOP_UP_TOKENS

    def test_partitioned_domain_cannot_write(self) -> None:
        """Guards against proxies that forward despite the partition."""
        before, after = self.writes_during_partition
        self.assertEqual(before['b'], after['b'])
        self.assertLess(before['a'], after['a'])

    def test_both_sides_serve_during_the_partition(self) -> None:
        """Guards against a partition that stops the use of existing grants."""
        started, ended = self.partition
        for vm in self.fleet.vms:
            times = [one.ended_at for one in self.load.answered(vm.name)]
            late = [
                at for at in times if started + PARTITION_S / 2 < at < ended
            ]
            self.assertTrue(late, vm.name)

    def test_domain_recovers_after_the_partition(self) -> None:
        """Guards against a domain that stays without grants or links."""
        for vm in self.fleet.vms:
            late = self.load.answered(
                vm.name, self.partition[1] + RECOVERY_S / 2
            )
            paid = [one for one in late if one.account == 'kiosk']
            self.assertTrue(paid, vm.name)

    def test_each_request_is_billed_once(self) -> None:
        """Guards against tokens that both sides use."""
        self.check_billing()
        self.check_targets()

    def test_top_up_counts_once(self) -> None:
        """Guards against a top-up that a late write reverts."""
        for name, row in read_ledger(self.fleet.store).items():
            self.assertEqual(row.prepaid, self.budgets[name], name)

    def test_answers_are_whole(self) -> None:
        """Guards against answers that a partition truncates or mixes up."""
        self.check_answers()
