"""Base class and helpers of the process tests with faults."""

import sys
import unittest
from typing import ClassVar

from standins.deployment import apply_sections, base_sections
from standins.engine_types import EngineSettings
from standins.fleet import ProcessFleet, Targets, Vm
from standins.load_generator import (
    LoadGenerator,
    overloaded_engines,
    read_ledger,
    wait_until_billed,
)

SEED = 1
# Time for all settlements to reach the ledger after the end of the load.
SETTLE_S = 12.0
CAPACITY = 4


def grants_of(fleet: ProcessFleet, node: str) -> dict[str, int]:
    """Return the granted tokens of each incarnation of a keeper."""
    found: dict[str, int] = {}
    for row in read_ledger(fleet.store).values():
        for holder, grant in row.grants.items():
            if holder.startswith(f'{node}#'):
                found[holder] = found.get(holder, 0) + grant
    return found


class FaultCase(unittest.TestCase):
    """A fleet under load; subclasses inject faults."""

    fleet: ClassVar[ProcessFleet]
    targets: ClassVar[Targets]
    load: ClassVar[LoadGenerator]
    budgets: ClassVar[dict[str, int]]

    @classmethod
    def start(
        cls, fleet: ProcessFleet, budgets: dict[str, int], services: int = 0
    ) -> None:
        """Start the programs, and targets in each failure domain."""
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
        cls.load = LoadGenerator(fleet.vms, list(budgets), SEED)

    def check_answers(self) -> None:
        """Check that no answer is truncated or sent to the wrong caller."""
        tails = [
            (one.vm, one.tokens, one.body[-200:])
            for one in self.load.truncated_answers()
        ]
        self.assertEqual(tails, [])
        self.assertFalse(self.load.has_crossed_answers())

    def check_billing(self, service_tokens: int = 0) -> None:
        """
        Check that the ledger bills what the engines count, within the budgets.

        :param service_tokens: tokens billed for calls of plain services.
        """
        counted, spent = wait_until_billed(
            self.fleet.store, self.targets, SETTLE_S, service_tokens
        )
        sys.stdout.write(
            f'\n{type(self).__name__}: seed={SEED}'
            f' answered={len(self.load.answered())}'
            f' codes={self.load.error_codes()}'
            f' billed={counted} spent={spent}\n'
        )
        self.assertEqual(counted, spent)
        for name, row in read_ledger(self.fleet.store).items():
            self.assertEqual(row.duplicate, 0, name)
            self.assertLessEqual(row.settled, self.budgets[name], name)
            answered = self._tokens_used_by(name)
            self.assertLessEqual(answered, row.settled, name)

    @classmethod
    def vm(cls, name: str) -> Vm:
        """Return a VM by its name."""
        return next(vm for vm in cls.fleet.vms if vm.name == name)

    def check_targets(self) -> None:
        """Check that no engine got more streams than its capacity."""
        self.assertEqual(overloaded_engines(self.targets), [])

    def _tokens_used_by(self, account: str) -> int:
        """Return the tokens that engines counted for an account's answers."""
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
