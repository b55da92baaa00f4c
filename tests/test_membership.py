"""Tests of the links between keepers and the ways to others."""

import unittest

from fuchsiafork import messages
from fuchsiafork.membership import MembershipSystem
from standins.virtual import VirtualClock
from tests.test_kernel import make_context


class TestWays(unittest.TestCase):
    """A keeper of domain a that knows four keepers of domain b."""

    def setUp(self) -> None:
        """Hear every keeper once."""
        self.clock = VirtualClock()
        self.context = make_context(clock=self.clock)
        self.system = MembershipSystem(self.context, '127.0.0.1:1')
        self.nodes = [f'b-{number}/keeper' for number in range(4)]
        self.hear(self.nodes)

    def hear(self, nodes: list[str]) -> None:
        """Take a heartbeat of each node."""
        for number, node in enumerate(nodes):
            vm = node.partition('/')[0]
            beat = messages.Heartbeat(
                node=node,
                domain='b',
                incarnation='i',
                revision=0,
                leaving=False,
                verdicts=0,
                routers=(f'{vm}/router',),
                address=f'127.0.0.1:{number + 2}',
                stamp=0,
            )
            self.system.handle(beat, node)

    def test_unlinked_keeper_is_reached_through_a_gateway(
        self,
    ) -> None:
        """Guards against money and keys that no link leads to."""
        self.system.linked = set(self.nodes[:2])
        for destination in ('b-3/keeper', 'b-3/router'):
            self.assertIn(self.system.next_hop(destination), self.nodes[:2])
        self.system.linked = set()
        self.assertEqual(self.system.next_hop('b-3/keeper'), '')

    def test_dead_gateway_is_replaced(self) -> None:
        """Guards against a domain that is cut off by one dead keeper."""
        before = self.system.addresses()
        self.clock.advance(3)
        alive = [
            node
            for node in self.nodes
            if self.system.members[node].address not in before
        ]
        self.hear(alive)
        addresses = {self.system.members[node].address for node in alive}
        self.assertLessEqual(addresses, self.system.addresses())
