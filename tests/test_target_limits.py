"""Limits that targets name, and the permits for requests to them."""

import random
import unittest

from fuchsiafork.platform.headers import parse_response_headers
from fuchsiafork.prepaid import HolderSlots, Occupant
from fuchsiafork.prepaid.holder_slots import Slot
from fuchsiafork.target_limits import (
    Decision,
    LimitChange,
    NamedLimits,
    Permit,
    PermitIssuer,
    read_permit,
    read_request,
)
from fuchsiafork.target_limits.permits import IDLE_S, MAX_WAIT_S, MIN_RATE_PER_S

TARGET = 't-1@5'
RATE = 2.6
WINDOW_S = 4.0


class TestLimitHeader(unittest.TestCase):
    """The header in which a target names its limit."""

    def test_decimal_numbers_are_limits(self) -> None:
        """Guards against limits that are not understood."""
        for text, rate in (('2.6', 2.6), ('0', 0), (' 40 ', 40), ('3.', 3)):
            metadata = parse_response_headers([('server-limit', text)])
            self.assertEqual(metadata.rate_limit, rate)
            self.assertEqual(metadata.invalid_rate_limit, '')

    def test_other_values_are_reported(self) -> None:
        """Guards against a value that is taken for a limit, or for its end."""
        for text in ('-1', 'nan', 'inf', '1e9', 'many', '1,5', '0x1', '9' * 40):
            metadata = parse_response_headers([('server-limit', text)])
            self.assertIsNone(metadata.rate_limit)
            self.assertEqual(metadata.invalid_rate_limit, text)


class TestNamedLimits(unittest.TestCase):
    """The limits that one VM knows."""

    def test_changes_are_told(self) -> None:
        """Guards against a log line for each answer."""
        limits = NamedLimits()
        changes = [
            limits.record_answer(TARGET, rate, now)
            for now, rate in enumerate((None, RATE, RATE, 3.9, None, None))
        ]
        none, named, ended = LimitChange
        self.assertEqual(changes, [none, named, none, named, ended, none])

    def test_limit_named_meanwhile_stays(self) -> None:
        """Guards against a limit that a late answer of an issuer ends."""
        limits = NamedLimits()
        limits.record_answer(TARGET, RATE, 1)
        known = limits.get(TARGET)
        assert known is not None
        limits.record_answer(TARGET, RATE, 2)
        limits.end(TARGET, known)
        self.assertIsNotNone(limits.get(TARGET))

    def test_targets_that_are_gone_are_forgotten(self) -> None:
        """Guards against a table that grows with each restart."""
        limits = NamedLimits()
        for number in range(5):
            limits.record_answer(f't-{number}', RATE, 0)
        limits.retain({'t-3'})
        self.assertEqual(len(limits), 1)


class TestPermitIssuer(unittest.TestCase):
    """Permits of one target."""

    def setUp(self) -> None:
        """Start without buckets."""
        self.issuer = PermitIssuer()

    def ask(self, now: float, rate: float = RATE, priority: int = 0) -> Permit:
        """Ask for a permit as a VM that was just told the limit."""
        return self.issuer.request(TARGET, rate, now, priority, now)

    def granted(
        self, rate: float, seconds: float, per_s: float = 80.0
    ) -> list[float]:
        """Return the times of the permits under a steady load."""
        steps = int(seconds * per_s)
        return [
            step / per_s
            for step in range(steps)
            if self.ask(step / per_s, rate).decision is Decision.GRANTED
        ]

    def test_permits_stay_within_the_limit_in_any_window(self) -> None:
        """Guards against more requests than the target accepts."""
        for rate in (0.5, 2.6, 3.9, 30.0):
            self.issuer = PermitIssuer()
            times = self.granted(rate, 20)
            most = max(
                sum(at <= other < at + WINDOW_S for other in times)
                for at in times
            )
            self.assertLessEqual(most, 1.5 * rate * WINDOW_S + 5)
            self.assertGreaterEqual(len(times), 0.9 * rate * 20 - 2)

    def test_permits_stay_within_the_limit_while_issuers_change(self) -> None:
        """Guards against a full bucket of each VM that takes over."""
        times: list[float] = []
        issuer = PermitIssuer()
        for step in range(800):
            now = step / 80
            if step % 40 == 0:
                issuer = PermitIssuer()
            permit = issuer.request(TARGET, RATE, now, 0, now)
            if permit.decision is Decision.GRANTED:
                times.append(now)
        self.assertLessEqual(len(times), RATE * 10)

    def test_idle_target_has_few_permits_at_hand(self) -> None:
        """Guards against a burst after a quiet time."""
        self.ask(0)
        decisions = [self.ask(50).decision for _ in range(20)]
        self.assertLessEqual(decisions.count(Decision.GRANTED), 5)

    def test_refused_vms_come_back_one_after_the_other(self) -> None:
        """Guards against all VMs that ask again at the same time."""
        waits = [self.ask(0).wait_s for _ in range(6)]
        self.assertEqual(waits, sorted(waits))
        self.assertAlmostEqual(waits[1] - waits[0], 1 / RATE)
        self.assertLessEqual(max(waits), MAX_WAIT_S)

    def test_scarce_permits_go_to_the_highest_priority(self) -> None:
        """Guards against urgent requests that are refused for others."""
        rng = random.Random(1)
        served = {0: 0, 2: 0}
        for step in range(4000):
            priority = rng.choice((0, 2))
            permit = self.ask(step / 40, priority=priority)
            served[priority] += permit.decision is Decision.GRANTED
        self.assertGreater(served[0], 3 * served[2])

    def test_end_is_told_to_vms_that_saw_the_limit_before(self) -> None:
        """Guards against a target without limit that gets little."""
        self.ask(1)
        self.issuer.end(TARGET, 5)
        old = self.issuer.request(TARGET, RATE, 4, 0, 6)
        self.assertIs(old.decision, Decision.UNLIMITED)
        new = self.issuer.request(TARGET, RATE, 5.5, 0, 6)
        self.assertIs(new.decision, Decision.REFUSED)

    def test_newest_limit_counts(self) -> None:
        """Guards against a VM that asks with a limit of the past."""
        self.issuer.request(TARGET, 1.0, 10, 0, 10)
        self.issuer.request(TARGET, 100.0, 5, 0, 10)
        granted = [self.ask(10 + n / 10, 1.0).decision for n in range(10)]
        self.assertLessEqual(granted.count(Decision.GRANTED), 1)

    def test_target_that_accepts_nothing_is_tried_rarely(self) -> None:
        """Guards against a limit of zero that never ends."""
        times = self.granted(0, 40)
        self.assertGreater(len(times), 0)
        self.assertLessEqual(len(times), 40 * MIN_RATE_PER_S)

    def test_idle_buckets_are_forgotten(self) -> None:
        """Guards against a table that grows with each restart."""
        for number in range(50):
            self.issuer.request(f't-{number}', RATE, 0, 0, 0)
        self.ask(IDLE_S + 1)
        self.assertEqual(len(self.issuer), 1)


class TestMessages(unittest.TestCase):
    """Calls between VMs."""

    def test_invalid_content_is_an_error(self) -> None:
        """Guards against a call that changes a bucket by mistake."""
        for content in (
            None,
            [],
            {'lifetime': '', 'rate': 1},
            {'lifetime': 't', 'rate': -1},
            {'lifetime': 't', 'rate': float('nan')},
            {'lifetime': 't'},
        ):
            with self.assertRaises(ValueError):
                read_request(content)
        for content in (None, {}, {'decision': 'perhaps'}):
            with self.assertRaises(ValueError):
                read_permit(content)


class TestIssuers(unittest.TestCase):
    """The VMs that issue permits."""

    def test_all_vms_ask_the_same_one(self) -> None:
        """Guards against one bucket for each failure domain."""
        orders = []
        for vm, domain in (('a-0', 'a'), ('b-2', 'b'), ('other', 'c')):
            slots = HolderSlots(vm, domain)
            for number in range(3):
                for place in 'abc':
                    name = f'{place}-{number}'
                    occupant = Occupant(name, f'10.0.0.{number}:{ord(place)}')
                    slots.update(Slot(place, number, 1, occupant))
            orders.append(slots.ranked_addresses(TARGET))
        self.assertEqual(orders[0], orders[1])
        self.assertEqual(orders[0], orders[2])
        self.assertEqual(len(orders[0]), 9)
