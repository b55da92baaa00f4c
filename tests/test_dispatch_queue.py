"""Tests of the queue, fairness and groups."""

import unittest

from fuchsiafork import messages
from fuchsiafork.dispatch.fair_queue import QUEUE_LIMIT, FairQueue
from fuchsiafork.dispatch.groups import (
    assign_targets,
    local_group,
    request_group,
)
from fuchsiafork.dispatch.state import QueuedRequest
from fuchsiafork.kernel.errors import (
    DeadlineError,
    NoTargetError,
    QueueFullError,
)
from measurements.targets_load import SITES, make_document
from tests.dispatch_case import (
    ENGINE_1,
    ENGINE_2,
    ROUTER,
    OwnerCase,
    acquire_message,
)


class TestOverload(OwnerCase):
    """Queueing, refusals and spilling to other failure domains."""

    def test_request_that_cannot_meet_its_deadline_is_refused_at_once(
        self,
    ) -> None:
        """Guards against a caller that waits in vain."""
        self.fill()
        self.owner.schedulers['engine/0'].service_times.record('engine', 400)
        (answer,) = self.request('late', deadline_s=1)
        assert isinstance(answer, messages.SlotRefused)
        self.assertEqual(answer.code, DeadlineError.code)
        self.assertGreater(answer.retry_after_s, 0)
        self.assertEqual(self.request('late', deadline_s=1), [answer])

    def test_refused_request_gets_no_slot_later(self) -> None:
        """Guards against a slot granted to a request that was refused."""
        grants = self.fill()
        self.request('r', deadline_s=0.3)
        self.sent.clear()
        self.run_for(0.5)
        refusals = [
            one for one in self.sent if isinstance(one, messages.SlotRefused)
        ]
        self.assertEqual([one.request_id for one in refusals], ['r'])
        self.sent.clear()
        self.release(grants[0])
        kinds = {type(one) for one in self.sent}
        self.assertEqual(kinds, {messages.SlotReleased})

    def test_queue_is_bounded(self) -> None:
        """Guards against a queue that grows without bound."""
        self.fill()
        scheduler = self.owner.schedulers['engine/0']
        for number in range(QUEUE_LIMIT):
            self.request(f'q{number}', deadline_s=10_000)
        (refused,) = self.request('over', deadline_s=20_000)
        assert isinstance(refused, messages.SlotRefused)
        self.assertEqual(refused.code, QueueFullError.code)
        self.assertEqual(len(scheduler.queue), QUEUE_LIMIT)

    def test_request_without_target_is_refused_after_a_timeout(self) -> None:
        """Guards against requests that wait for targets that are gone."""
        self.unresponsive.update((ENGINE_1, ENGINE_2))
        self.run_for(3)
        self.assertEqual(self.request('r'), [])
        self.run_for(5.1)
        refused = self.sent[-1]
        assert isinstance(refused, messages.SlotRefused)
        self.assertEqual(refused.code, NoTargetError.code)

    def test_other_domains_get_a_bounded_share(self) -> None:
        """Guards against overload of another domain that takes all slots."""
        self.run_for(3)
        answers = [
            self.request(f'f{number}', foreign=True) for number in range(8)
        ]
        granted = [one for one in answers if one]
        # A fifth of 16 slots.
        self.assertEqual(len(granted), 3)

    def test_other_domains_get_no_slot_while_local_requests_wait(self) -> None:
        """Guards against requests of other domains that are served first."""
        self.fill()
        self.request('own')
        self.assertEqual(self.request('f', foreign=True), [])


def queued_request(
    number: int, account: str, priority: int = 5
) -> QueuedRequest:
    """Return a queued request with its number as the deadline."""
    message = acquire_message(
        f'{account}{number}', account=account, priority=priority
    )
    return QueuedRequest(message, ROUTER, 0, number, number, 'v', 0)


class TestFairness(unittest.TestCase):
    """Order of the queue."""

    def pop(self, queue: FairQueue) -> str:
        """Return the account served next; "long" has cost 2, others 1."""
        row = queue.pop(
            lambda _: True,
            lambda one: 2 if one.message.account == 'long' else 1,
            2,
        )
        assert row is not None
        return row.message.account

    def test_busy_account_does_not_delay_a_small_one(self) -> None:
        """Guards against an account that fills the queue before others."""
        queue = FairQueue()
        for number in range(50):
            queue.push(queued_request(number, 'long'))
        for number in range(4):
            queue.push(queued_request(100 + number, 'short'))
        served = [self.pop(queue) for _ in range(8)]
        self.assertEqual(served.count('short'), 4)

    def test_priority_goes_first_then_the_deadline(self) -> None:
        """Guards against an urgent request queued behind others."""
        queue = FairQueue()
        queue.push(queued_request(2, 'x'))
        queue.push(queued_request(1, 'x'))
        queue.push(queued_request(9, 'y', priority=0))
        keys = [queue.pop(lambda _: True, lambda _: 1, 1) for _ in range(3)]
        names = [one.key[0] for one in keys if one]
        self.assertEqual(names, ['y9', 'x1', 'x2'])

    def test_full_queue_drops_from_the_largest_account(self) -> None:
        """Guards against a full queue that refuses everyone else."""
        queue = FairQueue(limit=4)
        for number in range(4):
            queue.push(queued_request(number, 'big'))
        dropped = queue.push(queued_request(9, 'small'))
        assert dropped is not None
        self.assertEqual(dropped.key[0], 'big3')


class TestGroups(unittest.TestCase):
    """Assignment of targets and requests to groups."""

    def test_groups_are_bounded_and_stable(self) -> None:
        """Guards against groups over 16 targets and needless reassignment."""
        names = [f't{number}' for number in range(60)]
        groups = assign_targets('p', names)
        self.assertLessEqual(max(map(len, groups.values())), 16)
        self.assertEqual(len(groups), 4)
        self.assertEqual(assign_targets('p', reversed(names)), groups)

    def test_same_first_prefix_maps_to_the_same_group(self) -> None:
        """Guards against a conversation whose requests use two caches."""
        document = make_document(SITES[0])
        first = request_group(document, 'a', 'engine', (5, 6), 'r1')
        second = request_group(document, 'a', 'engine', (5, 9), 'r2')
        self.assertEqual(first, second)
        self.assertEqual(local_group('engine/5', 2), 'engine/1')
