"""Tests of the request state machine, run by a scripted driver."""

import dataclasses
import functools
import json
import random
import unittest
from collections.abc import Callable
from typing import Any

from fuchsiafork import messages
from fuchsiafork.kernel import EventRing, FuchsiaforkError, HybridClock
from fuchsiafork.kernel.errors import (
    BudgetExhaustedError,
    KeyRequiredError,
    NoTargetError,
    OutcomeUnknownError,
    ReservationLapsedError,
    StreamTruncatedError,
    TargetFailedError,
)
from fuchsiafork.router import commands
from fuchsiafork.router.late_replies import late_reply
from fuchsiafork.router.request_ids import is_router_restart
from fuchsiafork.router.retry_budget import RetryBudget
from fuchsiafork.router.state_machine import serve_request
from standins.virtual import VirtualClock

REQUEST = commands.Request(
    request_id='r1',
    account='mill',
    budget='flour',
    route='plans',
    groups=('engine:a', 'engine:b'),
    priority=1,
    method='POST',
    path='/v1/chat/completions',
    headers={},
    body=b'{"max_tokens": 999}',
    engine=True,
    idempotent=True,
    key='k1',
    fingerprint='f1',
    prompt_tokens=10,
    output_limit=50,
    flat_tokens=0,
    deadline=30.0,
)
PAYMENT = dataclasses.replace(
    REQUEST,
    engine=False,
    idempotent=False,
    prompt_tokens=0,
    output_limit=0,
    flat_tokens=3,
)
WHOLE = commands.RelayResult(
    tokens=40,
    complete=True,
    over_limit=False,
    reached_caller=True,
    caller_gone=False,
    body=b'plan',
    replayable=True,
)


class Driver:
    """Replies to commands with default or scripted replies."""

    def __init__(self, **replies: list[Any]) -> None:
        """Use the given replies, by type name, before the defaults."""
        self.clock = VirtualClock()
        self.commands: list[Any] = []
        self.replies = replies
        self.refused: set[str] = set()
        self.background: list[Any] = []
        self.reply_hooks: dict[int, Callable[[], Any]] = {}
        self.shared = commands.SharedState(
            vm='a-1',
            clock=self.clock,
            random=random.Random(1),
            events=EventRing(HybridClock('a-1/router', self.clock)),
            retry_budget=RetryBudget(),
        )

    def run(self, request: commands.Request = REQUEST) -> Any:
        """Return the answer or the error of a request."""
        steps = serve_request(request, self.shared)
        reply = None
        while True:
            try:
                command = steps.send(reply)
            except StopIteration as stop:
                return stop.value
            except FuchsiaforkError as error:
                return error
            self.commands.append(command)
            reply = self._reply(command)
            if isinstance(command, commands.Spawn):
                self.background.extend(command.steps)
            if isinstance(reply, messages.SlotRefused):
                self.refused.add(command.message.request_id)

    def sent(self, kind: type) -> list[Any]:
        """Return the messages of a type that were sent."""
        return [
            command.message
            for command in (*self.commands, *self.background)
            if isinstance(command, commands.SendMessage | commands.RequestReply)
            and isinstance(command.message, kind)
        ]

    def calls(self) -> list[commands.CallTarget]:
        """Return the calls to targets."""
        return [
            command
            for command in self.commands
            if isinstance(command, commands.CallTarget)
        ]

    def _reply(self, command: Any) -> Any:
        hook = self.reply_hooks.pop(len(self.commands), None)
        if hook is not None:
            return hook()
        message = getattr(command, 'message', command)
        scripted = self.replies.get(type(message).__name__)
        if isinstance(command, commands.RequestReply) and not scripted:
            return self._keeper_reply(message)
        if isinstance(command, commands.SendMessage):
            return None
        if scripted:
            return scripted.pop(0)
        if isinstance(command, commands.CallTarget):
            return head(command.headers['X-Request-Id'])
        if isinstance(command, commands.Sleep):
            self.clock.advance(command.seconds)
        return WHOLE if isinstance(command, commands.RelayStream) else None

    def _keeper_reply(self, message: Any) -> Any:
        rid = message.request_id
        if isinstance(message, messages.BindKey):
            return messages.KeyBound(rid, message.key)
        if isinstance(message, messages.Reserve):
            return messages.Reserved(rid, 'flour', 'h#1', message.tokens, 5)
        name = f't{len(message.exclude)}'
        return messages.SlotAcquired(rid, 'plans', name, 'http://x', 'v1', 'o')


def head(request_id: str, status: int = 200) -> commands.TargetHead:
    """Return the head of an answer."""
    return commands.TargetHead(status, {'x-request-id': request_id})


class MachineCase(unittest.TestCase):
    """Base with the checks that apply to every ended request."""

    def check_end(self, driver: Driver, *, bound: bool = True) -> None:
        """Check that slots, reservations and key were each released once."""
        requested = _ids(driver.sent(messages.AcquireSlot)) - driver.refused
        released = _ids(driver.sent(messages.ReleaseSlot))
        cancelled = _ids(driver.sent(messages.CancelAcquire))
        self.assertEqual(requested, released | cancelled)
        settled = [row.request_id for row in driver.sent(messages.Settle)]
        self.assertEqual(len(settled), len(set(settled)))
        self.assertEqual(len(driver.sent(messages.RecordOutcome)), bound)


def _ids(rows: list[Any]) -> set[str]:
    return {row.request_id for row in rows}


class TestWholeAnswer(MachineCase):
    """A request that succeeds."""

    def test_answer_is_billed_recorded_and_limited(self) -> None:
        """Guards against an answer without bill, record or output limit."""
        driver = Driver()
        answer = driver.run()
        self.assertEqual((answer.tokens, answer.body), (40, b'plan'))
        settle = driver.sent(messages.Settle)[0]
        self.assertEqual((settle.tokens, settle.key), (40, 'k1'))
        body = json.loads(driver.calls()[0].body)
        self.assertEqual(body['max_tokens'], 50)
        self.assertEqual(driver.sent(messages.RecordOutcome)[0].state, 'done')
        self.check_end(driver)

    def test_stream_over_its_bound_is_billed_to_the_bound(self) -> None:
        """Guards against a bill over the reservation (R1)."""
        over = dataclasses.replace(
            WHOLE, tokens=999, complete=False, over_limit=True
        )
        driver = Driver(RelayStream=[over])
        driver.run()
        self.assertEqual(driver.sent(messages.Settle)[0].tokens, 60)
        event_kinds = [row.kind for row in driver.shared.events.since(0)]
        self.assertIn('target_over_limit', event_kinds)

    def test_error_answer_does_not_use_the_keys_settlement(self) -> None:
        """Guards against a later run that is never billed."""
        driver = Driver(CallTarget=[head('r1', 404)])
        self.assertEqual(driver.run().status, 404)
        settle = driver.sent(messages.Settle)[0]
        self.assertEqual((settle.tokens, settle.key), (0, 'r1'))

    def test_replay_runs_nothing(self) -> None:
        """Guards against a second run of a key that is done."""
        row = messages.KeyReplay('r1', 'k1', 'r0', 200, 'x', b'plan', 'v1')
        driver = Driver(BindKey=[row])
        self.assertEqual(driver.run().first_request_id, 'r0')
        self.assertEqual(len(driver.commands), 1)


class TestRefusals(MachineCase):
    """Requests that end before the first byte."""

    def test_refusals_are_not_run_and_leave_nothing_held(self) -> None:
        """Guards against slots, tokens or keys kept by refused requests."""
        refused = messages.ReserveRefused('r1', 'flour', 2101, 1)
        driver = Driver(Reserve=[refused])
        self.assertIsInstance(driver.run(), BudgetExhaustedError)
        self.check_end(driver)
        slot = messages.SlotRefused('r1.s1', 'plans', 2202, 1)
        driver = Driver(AcquireSlot=[slot])
        self.assertEqual(driver.run().run_state, 'not_run')
        self.assertEqual(driver.sent(messages.Settle)[0].tokens, 0)
        self.assertEqual(
            driver.sent(messages.RecordOutcome)[0].state,
            'not_run',
        )

    def test_cancel_does_not_use_the_keys_settlement(self) -> None:
        """Guards against a retry that is never billed after a cancel."""
        failed = commands.ConnectFailed()
        driver = Driver(CallTarget=[failed, failed, failed])
        self.assertIsInstance(driver.run(), NoTargetError)
        settle = driver.sent(messages.Settle)[0]
        self.assertEqual((settle.tokens, settle.key), (0, 'r1'))
        self.check_end(driver)

    def test_non_idempotent_call_needs_a_key(self) -> None:
        """Guards against a payment whose retry looks like a new one."""
        payment = dataclasses.replace(PAYMENT, key='')
        self.assertIsInstance(Driver().run(payment), KeyRequiredError)

    def test_full_group_spills_to_the_next_group(self) -> None:
        """Guards against a refusal while another failure domain has slots."""
        full = messages.SlotRefused('r1.s1', 'plans', 2201, 1)
        driver = Driver(AcquireSlot=[full])
        driver.run()
        message = driver.sent(messages.AcquireSlot)[-1]
        self.assertEqual((message.group, message.foreign), ('engine:b', True))

    def test_refused_claim_still_reports_not_run(self) -> None:
        """Guards against a claim left by a lost store reply."""
        refused = messages.KeyRefused('r1', 'k1', 2205, 1)
        claimed = dataclasses.replace(refused, claimed=True)
        for replies, bound in (
            ([refused], False),
            ([claimed], True),
            ([None, refused], True),
        ):
            driver = Driver(BindKey=replies)
            self.assertEqual(driver.run(PAYMENT).code, 2205)
            self.check_end(driver, bound=bound)


class TestDeadlines(MachineCase):
    """Expiry of reservation and slot immediately before the first byte."""

    def test_lapsed_reservation_is_never_used(self) -> None:
        """Guards against a first byte after the reservation's deadline."""
        driver = Driver()
        # Commands: bind, reserve, acquire, start use; the pause follows.
        driver.reply_hooks[4] = lambda: driver.clock.advance(6)
        driver.run()
        self.assertEqual(driver.calls()[0].headers['X-Request-Id'], 'r1.r2')
        first, second = driver.sent(messages.Settle)
        self.assertEqual((first.request_id, first.tokens), ('r1', 0))
        self.assertEqual((second.request_id, second.key), ('r1.r2', 'k1'))
        self.assertEqual(len(driver.sent(messages.AcquireSlot)), 2)

    def test_request_past_its_deadline_is_not_sent(self) -> None:
        """Guards against a request sent too late by a paused router."""
        for deadline in (30.0, 1.0):
            driver = Driver()
            pause = deadline + 0.1
            driver.reply_hooks[4] = functools.partial(
                driver.clock.advance, pause
            )
            payment = dataclasses.replace(PAYMENT, deadline=deadline)
            error = driver.run(payment)
            self.assertEqual((error.code, error.run_state), (2202, 'not_run'))
            self.assertEqual(driver.calls(), [])
            self.check_end(driver)
        self.assertTrue(ReservationLapsedError.retry_safe)


class TestFailures(MachineCase):
    """Targets that fail once a byte was sent."""

    def test_refusal_of_a_retry_is_not_called_not_run(self) -> None:
        """Guards against a wrong not_run (R5)."""
        driver = Driver(CallTarget=[commands.TargetBroken()])
        refused = messages.SlotRefused('r1.s2', 'plans', 2202, 1)
        # Commands: bind, reserve, acquire, use, call, release, sleep, acquire.
        driver.reply_hooks[8] = lambda: refused
        error = driver.run()
        self.assertIsInstance(error, TargetFailedError)
        self.assertEqual(error.run_state, 'run')
        self.check_end(driver)

    def test_non_idempotent_call_is_sent_once(self) -> None:
        """Guards against a payment executed twice (R6)."""
        for reply in (commands.TargetBroken(), head('other')):
            driver = Driver(CallTarget=[reply], ReadTargetRecord=[None])
            self.assertIsInstance(driver.run(PAYMENT), OutcomeUnknownError)
            self.assertEqual(len(driver.calls()), 1)
            self.assertEqual(driver.sent(messages.Settle)[0].tokens, 3)
            record = driver.sent(messages.RecordOutcome)[0]
            self.assertEqual(record.state, 'unknown')

    def test_record_is_polled_while_target_is_unreachable(self) -> None:
        """Guards against a bill for a payment whose target was down."""
        driver = Driver(
            CallTarget=[commands.TargetBroken()], ReadTargetRecord=[None]
        )
        driver.run(PAYMENT)
        reads = [
            command
            for command in driver.background
            if isinstance(command, commands.ReadTargetRecord)
        ]
        self.assertGreater(len(reads), 10)

    def test_call_that_target_never_received_is_not_billed(self) -> None:
        """Guards against a bill for a payment that was not made."""
        driver = Driver(
            CallTarget=[commands.TargetBroken()],
            ReadTargetRecord=[commands.TargetRecord(found=False, tokens=0)],
        )
        driver.run(PAYMENT)
        self.assertEqual(driver.sent(messages.Settle)[0].tokens, 0)

    def test_crossed_answer_is_dropped_and_retried_elsewhere(self) -> None:
        """Guards against another request's answer (R4)."""
        driver = Driver(CallTarget=[head('r9')])
        self.assertEqual(driver.run().body, b'plan')
        first, second = driver.calls()
        self.assertNotEqual(first.target, second.target)
        at = driver.commands.index(first) + 1
        self.assertIsInstance(driver.commands[at], commands.DropAnswer)
        self.check_end(driver)

    def test_truncated_answer_is_retried_only_if_nothing_was_sent(
        self,
    ) -> None:
        """Guards against a spliced and against a truncated answer (R4)."""
        short = dataclasses.replace(WHOLE, tokens=15, complete=False)
        unseen = dataclasses.replace(short, reached_caller=False)
        driver = Driver(RelayStream=[unseen])
        self.assertEqual(driver.run().tokens, 40)
        self.assertEqual(len(driver.calls()), 2)
        driver = Driver(RelayStream=[short])
        self.assertIsInstance(driver.run(), StreamTruncatedError)
        self.assertEqual(len(driver.calls()), 1)
        self.assertEqual(driver.sent(messages.Settle)[0].tokens, 15)
        self.check_end(driver)

    def test_every_lost_reply_ends_cleanly(self) -> None:
        """Guards against a path that never releases a slot, tokens or a key."""
        for request in (REQUEST, PAYMENT):
            baseline = Driver()
            baseline.run(request)
            for number, command in enumerate(baseline.commands, start=1):
                if isinstance(command, commands.RelayStream):
                    continue
                driver = Driver()
                driver.reply_hooks[number] = lambda: None
                with self.subTest(command=type(command).__name__):
                    driver.run(request)
                    self.check_end(driver)


class TestRetryBudget(unittest.TestCase):
    """Limit of retries in proportion to requests."""

    def test_retries_stay_under_a_tenth(self) -> None:
        """Guards against retries that multiply the load of an outage."""
        budget = RetryBudget()
        retries = 0
        for _ in range(1000):
            budget.count_request()
            retries += sum(1 for _ in range(2) if budget.try_acquire())
        self.assertLessEqual(retries, 1000 * 0.1 + 10)


class TestLateReplies(unittest.TestCase):
    """Grants that arrive after their request has ended."""

    def test_late_grants_are_released(self) -> None:
        """Guards against slots and tokens that are never released."""
        slot = messages.SlotAcquired('r1.s1', 'p', 't', 'u', 'v', 'a-2/keeper')
        self.assertEqual(late_reply(slot).destination, 'a-2/keeper')
        reservation = messages.Reserved('r1', 'flour', 'h#1', 60, 5)
        self.assertEqual(late_reply(reservation).message.tokens, 0)
        self.assertIsNone(late_reply(messages.KeyBound('r1', 'k1')))

    def test_ids_distinguish_restart_from_other_router(self) -> None:
        """Guards against a live router that is regarded as restarted."""
        self.assertTrue(is_router_restart('a-1.router.i1~7', 'a-1.router.i2~1'))
        self.assertFalse(
            is_router_restart('a-1.router.i1~7', 'a-1.router.i1~8')
        )
        self.assertFalse(is_router_restart('a-1.router.i1~7', 'a-1.other.i2~1'))
        self.assertFalse(is_router_restart('plain', 'other'))
