"""Tests of a router's handling of target slots."""

import dataclasses
import unittest

from fuchsiafork import messages
from fuchsiafork.dispatch import RouterSlots
from fuchsiafork.dispatch.router_slots import UNUSED_OBSERVATION
from fuchsiafork.kernel import Outbox
from fuchsiafork.membership import KEY_OWNER
from standins.virtual import VirtualClock
from tests.dispatch_case import SUCCEEDED, acquire_message


class RouterSlotsCase(unittest.TestCase):
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

    def last_acquire(self) -> messages.AcquireSlot:
        """Return the last request for a slot that was sent."""
        acquires = [
            message
            for _, message in self.sent()
            if isinstance(message, messages.AcquireSlot)
        ]
        return acquires[-1]

    def grant(self, **fields: object) -> messages.SlotAcquired:
        """Return a grant for the request sent last."""
        last_acquire = self.last_acquire()
        row = messages.SlotAcquired(
            last_acquire.request_id,
            'engine',
            'T',
            'http://T:1',
            'v',
            'a-1/keeper',
            attempt=last_acquire.attempt,
            sent_at=last_acquire.sent_at,
        )
        return dataclasses.replace(row, **fields)

    def released(self) -> list[messages.ReleaseSlot]:
        """Return the releases sent since the last call."""
        return [
            message
            for _, message in self.sent()
            if isinstance(message, messages.ReleaseSlot)
        ]


class TestGrants(RouterSlotsCase):
    """Grants that are used, released or ignored."""

    def test_expired_grant_is_not_used(self) -> None:
        """Guards against the use of a grant after a pause of the router."""
        self.slots.acquire(acquire_message('r'))
        self.assertIsNotNone(self.slots.handle(self.grant()))
        self.clock.advance(2.1)
        self.assertFalse(self.slots.may_send('r'))
        self.assertEqual(self.released()[0].observation, UNUSED_OBSERVATION)

    def test_late_grant_is_released_and_requested_again(self) -> None:
        """Guards against a delayed grant of an owner that lost its targets."""
        first = self.slots.acquire(acquire_message('r'))
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
        self.assertNotEqual(first, self.slots.acquire(acquire_message('other')))

    def test_second_grant_is_released(self) -> None:
        """Guards against slots in two failure domains for one request."""
        self.slots.acquire(acquire_message('r'))
        grant = self.grant(owner='b-1/keeper', target='U', foreign=True)
        self.slots.handle(grant)
        cancelled = [type(message) for _, message in self.sent()]
        self.assertEqual(cancelled, [messages.CancelAcquire])
        self.assertIsNone(self.slots.handle(grant))
        self.assertEqual(self.sent(), [])
        local_grant = dataclasses.replace(grant, owner='a-1/keeper', target='T')
        self.assertIsNone(self.slots.handle(local_grant))
        self.assertEqual([one.target for one in self.released()], ['T'])
        self.assertTrue(self.slots.may_send('r'))

    def test_grant_of_a_replaced_owner_is_released(self) -> None:
        """Guards against two owners that grant the same slot."""
        self.slots.acquire(acquire_message('r'))
        grant = self.grant()
        query = messages.AskOpenSlots('a-2/keeper', ('T',), 'ask')
        self.slots.handle(query)
        self.sent()
        self.assertIsNone(self.slots.handle(grant))
        self.assertEqual(self.released()[0].owner_now, 'a-2/keeper')

    def test_grant_on_excluded_target_is_rejected(self) -> None:
        """Guards against a retry on the target that has just failed."""
        self.slots.acquire(acquire_message('r', exclude=('T',)))
        self.assertIsNone(self.slots.handle(self.grant()))

    def test_refusal_of_an_old_attempt_is_ignored(self) -> None:
        """Guards against a refusal of an attempt that was replaced."""
        old = self.slots.acquire(acquire_message('r'))
        self.slots.acquire(acquire_message('r'))
        refusal = messages.SlotRefused('r', 'engine', 2202, 1, old)
        self.assertIsNone(self.slots.handle(refusal))
        self.assertEqual(self.slots.tick(), [])


class TestResending(RouterSlotsCase):
    """Resent messages and answers to queries."""

    def test_release_is_resent_until_acknowledged(self) -> None:
        """Guards against a slot that leaks when its release is lost."""
        self.slots.acquire(acquire_message('r'))
        grant = self.grant()
        self.slots.handle(grant)
        self.slots.release('r', SUCCEEDED)
        self.assertEqual(self.sent()[0][0], 'a-1/keeper')
        self.clock.advance(0.6)
        self.slots.tick()
        ((destination, message),) = self.sent()
        self.assertEqual(destination, KEY_OWNER)
        self.assertEqual(message.observation, SUCCEEDED)
        self.slots.handle(messages.SlotReleased('r', grant.attempt, 'T'))
        self.clock.advance(0.6)
        self.slots.tick()
        self.assertEqual(self.sent(), [])

    def test_acquire_is_resent_with_the_time_left(self) -> None:
        """Guards against a lost request and an extended deadline."""
        self.slots.acquire(acquire_message('r', deadline_s=2.5))
        self.sent()
        self.clock.advance(1.1)
        self.slots.tick()
        last_acquire = self.last_acquire()
        self.assertAlmostEqual(last_acquire.deadline_s, 1.4)
        self.assertAlmostEqual(last_acquire.sent_at, self.clock.now())
        self.clock.advance(1.5)
        self.assertEqual(self.slots.tick(), ['r'])
        kinds = [type(message) for _, message in self.sent()]
        self.assertEqual(kinds, [messages.CancelAcquire])

    def test_open_slots_are_reported(self) -> None:
        """Guards against a new owner that does not know a slot in use."""
        self.slots.acquire(acquire_message('r'))
        self.slots.handle(self.grant())
        self.sent()
        query = messages.AskOpenSlots('a-2/keeper', ('T',), 'ask')
        self.slots.handle(query)
        ((destination, answer),) = self.sent()
        self.assertEqual(destination, 'a-2/keeper')
        self.assertEqual(
            (answer.ask_id, [row.request_id for row in answer.rows]),
            ('ask', ['r']),
        )
