"""Tests of the queue, fairness and groups."""

import unittest

from fuchsiafork import messages
from fuchsiafork.dispatch.fair_queue import QUEUE_LIMIT, FairQueue
from fuchsiafork.dispatch.groups import (
    local_group,
    request_group,
    split_targets,
)
from fuchsiafork.dispatch.state import QueuedRequest
from fuchsiafork.kernel.errors import (
    DeadlineError,
    NoTargetError,
    QueueFullError,
)
from measurements.targets_load import SITES, make_document
from tests.dispatch_case import (
    ONE,
    ROUTER,
    TWO,
    OwnerCase,
    wish,
)


class TestOverload(OwnerCase):
    """Queue, refusals and spill."""

    def test_late_request_is_refused_early(self) -> None:
        """Guards against a caller that waits for nothing."""
        self.fill()
        self.owner.schedulers['engine/0'].service_times.record('engine', 400)
        (answer,) = self.ask('late', deadline_s=1)
        assert isinstance(answer, messages.SlotRefused)
        self.assertEqual(answer.code, DeadlineError.code)
        self.assertGreater(answer.retry_after_s, 0)
        self.assertEqual(self.ask('late', deadline_s=1), [answer])

    def test_refused_request_gets_no_slot_later(self) -> None:
        """Guards against a refusal that becomes untrue."""
        grants = self.fill()
        self.ask('r', deadline_s=0.3)
        self.mail.clear()
        self.step(0.5)
        refusals = [
            one for one in self.mail if isinstance(one, messages.SlotRefused)
        ]
        self.assertEqual([one.request_id for one in refusals], ['r'])
        self.mail.clear()
        self.release(grants[0])
        kinds = {type(one) for one in self.mail}
        self.assertEqual(kinds, {messages.SlotReleased})

    def test_queue_is_bounded(self) -> None:
        """Guards against a queue that grows without end."""
        self.fill()
        scheduler = self.owner.schedulers['engine/0']
        for number in range(QUEUE_LIMIT):
            self.ask(f'q{number}', deadline_s=10_000)
        (refused,) = self.ask('over', deadline_s=20_000)
        assert isinstance(refused, messages.SlotRefused)
        self.assertEqual(refused.code, QueueFullError.code)
        self.assertEqual(len(scheduler.queue), QUEUE_LIMIT)

    def test_no_target_is_refused_after_a_handover_time(self) -> None:
        """Guards against requests that wait for targets that are gone."""
        self.silent.update((ONE, TWO))
        self.step(3)
        self.assertEqual(self.ask('r'), [])
        self.step(5.1)
        refused = self.mail[-1]
        assert isinstance(refused, messages.SlotRefused)
        self.assertEqual(refused.code, NoTargetError.code)

    def test_other_domains_get_a_bounded_share(self) -> None:
        """Guards against a surge elsewhere that takes all slots here."""
        self.step(3)
        answers = [self.ask(f'f{number}', foreign=True) for number in range(8)]
        granted = [one for one in answers if one]
        # A fifth of 16 slots.
        self.assertEqual(len(granted), 3)

    def test_other_domains_get_nothing_while_own_requests_wait(self) -> None:
        """Guards against spill that is served before the own domain."""
        self.fill()
        self.ask('own')
        self.assertEqual(self.ask('f', foreign=True), [])


def waiting(number: int, account: str, priority: int = 5) -> QueuedRequest:
    """Return a request in the queue."""
    message = wish(f'{account}{number}', account=account, priority=priority)
    return QueuedRequest(message, ROUTER, 0, number, number, 'v', 0)


class TestFairness(unittest.TestCase):
    """Order of the queue."""

    def pop(self, queue: FairQueue) -> str:
        """Return the account that is served next, at cost 1 or 2."""
        row = queue.pop(
            lambda _: True,
            lambda one: 2 if one.message.account == 'long' else 1,
            2,
        )
        assert row is not None
        return row.message.account

    def test_large_account_does_not_delay_a_small_one(self) -> None:
        """Guards against an account that fills the queue first."""
        queue = FairQueue()
        for number in range(50):
            queue.push(waiting(number, 'long'))
        for number in range(4):
            queue.push(waiting(100 + number, 'short'))
        served = [self.pop(queue) for _ in range(8)]
        self.assertEqual(served.count('short'), 4)

    def test_priority_goes_first_then_the_deadline(self) -> None:
        """Guards against an urgent request behind others."""
        queue = FairQueue()
        queue.push(waiting(2, 'x'))
        queue.push(waiting(1, 'x'))
        queue.push(waiting(9, 'y', priority=0))
        keys = [queue.pop(lambda _: True, lambda _: 1, 1) for _ in range(3)]
        names = [one.key[0] for one in keys if one]
        self.assertEqual(names, ['y9', 'x1', 'x2'])

    def test_full_queue_drops_from_the_largest_account(self) -> None:
        """Guards against a full queue that refuses everyone else."""
        queue = FairQueue(limit=4)
        for number in range(4):
            queue.push(waiting(number, 'big'))
        dropped = queue.push(waiting(9, 'small'))
        assert dropped is not None
        self.assertEqual(dropped.key[0], 'big3')


class TestGroups(unittest.TestCase):
    """Which group a request names."""

    def test_groups_are_bounded_and_steady(self) -> None:
        """Guards against groups over 16 targets and against churn."""
        names = [f't{number}' for number in range(60)]
        groups = split_targets('p', names)
        self.assertLessEqual(max(map(len, groups.values())), 16)
        self.assertEqual(len(groups), 4)
        self.assertEqual(split_targets('p', reversed(names)), groups)

    def test_same_first_prefix_names_the_same_group(self) -> None:
        """Guards against one conversation in two caches."""
        document = make_document(SITES[0])
        first = request_group(document, 'a', 'engine', (5, 6), 'r1')
        second = request_group(document, 'a', 'engine', (5, 9), 'r2')
        self.assertEqual(first, second)
        self.assertEqual(local_group('engine/5', 2), 'engine/1')
