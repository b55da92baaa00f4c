"""Tests of the kernel package, the message codec and the store stand-in."""

import random
import unittest

from fuchsiafork import messages
from fuchsiafork.kernel import (
    CODES,
    Context,
    EventRing,
    HybridClock,
    Identity,
    InvariantViolationError,
    Outbox,
    Stamp,
    StrictInvariants,
    rank,
)
from fuchsiafork.kernel.errors import (
    MessageFormatError,
    ProtocolVersionError,
)
from fuchsiafork.kernel.outbox import CompareAndSwap, KeyRead, SwapDone
from fuchsiafork.membership import MembershipSystem
from standins.store_model import StoreModel
from standins.virtual import VirtualClock, apply_operation


def make_context(
    node: str = 'a-1/keeper',
    clock: VirtualClock | None = None,
    seed: int = 1,
) -> Context:
    """Return a context with strict invariants on a virtual clock."""
    virtual_clock = clock or VirtualClock()
    return Context(
        identity=Identity(node, node[0], node.partition('/')[0], 'i1'),
        clock=virtual_clock,
        random=random.Random(seed),
        outbox=Outbox(),
        events=EventRing(HybridClock(node, virtual_clock)),
        invariants=StrictInvariants(),
    )


class TestRank(unittest.TestCase):
    """Rendezvous hashing."""

    def test_leaving_member_moves_only_its_keys(self) -> None:
        """Guards against reassigning all keys when one member leaves."""
        members = [f'n{number}' for number in range(6)]
        for number in range(200):
            before = rank(f'key{number}', members)
            after = rank(f'key{number}', members[:-1])
            if before[0] != members[-1]:
                self.assertEqual(before[0], after[0])


class TestHybridClock(unittest.TestCase):
    """Timestamps of events."""

    def test_stamp_is_later_than_received_one(self) -> None:
        """Guards against ordering an effect before its cause."""
        clock = HybridClock('b', VirtualClock(wall=10))
        clock.merge(Stamp(99_000, 4, 'a'))
        self.assertGreater(clock.tick(), Stamp(99_000, 4, 'a'))


class TestEnvelope(unittest.TestCase):
    """Codec of messages on links."""

    def test_round_trip(self) -> None:
        """Guards against fields lost in encoding or decoding."""
        sent = messages.OpenReservations(
            'a-1/router',
            'a-2/keeper#i1',
            (messages.OpenReservation('r1', 'b', 'acc', 9, -1, 'k'),),
        )
        frame = messages.encode('x', 'y', Stamp(1, 2, 'x'), sent)
        self.assertEqual(messages.decode(frame).message, sent)

    def test_invalid_frames_raise_coded_errors(self) -> None:
        """Guards against a crash on an invalid frame."""
        valid = messages.encode('x', 'y', Stamp(1, 2, 'x'), None)
        for frame in (b'', b'\xff\xff', valid[:-3], b'\x80'):
            with self.assertRaises(MessageFormatError):
                messages.decode(frame)
        with self.assertRaises(ProtocolVersionError):
            messages.decode(valid.replace(b'\x86\x01', b'\x86\x02', 1))

    def test_unknown_kind_has_no_message(self) -> None:
        """Guards against closing a link on a message type of a newer peer."""
        frame = messages.encode('x', 'y', Stamp(1, 2, 'x'), 5)
        self.assertIsNone(messages.decode(frame).message)


class TestInvariants(unittest.TestCase):
    """Runtime checks of invariants."""

    def test_strict_invariants_raise(self) -> None:
        """Guards against an invariant check that never fails."""
        with self.assertRaises(InvariantViolationError):
            StrictInvariants().check('always', holds=False)


class TestErrors(unittest.TestCase):
    """Numeric error codes."""

    def test_codes_are_unique(self) -> None:
        """Guards against two errors with the same code."""
        names = {kind.__name__ for kind in CODES.values()}
        self.assertEqual(len(names), len(CODES))


class TestMembership(unittest.TestCase):
    """A keeper's view of the live keepers."""

    def test_silent_member_is_not_live(self) -> None:
        """Guards against assigning keys to failed keepers."""
        clock = VirtualClock()
        system = MembershipSystem(make_context(clock=clock), '127.0.0.1:1')
        heartbeat = messages.Heartbeat(
            node='a-2/keeper',
            domain='a',
            incarnation='i',
            revision=0,
            leaving=False,
            verdicts=0,
            routers=('a-2/router',),
            address='127.0.0.1:2',
            stamp=0,
        )
        system.handle(heartbeat, 'a-2/keeper')
        self.assertIn('a-2/keeper', system.live())
        self.assertEqual(system.next_hop('a-2/router'), 'a-2/keeper')
        clock.advance(2.5)
        self.assertNotIn('a-2/keeper', system.live())


class TestStoreModel(unittest.TestCase):
    """The in-memory stand-in of the key-value service."""

    def test_stale_swap_fails_and_expired_lease_deletes_key(self) -> None:
        """Guards against a stand-in that is more lenient than the service."""
        clock = VirtualClock()
        store = StoreModel(clock.now)
        write = CompareAndSwap('k', 0, b'1', 't')
        first = apply_operation(write, store)
        self.assertEqual(first, SwapDone('t', 'k', succeeded=True, revision=1))
        self.assertFalse(apply_operation(write, store).succeeded)
        lease = store.grant(5)
        store.swap('leased', 0, b'2', lease)
        clock.advance(6)
        self.assertEqual(store.read('leased'), (0, None))
        self.assertIsInstance(KeyRead('t', 'k', 1, b'1'), KeyRead)
