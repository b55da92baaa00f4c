"""Tests of the links between keepers and the routes to others."""

import unittest

from fuchsiafork import messages
from fuchsiafork.membership import MembershipSystem
from standins.virtual import VirtualClock
from tests.test_kernel import make_context


class TestLinkPeers(unittest.TestCase):
    """A keeper of domain a that knows four keepers of domain b."""

    def setUp(self) -> None:
        """Deliver one heartbeat of each keeper."""
        self.clock = VirtualClock()
        self.context = make_context(clock=self.clock)
        self.system = MembershipSystem(self.context, '127.0.0.1:1')
        self.nodes = [f'b-{number}/keeper' for number in range(4)]
        self.deliver_heartbeats(self.nodes)

    def deliver_heartbeats(self, nodes: list[str]) -> None:
        """Deliver a heartbeat of each node."""
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

    def test_unlinked_keeper_is_reached_through_a_linked_one(
        self,
    ) -> None:
        """Guards against budgets and keys whose owner cannot be reached."""
        self.system.linked = set(self.nodes[:2])
        for destination in ('b-3/keeper', 'b-3/router'):
            self.assertIn(self.system.next_hop(destination), self.nodes[:2])
        self.system.linked = set()
        self.assertEqual(self.system.next_hop('b-3/keeper'), '')

    def test_dead_remote_peers_are_replaced(self) -> None:
        """Guards against a domain cut off by the death of both peers."""
        before = self.system.addresses()
        self.clock.advance(3)
        self.assertEqual(self.system.addresses(), before)
        self.clock.advance(3)
        after = self.system.addresses()
        self.assertFalse(before & after)
        self.assertEqual(len(after), 2)

    def test_answering_remote_peers_are_kept(self) -> None:
        """Guards against links that are opened and closed repeatedly."""
        before = self.system.addresses()
        for _ in range(40):
            self.clock.advance(0.5)
            for node in self.nodes:
                if self.system.members[node].address in before:
                    self.system.handle(messages.HeartbeatAck(node, 0), node)
            self.system.tick()
            self.assertEqual(self.system.addresses(), before)
