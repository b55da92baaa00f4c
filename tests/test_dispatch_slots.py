"""Tests of slots, handover and the failure of routers."""

import dataclasses
from unittest import mock

from fuchsiafork import messages
from fuchsiafork.dispatch import DispatchSystem
from fuchsiafork.dispatch.router_slots import UNUSED_OBSERVATION
from fuchsiafork.dispatch.state import TargetState
from fuchsiafork.kernel import InvariantViolationError
from tests.dispatch_case import (
    ENGINE_1,
    ENGINE_2,
    ROUTER,
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
        """Guards against a slot that no router will release."""
        grant = self.grant('r')
        self.release(grant)
        self.release(grant)
        self.assertEqual(self.request('r'), [])
        self.assertEqual(self.owner.targets[grant.target].used, 0)

    def test_release_of_old_attempt_keeps_the_new_slot(self) -> None:
        """Guards against a repeated release that frees a slot in use."""
        first = self.grant('r', attempt=1)
        self.release(first)
        second = self.grant('r', attempt=2)
        self.release(first)
        self.assertEqual(self.owner.targets[second.target].used, 1)

    def test_cancelled_request_leaves_the_queue(self) -> None:
        """Guards against a slot for a caller that has disconnected."""
        grants = self.fill()
        self.assertEqual(self.request('late'), [])
        cancel = messages.CancelAcquire('late', 'engine', 'engine/0', 1)
        self.owner.handle(cancel, ROUTER)
        self.sent.clear()
        self.release(grants[0])
        kinds = {type(one) for one in self.sent}
        self.assertEqual(kinds, {messages.SlotReleased})

    def test_full_target_gets_no_more_requests(self) -> None:
        """Guards against an engine that fails because of overload."""
        self.fill()
        self.assertEqual(self.request('r17'), [])
        self.assertEqual(self.owner.targets[ENGINE_1].used, 8)

    def test_overfilling_violates_the_invariant(self) -> None:
        """Negative control: a wrong count of free slots fails the check."""
        self.fill()
        room = mock.patch.object(TargetState, 'available_slots', lambda *_: 1)
        with room, self.assertRaises(InvariantViolationError):
            self.request('r17')


class TestHandover(OwnerCase):
    """Handover of a group from one owner to the next."""

    def replace_owner(self) -> None:
        """Replace the owner by one that knows no slots."""
        self.owner = DispatchSystem(self.context, self.membership, self.policy)
        self.owner.configure(self.document)

    def test_new_owner_adopts_open_slots(self) -> None:
        """Guards against overfilling after an owner died with slots in use."""
        self.fill(14)
        self.running = {ENGINE_1: 7, ENGINE_2: 7}
        self.replace_owner()
        self.assertEqual(self.request('early'), [])
        self.run_for(2.5)
        used = [row.used for row in self.owner.targets.values()][:2]
        self.assertEqual(used, [7, 7])

    def test_slots_of_silent_router_stay_occupied(self) -> None:
        """Guards against granting slots that a silent router may still use."""
        self.fill(16)
        self.running = {ENGINE_1: 8, ENGINE_2: 8}
        self.unresponsive.add(ROUTER)
        self.replace_owner()
        self.run_for(4)
        rows = self.owner.targets.values()
        self.assertFalse(any(row.serving for row in rows))
        self.run_for(4)
        self.assertTrue(all(row.serving for row in rows))
        self.assertEqual(self.request('r'), [])

    def test_paused_owner_repeats_the_handover(self) -> None:
        """Guards against grants by an owner that was paused and replaced."""
        self.fill(3)
        self.clock.advance(8)
        self.assertEqual(self.request('r'), [])
        self.assertEqual(self.owner.targets, {})
        self.run_for(2.5)
        used = sum(row.used for row in self.owner.targets.values())
        self.assertEqual(used, 3)

    def test_release_that_names_another_owner_starts_a_handover(self) -> None:
        """Guards against an owner that does not notice its replacement."""
        grant = self.grant('r')
        self.unresponsive.add(ROUTER)
        self.release(grant, UNUSED_OBSERVATION, owner_now='a-2/keeper')
        self.assertFalse(self.owner.targets[ENGINE_1].serving)

    def test_late_answer_to_an_earlier_handover_is_ignored(self) -> None:
        """Guards against a handover completed by an old answer."""
        self.unresponsive.add(ROUTER)
        self.replace_owner()
        self.run_for(2)
        self.owner.handle(messages.OpenSlots(ROUTER, (), 'i1.old'), ROUTER)
        self.run_for(0.5)
        self.assertFalse(self.owner.targets[ENGINE_1].serving)


class TestRouterDeath(OwnerCase):
    """Routers that fail with slots in use."""

    def test_slots_return_when_the_target_reports_them_free(self) -> None:
        """Guards against slots granted while the engine still runs streams."""
        self.fill(16)
        self.running = {ENGINE_1: 8, ENGINE_2: 8}
        self.membership.local_routers.clear()
        self.unresponsive.add(ROUTER)
        self.run_for(8)
        self.assertEqual(self.owner.targets[ENGINE_1].slots, {})
        self.assertEqual(self.owner.targets[ENGINE_1].used, 8)
        self.running = {ENGINE_1: 0, ENGINE_2: 3}
        self.run_for(4)
        used = [self.owner.targets[one].used for one in (ENGINE_1, ENGINE_2)]
        self.assertEqual(used, [0, 3])

    def test_old_slots_of_restarted_router_are_freed(self) -> None:
        """Guards against slots that leak under a reused router id."""
        self.fill(4)
        self.open_slots = []
        self.run_for(12)
        used = sum(row.used for row in self.owner.targets.values())
        self.assertEqual(used, 0)
