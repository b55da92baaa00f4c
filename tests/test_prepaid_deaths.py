"""Prepaid tokens of processes that were killed or lost power."""

import random
import unittest

from fuchsiafork.kernel import Clock
from fuchsiafork.prepaid import FleetTime, Ledger, TokenAllocator
from fuchsiafork.prepaid.allocator import FLEET_TIME_WAIT_S
from fuchsiafork.prepaid.ledger import RAMP_END_S
from standins.virtual import VirtualClock
from tests.prepaid_case import PREPAID, Record, make_allocator, sync_once


class TestDeath(unittest.TestCase):
    """What becomes of the tokens of a process that was killed."""

    def setUp(self) -> None:
        """Kill a process that has spent all that it may."""
        self.clock = VirtualClock()
        self.record = Record()
        victim = make_allocator('a#1', self.clock)
        sync_once(victim, self.record)
        self.granted = self.record.read()[0].entry('acme').share('a#1').grant
        self.victim = victim

    def _successor_free(self) -> int:
        """Return what is free after a successor's first writes."""
        successor = make_allocator('a#2', self.clock)
        successor.begin_shutdown()
        sync_once(successor, self.record)
        # Without the fleet's time it waits for it at first.
        self.clock.advance(FLEET_TIME_WAIT_S + 0.1)
        sync_once(successor, self.record)
        return self.record.read()[0].entry('acme').free(PREPAID)

    def test_soon_successor_frees_what_was_not_spendable(self) -> None:
        """Guards against withholding the whole grant at each restart."""
        self.clock.advance(2.0)
        spent = self.victim.available('acme')
        free = self._successor_free()
        self.assertGreater(free, PREPAID - self.granted)
        self.assertLessEqual(free, PREPAID - spent)

    def test_late_successor_frees_nothing(self) -> None:
        """Guards against freeing tokens spent while the store was away."""
        self.clock.advance(RAMP_END_S + 1)
        self.assertEqual(self.victim.available('acme'), self.granted)
        self.assertEqual(self._successor_free(), PREPAID - self.granted)

    def test_jump_of_the_calendar_time_frees_nothing(self) -> None:
        """Guards against a clock that was set back during the death."""
        self.clock.advance(RAMP_END_S + 1)
        self.clock._boot -= 7.0
        self.assertEqual(self._successor_free(), PREPAID - self.granted)

    def test_clock_that_was_set_back_a_little(self) -> None:
        """Guards against withholding all, and against freeing too much."""
        for jump in (-2.4, 2.4):
            self.setUp()
            self.clock.advance(0.5)
            spent = self.victim.available('acme')
            self.clock._boot += jump
            free = self._successor_free()
            self.assertGreater(free, PREPAID - self.granted)
            self.assertLessEqual(free, PREPAID - spent)

    def test_successor_after_a_loss_of_power(self) -> None:
        """Guards against withholding the whole grant after a reboot."""
        for boot in (-40_000.0, 40_000.0):
            self.setUp()
            self.clock.advance(2.0)
            spent = self.victim.available('acme')
            self.clock._now += boot
            self.clock._boot -= boot
            free = self._successor_free()
            self.assertGreater(free, PREPAID - self.granted)
            self.assertLessEqual(free, PREPAID - spent)

    def test_other_vm_frees_nothing(self) -> None:
        """Guards against closing out a VM that may only be cut off."""
        other = make_allocator('b#1', self.clock)
        other.begin_shutdown()
        sync_once(other, self.record)
        entry = self.record.read()[0].entry('acme')
        self.assertEqual(entry.share('a#1').grant, self.granted)


class TestFleetTime(unittest.TestCase):
    """The time on which the clocks of the fleet agree."""

    def setUp(self) -> None:
        """Start without knowing the time."""
        self.clock = VirtualClock()
        self.time = FleetTime(self.clock)

    def synchronize(self, *apart: float) -> bool:
        """Compare with clocks that are some seconds ahead."""
        own = self.clock.wall() - self.clock.now()
        return self.time.synchronize([own + seconds for seconds in apart])

    def test_median_of_clocks_that_agree(self) -> None:
        """Guards against a time that one slow clock moves."""
        self.assertIsNone(self.time.unix_time(0.0))
        self.assertTrue(self.synchronize(0.1, 0.2))
        unix_time = self.time.unix_time(self.clock.now())
        assert unix_time is not None
        self.assertAlmostEqual(unix_time, self.clock.wall() + 0.1)

    def test_clock_that_has_jumped_is_not_believed(self) -> None:
        """Guards against an end that seems sooner than it was."""
        self.assertFalse(self.synchronize(0.0, 0.1, 2.0))
        self.assertFalse(self.synchronize(-2.0, -2.0))
        self.assertIsNone(self.time.unix_time(0.0))

    def test_one_other_clock_is_too_few(self) -> None:
        """Guards against two clocks that have jumped alike."""
        self.assertFalse(self.synchronize(0.0))

    def test_later_jumps_change_nothing(self) -> None:
        """Guards against a step of the calendar time after the comparison."""
        self.synchronize(0.0, 0.0)
        before = self.clock.wall()
        self.clock._boot += 2.0
        self.clock.advance(1.0)
        self.assertEqual(self.time.unix_time(self.clock.now()), before + 1.0)


class TestPowerLoss(unittest.TestCase):
    """A VM that boots anew, with and without the fleet's time."""

    def free_after_reboot(self, *, synchronized: bool) -> int:
        """
        Return what a successor frees of a VM that lost power.

        :param known: whether both processes know the fleet's time.
        """
        self.clock, self.record = VirtualClock(), Record()
        victim = self.start('a#1', synchronized=synchronized)
        sync_once(victim, self.record)
        self.clock.advance(2.0)
        self.spendable = victim.available('acme')
        self.clock._now -= 40_000.0
        self.clock._boot += 40_000.0
        successor = self.start('a#2', synchronized=synchronized)
        successor.begin_shutdown()
        sync_once(successor, self.record)
        self.first = self.record.read()[0].entry('acme').free(PREPAID)
        self.clock.advance(FLEET_TIME_WAIT_S + 0.1)
        sync_once(successor, self.record)
        return self.record.read()[0].entry('acme').free(PREPAID)

    def start(self, holder: str, *, synchronized: bool) -> TokenAllocator:
        """Return a process."""
        time = FleetTime(self.clock)
        if synchronized:
            ahead = self.clock.wall() - self.clock.now()
            time.synchronize([ahead, ahead])
        allocator = TokenAllocator(holder, f'{holder}:1', self.clock, time)
        allocator.set_prepaid({'acme': PREPAID})
        return allocator

    def test_known_time_frees_more_at_once(self) -> None:
        """Guards against withholding for jumps that did not happen."""
        unknown = self.free_after_reboot(synchronized=False)
        synchronized = self.free_after_reboot(synchronized=True)
        self.assertEqual(synchronized, self.first)
        self.assertGreater(synchronized, unknown + PREPAID // 20)
        self.assertLessEqual(synchronized, PREPAID - self.spendable)

    def test_waits_for_the_time_a_while(self) -> None:
        """Guards against giving up what the fleet's time would free."""
        unknown = self.free_after_reboot(synchronized=False)
        self.assertLess(self.first, unknown)
        self.assertLessEqual(unknown, PREPAID - self.spendable)


class _VmClock(Clock):
    """A VM's clocks: one begins anew with the VM, the other may jump."""

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.booted = 0.0
        self.jump = 0.0

    def now(self) -> float:
        return self.clock.now() - self.booted

    def wall(self) -> float:
        return self.clock.wall() + self.jump


class _Fleet:
    """VMs that spend at random under random faults; counts real spend."""

    def __init__(self, seed: int, *, forget_windows: bool = False) -> None:
        self.chance = random.Random(seed)
        self.clock = VirtualClock()
        self.clocks = {name: _VmClock(self.clock) for name in 'abcd'}
        self.times: dict[str, FleetTime] = {}
        self.record = Record()
        self.prepaid = PREPAID
        self.spent = 0
        self.starts = 0
        self.vms: dict[str, TokenAllocator] = {}
        self.open: dict[str, list[object]] = {}
        self.late: list[tuple[int, Ledger]] = []
        self.forget_windows = forget_windows
        for name in 'abcd':
            self.start(name)

    def start(self, name: str) -> None:
        """Start a VM's process anew; the open requests of the old one end."""
        self.starts += 1
        clock = self.clocks[name]
        if self.chance.random() < 0.3:
            clock.booted = self.clock.now()
        time = FleetTime(clock)
        self.times[name] = time
        allocator = TokenAllocator(
            f'{name}#{self.starts}', f'{name}:1', clock, time
        )
        allocator.set_prepaid({'acme': self.prepaid})
        self.vms[name] = allocator
        self.open[name] = []

    def spend(self, name: str) -> None:
        """Send a request; its targets count its cost at once."""
        reservation = self.vms[name].reserve(
            'acme',
            self.chance.randint(1, 3000),
        )
        if reservation is not None:
            self.spent += reservation.tokens
            self.open[name].append(reservation)

    def settle(self, name: str) -> None:
        """End a request at its full cost."""
        if self.open[name]:
            reservation = self.open[name].pop()
            self.vms[name].settle(reservation, reservation.tokens)  # type: ignore[attr-defined]

    def sync(self, name: str) -> None:
        """Read and write the record; the answer may be lost or late."""
        allocator = self.vms[name]
        ledger, revision = self.record.read()
        allocator.apply_record(ledger, revision)
        change = allocator.plan_write(ledger, revision)
        if self.forget_windows:
            self._break_windows(ledger)
        fate = self.chance.random()
        if fate < 0.15:
            self.late.append((revision, ledger))
        elif fate < 0.3:
            self.record.swap(revision, ledger)
        elif self.record.swap(revision, ledger):
            allocator.confirm_write(change, ledger)

    def transfer_out(self, name: str) -> None:
        """Ask another VM for tokens; the answer may be lost."""
        other = self.chance.choice([vm for vm in self.vms if vm != name])
        given = self.vms[other].transfer_out(
            'acme', self.chance.randint(1, 4000)
        )
        if self.chance.random() < 0.8:
            self.vms[name].transfer_in('acme', given)

    def step(self) -> None:
        """Let one thing happen."""
        pauses = (0.01, 0.02, 0.1, 0.4, 9.0)
        weights = (10, 10, 10, 10, 0.2)
        self.clock.advance(self.chance.choices(pauses, weights)[0])
        name = self.chance.choice(tuple(self.vms))
        acts = (
            (self.spend, 50),
            (self.settle, 20),
            (self.sync, 15),
            (self.transfer_out, 7),
            (self.apply_late, 5),
            (self.start, 3),
            (self.jump, 1),
            (self.synchronize, 10),
            (self.top_up, 1),
        )
        kinds, shares = zip(*acts, strict=True)
        self.chance.choices(kinds, shares)[0](name)

    def jump(self, name: str) -> None:
        """Let the time of day of one VM jump, or jump back."""
        jumped = any(clock.jump for clock in self.clocks.values())
        for clock in self.clocks.values():
            clock.jump = 0.0
        if not jumped:
            self.clocks[name].jump = self.chance.uniform(-2.4, 2.4)

    def synchronize(self, name: str) -> None:
        """Compare a VM's clock with the others, until they agree."""
        if not self.times[name].synchronized:
            own = self.clocks[name].now()
            walls = [clock.wall() for clock in self.clocks.values()]
            self.times[name].synchronize([wall - own for wall in walls])

    def apply_late(self, name: str) -> None:
        """Let a delayed write arrive at the store."""
        if self.late:
            self.record.swap(*self.late.pop())

    def top_up(self, name: str) -> None:
        """Raise the budget; all VMs hear of it."""
        self.prepaid += 5000
        for allocator in self.vms.values():
            allocator.set_prepaid({'acme': self.prepaid})

    @staticmethod
    def _break_windows(ledger: Ledger) -> None:
        """Leave the windows out of a record, as a control."""
        for share in ledger.entry('acme').shares.values():
            share.burst = share.rate = 0


class TestNoOverspend(unittest.TestCase):
    """Random kills, lost and late answers, transfers and top-ups."""

    def test_spend_stays_inside_the_budget(self) -> None:
        """Guards against any interleaving that overspends."""
        served = 0
        for seed in range(60):
            fleet = _Fleet(seed)
            for _ in range(1500):
                fleet.step()
                self.assertLessEqual(fleet.spent, fleet.prepaid, seed)
            served += fleet.spent
        self.assertGreater(served, 60 * PREPAID // 2)

    def test_control_without_windows_overspends(self) -> None:
        """Shows that the test above sees what windows prevent."""
        broken = 0
        for seed in range(60):
            fleet = _Fleet(seed, forget_windows=True)
            for _ in range(1500):
                fleet.step()
            broken += fleet.spent > fleet.prepaid
        self.assertGreater(broken, 0)


if __name__ == '__main__':
    unittest.main()
