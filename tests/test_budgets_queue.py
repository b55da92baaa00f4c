"""Tests of requests that wait for a reservation."""

import unittest

from fuchsiafork import messages
from fuchsiafork.budgets.reserve_queue import ReserveQueue
from fuchsiafork.budgets.tables import HolderTables
from fuchsiafork.membership import MembershipSystem
from standins.virtual import VirtualClock
from tests.test_kernel import make_context


class TestSlowLedger(unittest.TestCase):
    """Requests that wait while the key-value service is slow."""

    def setUp(self) -> None:
        """Create a queue with one waiting request."""
        self.clock = VirtualClock()
        self.context = make_context(clock=self.clock)
        self.tables = HolderTables(self.context.identity.holder, 1)
        membership = MembershipSystem(self.context, '127.0.0.1:1')
        self.reserve_queue = ReserveQueue(self.context, self.tables, membership)
        self.clock.advance(10)
        request = messages.Reserve('r', 'b', 'acc', 5, 30, 'a-9')
        self.reserve_queue.add(request, 'a-9/router')

    def refusals(self) -> list[int]:
        """Return the codes of the refusals that were sent."""
        self.reserve_queue.refuse_overdue(suspended=False)
        return [
            send.message.code
            for send in self.context.outbox.drain()[0]
            if isinstance(send.message, messages.ReserveRefused)
        ]

    def test_is_not_refused_before_the_ledger_answers(self) -> None:
        """Guards against "exhausted" before the record has been read."""
        self.clock.advance(1.5)
        self.assertEqual(self.refusals(), [])
        self.clock.advance(3)
        self.assertEqual(self.refusals(), [2102])

    def test_is_refused_once_the_ledger_shows_no_money(self) -> None:
        """Guards against a wait although the budget has no free tokens."""
        shard = self.tables.shard_of('b')
        shard.synced_at = self.clock.now() + 0.5
        self.clock.advance(1.5)
        self.assertEqual(self.refusals(), [2101])

    def test_outage_is_refused_as_unreachable(self) -> None:
        """Guards against "exhausted" while the key-value service is down."""
        self.tables.shard_of('b').store_failing = True
        self.clock.advance(1.5)
        self.assertEqual(self.refusals(), [2102])
