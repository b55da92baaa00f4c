"""Tests of the router's side of target slots."""

import dataclasses
import unittest

from fuchsiafork import messages
from fuchsiafork.dispatch import RouterSlots
from fuchsiafork.dispatch.router_slots import UNUSED_OBSERVATION
from fuchsiafork.kernel import Outbox
from fuchsiafork.membership import KEY_OWNER
from standins.virtual import VirtualClock
from tests.dispatch_case import GOOD, wish


class RouterCase(unittest.TestCase):
    """The slots of one router."""

    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.clock.advance(100)
        self.outbox = Outbox()
        self.slots = RouterSlots('a-1/router', self.clock, self.outbox)

    def sent(self) -> list[tuple[str, object]]:
        """Return destinations and messages sent since the last call."""
        sends, _ = self.outbox.drain()
        return [(one.destination, one.message) for one in sends]

    def asked(self) -> messages.AcquireSlot:
        """Return the last wish that was sent."""
        wishes = [
            message
            for _, message in self.sent()
            if isinstance(message, messages.AcquireSlot)
        ]
        return wishes[-1]

    def grant(self, **fields: object) -> messages.SlotAcquired:
        """Return a grant for the request that was asked for last."""
        asked = self.asked()
        row = messages.SlotAcquired(
            asked.request_id,
            'engine',
            'T',
            'http://T:1',
            'v',
            'a-1/keeper',
            attempt=asked.attempt,
            sent_at=asked.sent_at,
        )
        return dataclasses.replace(row, **fields)

    def released(self) -> list[messages.ReleaseSlot]:
        """Return the releases sent since the last call."""
        return [
            message
            for _, message in self.sent()
            if isinstance(message, messages.ReleaseSlot)
        ]


class TestGrants(RouterCase):
    """Which grants are used."""

    def test_old_grant_is_not_used(self) -> None:
        """Guards against a router that was paused with a grant."""
        self.slots.acquire(wish('r'))
        self.assertIsNotNone(self.slots.handle(self.grant()))
        self.clock.advance(2.1)
        self.assertFalse(self.slots.may_send('r'))
        self.assertEqual(self.released()[0].observation, UNUSED_OBSERVATION)

    def test_grant_that_arrives_late_is_given_back_and_asked_anew(self) -> None:
        """Guards against a grant that an owner sent before its pause."""
        first = self.slots.acquire(wish('r'))
        grant = self.grant()
        self.clock.advance(2.1)
        self.assertIsNone(self.slots.handle(grant))
        kinds = [type(message) for _, message in self.sent()]
        self.assertEqual(
            kinds,
            [
                messages.ReleaseSlot,
                messages.CancelAcquire,
                messages.AcquireSlot,
            ],
        )
        self.assertIsNone(self.slots.handle(dataclasses.replace(grant)))
        self.assertNotEqual(first, self.slots.acquire(wish('other')))

    def test_second_grant_is_given_back(self) -> None:
        """Guards against two slots for one request, here and abroad."""
        self.slots.acquire(wish('r'))
        grant = self.grant(owner='b-1/keeper', target='U', foreign=True)
        self.slots.handle(grant)
        cancelled = [type(message) for _, message in self.sent()]
        self.assertEqual(cancelled, [messages.CancelAcquire])
        self.assertIsNone(self.slots.handle(grant))
        self.assertEqual(self.sent(), [])
        home = dataclasses.replace(grant, owner='a-1/keeper', target='T')
        self.assertIsNone(self.slots.handle(home))
        self.assertEqual([one.target for one in self.released()], ['T'])
        self.assertTrue(self.slots.may_send('r'))

    def test_grant_of_a_replaced_owner_is_refused(self) -> None:
        """Guards against two owners that give out one slot."""
        self.slots.acquire(wish('r'))
        grant = self.grant()
        ask = messages.AskOpenSlots('a-2/keeper', ('T',), 'ask')
        self.slots.handle(ask)
        self.sent()
        self.assertIsNone(self.slots.handle(grant))
        self.assertEqual(self.released()[0].owner_now, 'a-2/keeper')

    def test_excluded_target_is_refused(self) -> None:
        """Guards against a retry on the target that has just failed."""
        self.slots.acquire(wish('r', exclude=('T',)))
        self.assertIsNone(self.slots.handle(self.grant()))

    def test_refusal_of_an_old_attempt_is_ignored(self) -> None:
        """Guards against a refusal that no longer concerns the request."""
        old = self.slots.acquire(wish('r'))
        self.slots.acquire(wish('r'))
        refusal = messages.SlotRefused('r', 'engine', 2202, 1, old)
        self.assertIsNone(self.slots.handle(refusal))
        self.assertEqual(self.slots.tick(), [])


class TestRepeats(RouterCase):
    """Messages that are sent again."""

    def test_release_is_repeated_until_acknowledged(self) -> None:
        """Guards against a slot lost with its release."""
        self.slots.acquire(wish('r'))
        grant = self.grant()
        self.slots.handle(grant)
        self.slots.release('r', GOOD)
        self.assertEqual(self.sent()[0][0], 'a-1/keeper')
        self.clock.advance(0.6)
        self.slots.tick()
        ((destination, message),) = self.sent()
        self.assertEqual(destination, KEY_OWNER)
        self.assertEqual(message.observation, GOOD)
        self.slots.handle(messages.SlotReleased('r', grant.attempt, 'T'))
        self.clock.advance(0.6)
        self.slots.tick()
        self.assertEqual(self.sent(), [])

    def test_wish_is_repeated_with_the_time_left(self) -> None:
        """Guards against a lost wish, and against a renewed deadline."""
        self.slots.acquire(wish('r', deadline_s=2.5))
        self.sent()
        self.clock.advance(1.1)
        self.slots.tick()
        asked = self.asked()
        self.assertAlmostEqual(asked.deadline_s, 1.4)
        self.assertAlmostEqual(asked.sent_at, self.clock.now())
        self.clock.advance(1.5)
        self.assertEqual(self.slots.tick(), ['r'])
        kinds = [type(message) for _, message in self.sent()]
        self.assertEqual(kinds, [messages.CancelAcquire])

    def test_open_slots_are_named(self) -> None:
        """Guards against a new owner that misses a slot in use."""
        self.slots.acquire(wish('r'))
        self.slots.handle(self.grant())
        self.sent()
        ask = messages.AskOpenSlots('a-2/keeper', ('T',), 'ask')
        self.slots.handle(ask)
        ((destination, answer),) = self.sent()
        self.assertEqual(destination, 'a-2/keeper')
        self.assertEqual(
            (answer.ask_id, [row.request_id for row in answer.rows]),
            ('ask', ['r']),
        )
