"""Tests of the registry of verdicts."""

import itertools
import unittest

from fuchsiafork.rollouts.verdicts import Verdict, VerdictRegistry


class TestVerdictRegistry(unittest.TestCase):
    """Verdicts issued by several failure domains."""

    def test_order_of_entries_is_fixed(self) -> None:
        """Guards against seeded runs that differ between processes."""
        domains = ('a', 'b', 'c')
        orders = set()
        for arrival in itertools.permutations(domains):
            registry = VerdictRegistry()
            for domain in arrival:
                registry.add('r', 's', Verdict('bad', 'errors', domain, 1))
            entries = registry.entries('r')
            orders.add(tuple(verdict.domain for _, verdict in entries))
        self.assertEqual(orders, {domains})
