"""Tests of slots, hand-over and the death of routers."""

import dataclasses
from unittest import mock

from fuchsiafork import messages
from fuchsiafork.dispatch import DispatchSystem
from fuchsiafork.dispatch.router_slots import UNUSED_OBSERVATION
from fuchsiafork.dispatch.state import TargetState
from fuchsiafork.kernel import InvariantViolationError
from tests.dispatch_case import (
    ONE,
    ROUTER,
    TWO,
    OwnerCase,
)


class TestSlots(OwnerCase):
    """The slot table."""

    def test_repeated_request_gets_the_same_answer(self) -> None:
        """Guards against a second slot for a duplicated message."""
        first = self.grant('r', sent_at=1.0)
        again = self.grant('r', sent_at=2.0)
        self.assertEqual(again, dataclasses.replace(first, sent_at=2.0))
        self.assertEqual(len(self.owner.targets[first.target].slots), 1)

    def test_late_copy_after_release_takes_no_slot(self) -> None:
        """Guards against a slot that nobody will release."""
        grant = self.grant('r')
        self.release(grant)
        self.release(grant)
        self.assertEqual(self.ask('r'), [])
        self.assertEqual(self.owner.targets[grant.target].used, 0)

    def test_release_of_old_attempt_keeps_the_new_slot(self) -> None:
        """Guards against a repeated release that frees a slot in use."""
        first = self.grant('r', attempt=1)
        self.release(first)
        second = self.grant('r', attempt=2)
        self.release(first)
        self.assertEqual(self.owner.targets[second.target].used, 1)

    def test_cancelled_request_leaves_the_queue(self) -> None:
        """Guards against a slot for a caller that has gone."""
        grants = self.fill()
        self.assertEqual(self.ask('late'), [])
        cancel = messages.CancelAcquire('late', 'engine', 'engine/0', 1)
        self.owner.handle(cancel, ROUTER)
        self.mail.clear()
        self.release(grants[0])
        kinds = {type(one) for one in self.mail}
        self.assertEqual(kinds, {messages.SlotReleased})

    def test_full_target_gets_no_more(self) -> None:
        """Guards against an engine that falls over."""
        self.fill()
        self.assertEqual(self.ask('r17'), [])
        self.assertEqual(self.owner.targets[ONE].used, 8)

    def test_overfilling_violates_the_invariant(self) -> None:
        """Negative control: without the count of room the check fires."""
        self.fill()
        room = mock.patch.object(TargetState, 'available_slots', lambda *_: 1)
        with room, self.assertRaises(InvariantViolationError):
            self.ask('r17')


class TestHandover(OwnerCase):
    """From one owner to the next."""

    def start_again(self) -> None:
        """Let a keeper without memory take over."""
        self.owner = DispatchSystem(self.context, self.membership, self.policy)
        self.owner.configure(self.document)

    def test_new_owner_counts_open_slots(self) -> None:
        """Guards against an owner that dies with slots in use."""
        self.fill(14)
        self.running = {ONE: 7, TWO: 7}
        self.start_again()
        self.assertEqual(self.ask('early'), [])
        self.step(2.5)
        used = [row.used for row in self.owner.targets.values()][:2]
        self.assertEqual(used, [7, 7])

    def test_slots_of_silent_router_stay_taken(self) -> None:
        """Guards against room that a silent router may still use."""
        self.fill(16)
        self.running = {ONE: 8, TWO: 8}
        self.silent.add(ROUTER)
        self.start_again()
        self.step(4)
        rows = self.owner.targets.values()
        self.assertFalse(any(row.serving for row in rows))
        self.step(4)
        self.assertTrue(all(row.serving for row in rows))
        self.assertEqual(self.ask('r'), [])

    def test_paused_owner_asks_again(self) -> None:
        """Guards against an owner that resumes past its lease."""
        self.fill(3)
        self.clock.advance(8)
        self.assertEqual(self.ask('r'), [])
        self.assertEqual(self.owner.targets, {})
        self.step(2.5)
        used = sum(row.used for row in self.owner.targets.values())
        self.assertEqual(used, 3)

    def test_grant_refused_by_the_fence_starts_a_handover(self) -> None:
        """Guards against an owner that was replaced and did not notice."""
        grant = self.grant('r')
        self.silent.add(ROUTER)
        self.release(grant, UNUSED_OBSERVATION, owner_now='a-2/keeper')
        self.assertFalse(self.owner.targets[ONE].serving)

    def test_late_answer_of_an_earlier_claim_counts_for_nothing(self) -> None:
        """Guards against a hand-over completed by an old answer."""
        self.silent.add(ROUTER)
        self.start_again()
        self.step(2)
        self.owner.handle(messages.OpenSlots(ROUTER, (), 'i1.old'), ROUTER)
        self.step(0.5)
        self.assertFalse(self.owner.targets[ONE].serving)


class TestRouterDeath(OwnerCase):
    """Routers that die with slots in use."""

    def test_slots_return_when_the_target_reports_them_free(self) -> None:
        """Guards against room given while the engine still runs streams."""
        self.fill(16)
        self.running = {ONE: 8, TWO: 8}
        self.membership.local_routers.clear()
        self.silent.add(ROUTER)
        self.step(8)
        self.assertEqual(self.owner.targets[ONE].slots, {})
        self.assertEqual(self.owner.targets[ONE].used, 8)
        self.running = {ONE: 0, TWO: 3}
        self.step(4)
        used = [self.owner.targets[one].used for one in (ONE, TWO)]
        self.assertEqual(used, [0, 3])

    def test_restarted_router_gives_up_its_old_slots(self) -> None:
        """Guards against slots that leak under a reused router id."""
        self.fill(4)
        self.answers = []
        self.step(12)
        used = sum(row.used for row in self.owner.targets.values())
        self.assertEqual(used, 0)
