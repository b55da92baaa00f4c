"""What the process tests with faults have in common."""

import sys
import unittest
from typing import ClassVar

from standins.deployment import apply_sections, base_sections
from standins.engine_types import EngineSettings
from standins.fleet import ProcessFleet, Targets, Vm
from standins.load_generator import (
    FaultLoad,
    overfilled,
    read_ledger,
    wait_billed,
)

SEED = 1
# Time in which all settlements reach the ledger once the load has ended.
SETTLE_S = 12.0
CAPACITY = 4


def grants_of(fleet: ProcessFleet, node: str) -> dict[str, int]:
    """Return what the ledger has outstanding for each start of a keeper."""
    found: dict[str, int] = {}
    for row in read_ledger(fleet.store).values():
        for holder, grant in row.grants.items():
            if holder.startswith(f'{node}#'):
                found[holder] = found.get(holder, 0) + grant
    return found


class FaultCase(unittest.TestCase):
    """A fleet under load; a subclass brings about its faults."""

    fleet: ClassVar[ProcessFleet]
    targets: ClassVar[Targets]
    load: ClassVar[FaultLoad]
    budgets: ClassVar[dict[str, int]]

    @classmethod
    def start(
        cls, fleet: ProcessFleet, budgets: dict[str, int], services: int = 0
    ) -> None:
        """Start the programs and an engine for each failure domain."""
        cls.fleet, cls.budgets = fleet, budgets
        cls.addClassCleanup(fleet.stop)
        cls.targets = Targets()
        cls.addClassCleanup(cls.targets.stop)
        settings = EngineSettings(capacity=CAPACITY, step_s=0.005)
        for domain in sorted({vm.domain for vm in fleet.vms}):
            name = f'engine-{domain}'
            cls.targets.add_engine(name, domain, settings=settings)
            for number in range(services):
                cls.targets.add_service(f'orders-{domain}-{number}', domain)
        fleet.start()
        apply_sections(fleet.store.url, base_sections(cls.targets, budgets))
        fleet.wait_ready()
        cls.load = FaultLoad(fleet.vms, list(budgets), SEED)

    def check_answers(self) -> None:
        """Check that every answer is whole and its caller's own."""
        tails = [
            (one.vm, one.tokens, one.body[-200:])
            for one in self.load.broken_answers()
        ]
        self.assertEqual(tails, [])
        self.assertFalse(self.load.crossed())

    def check_money(self, more: int = 0) -> None:
        """
        Check that the ledger counts what the engines count, in its bounds.

        :param more: tokens that plain services were paid for.
        """
        counted, spent = wait_billed(
            self.fleet.store, self.targets, SETTLE_S, more
        )
        sys.stdout.write(
            f'\n{type(self).__name__}: seed={SEED}'
            f' answered={len(self.load.answered())} codes={self.load.codes()}'
            f' billed={counted} spent={spent}\n'
        )
        self.assertEqual(counted, spent)
        for name, row in read_ledger(self.fleet.store).items():
            self.assertEqual(row.duplicate, 0, name)
            self.assertLessEqual(row.settled, self.budgets[name], name)
            answered = self._spent_by(name)
            self.assertLessEqual(answered, row.settled, name)

    @classmethod
    def vm(cls, name: str) -> Vm:
        """Return a VM by its name."""
        return next(vm for vm in cls.fleet.vms if vm.name == name)

    def check_targets(self) -> None:
        """Check that no engine got more streams than it has room for."""
        self.assertEqual(overfilled(self.targets), [])

    def _spent_by(self, account: str) -> int:
        """Return what the engines counted for an account's answers."""
        records = {
            request_id: record
            for engine in self.targets.engines.values()
            for request_id, record in engine.model.records.items()
        }
        found = [
            records[one.request_id]
            for one in self.load.answered()
            if one.account == account
        ]
        return sum(row.submission.prompt_tokens + row.tokens for row in found)
