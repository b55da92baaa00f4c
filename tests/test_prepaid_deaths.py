"""Tests of prepaid tokens after process kills and power losses."""

import random
import unittest

from fuchsiafork.kernel import Clock
from fuchsiafork.prepaid import FleetTime, Ledger, TokenAllocator
from fuchsiafork.prepaid.allocator import FLEET_TIME_WAIT_S
from fuchsiafork.prepaid.ledger import RAMP_END_S
from standins.virtual import VirtualClock
from tests.prepaid_case import PREPAID, Record, make_allocator, sync_once


class TestKilledProcess(unittest.TestCase):
    """Tokens of a killed process after its successor has started."""

    def setUp(self) -> None:
        """Start a process that gets a grant and then stops writing."""
        self.clock = VirtualClock()
        self.record = Record()
        victim = make_allocator('a#1', self.clock)
        sync_once(victim, self.record)
        self.granted = self.record.read()[0].entry('acme').share('a#1').grant
        self.victim = victim

    def _successor_free(self) -> int:
        """Return the free tokens after a successor's first writes."""
        successor = make_allocator('a#2', self.clock)
        successor.begin_shutdown()
        sync_once(successor, self.record)
        # At first the successor waits for the fleet time.
        self.clock.advance(FLEET_TIME_WAIT_S + 0.1)
        sync_once(successor, self.record)
        return self.record.read()[0].entry('acme').free(PREPAID)

    def test_early_successor_frees_unspendable_tokens(self) -> None:
        """Guards against withholding the whole grant at each restart."""
        self.clock.advance(2.0)
        spent = self.victim.available('acme')
        free = self._successor_free()
        self.assertGreater(free, PREPAID - self.granted)
        self.assertLessEqual(free, PREPAID - spent)

    def test_late_successor_frees_nothing(self) -> None:
        """Guards against freeing tokens spent without the store."""
        self.clock.advance(RAMP_END_S + 1)
        self.assertEqual(self.victim.available('acme'), self.granted)
        self.assertEqual(self._successor_free(), PREPAID - self.granted)

    def test_large_wall_clock_jump_frees_nothing(self) -> None:
        """Guards against a wall clock set back between kill and restart."""
        self.clock.advance(RAMP_END_S + 1)
        self.clock._start_unix_time -= 7.0
        self.assertEqual(self._successor_free(), PREPAID - self.granted)

    def test_small_wall_clock_jump_frees_part(self) -> None:
        """Guards against withholding everything, and freeing spent tokens."""
        for jump in (-2.4, 2.4):
            self.setUp()
            self.clock.advance(0.5)
            spent = self.victim.available('acme')
            self.clock._start_unix_time += jump
            free = self._successor_free()
            self.assertGreater(free, PREPAID - self.granted)
            self.assertLessEqual(free, PREPAID - spent)

    def test_successor_after_a_power_loss(self) -> None:
        """Guards against withholding the whole grant after a reboot."""
        for boot in (-40_000.0, 40_000.0):
            self.setUp()
            self.clock.advance(2.0)
            spent = self.victim.available('acme')
            self.clock._now += boot
            self.clock._start_unix_time -= boot
            free = self._successor_free()
            self.assertGreater(free, PREPAID - self.granted)
            self.assertLessEqual(free, PREPAID - spent)

    def test_other_vm_frees_nothing(self) -> None:
        """Guards against freeing the grant of a VM that may be unreachable."""
        other = make_allocator('b#1', self.clock)
        other.begin_shutdown()
        sync_once(other, self.record)
        entry = self.record.read()[0].entry('acme')
        self.assertEqual(entry.share('a#1').grant, self.granted)


class TestFleetTime(unittest.TestCase):
    """Synchronization of the fleet time."""

    def setUp(self) -> None:
        """Start unsynchronized."""
        self.clock = VirtualClock()
        self.time = FleetTime(self.clock)

    def synchronize(self, *differences: float) -> bool:
        """Synchronize with clocks that are ahead by the given seconds."""
        own_offset = self.clock.wall() - self.clock.now()
        return self.time.synchronize([
            own_offset + seconds for seconds in differences
        ])

    def test_median_of_clocks_that_agree(self) -> None:
        """Guards against a fleet time shifted by one wrong clock."""
        self.assertIsNone(self.time.unix_time(0.0))
        self.assertTrue(self.synchronize(0.1, 0.2))
        unix_time = self.time.unix_time(self.clock.now())
        assert unix_time is not None
        self.assertAlmostEqual(unix_time, self.clock.wall() + 0.1)

    def test_clock_that_has_jumped_is_rejected(self) -> None:
        """Guards against underestimating the time since a write."""
        self.assertFalse(self.synchronize(0.0, 0.1, 2.0))
        self.assertFalse(self.synchronize(-2.0, -2.0))
        self.assertIsNone(self.time.unix_time(0.0))

    def test_one_other_clock_is_not_enough(self) -> None:
        """Guards against two clocks with the same jump."""
        self.assertFalse(self.synchronize(0.0))

    def test_later_wall_clock_jumps_are_ignored(self) -> None:
        """Guards against a wall clock step after the synchronization."""
        self.synchronize(0.0, 0.0)
        before = self.clock.wall()
        self.clock._start_unix_time += 2.0
        self.clock.advance(1.0)
        self.assertEqual(self.time.unix_time(self.clock.now()), before + 1.0)


class TestPowerLoss(unittest.TestCase):
    """Reboot of a VM with and without the fleet time."""

    def free_after_reboot(self, *, synchronized: bool) -> int:
        """
        Return the free tokens after a VM lost power and its successor ran.

        :param synchronized: whether both processes know the fleet time.
        """
        self.clock, self.record = VirtualClock(), Record()
        victim = self.start('a#1', synchronized=synchronized)
        sync_once(victim, self.record)
        self.clock.advance(2.0)
        self.spendable = victim.available('acme')
        self.clock._now -= 40_000.0
        self.clock._start_unix_time += 40_000.0
        successor = self.start('a#2', synchronized=synchronized)
        successor.begin_shutdown()
        sync_once(successor, self.record)
        self.first = self.record.read()[0].entry('acme').free(PREPAID)
        self.clock.advance(FLEET_TIME_WAIT_S + 0.1)
        sync_once(successor, self.record)
        return self.record.read()[0].entry('acme').free(PREPAID)

    def start(self, holder: str, *, synchronized: bool) -> TokenAllocator:
        """Return the allocator of a process."""
        time = FleetTime(self.clock)
        if synchronized:
            offset = self.clock.wall() - self.clock.now()
            time.synchronize([offset, offset])
        allocator = TokenAllocator(holder, f'{holder}:1', self.clock, time)
        allocator.set_prepaid({'acme': PREPAID})
        return allocator

    def test_fleet_time_frees_more_immediately(self) -> None:
        """Guards against withholding tokens for jumps that didn't occur."""
        unsynchronized = self.free_after_reboot(synchronized=False)
        synchronized = self.free_after_reboot(synchronized=True)
        self.assertEqual(synchronized, self.first)
        self.assertGreater(synchronized, unsynchronized + PREPAID // 20)
        self.assertLessEqual(synchronized, PREPAID - self.spendable)

    def test_waits_for_the_fleet_time(self) -> None:
        """Guards against withholding what the fleet time would free."""
        unsynchronized = self.free_after_reboot(synchronized=False)
        self.assertLess(self.first, unsynchronized)
        self.assertLessEqual(unsynchronized, PREPAID - self.spendable)


class _VmClock(Clock):
    """A VM's monotonic clock, which restarts, and wall clock, which jumps."""

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.booted_at = 0.0
        self.jump = 0.0

    def now(self) -> float:
        return self.clock.now() - self.booted_at

    def wall(self) -> float:
        return self.clock.wall() + self.jump


class _Fleet:
    """VMs with random spending and faults; counts the actual spending."""

    def __init__(self, seed: int, *, clear_bursts: bool = False) -> None:
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.clocks = {name: _VmClock(self.clock) for name in 'abcd'}
        self.fleet_times: dict[str, FleetTime] = {}
        self.record = Record()
        self.prepaid = PREPAID
        self.spent = 0
        self.start_count = 0
        self.allocators: dict[str, TokenAllocator] = {}
        self.open: dict[str, list[object]] = {}
        self.delayed_writes: list[tuple[int, Ledger]] = []
        self.clear_bursts = clear_bursts
        for name in 'abcd':
            self.start(name)

    def start(self, name: str) -> None:
        """Restart a VM's process; open requests of the old one end."""
        self.start_count += 1
        clock = self.clocks[name]
        if self.rng.random() < 0.3:
            clock.booted_at = self.clock.now()
        time = FleetTime(clock)
        self.fleet_times[name] = time
        allocator = TokenAllocator(
            f'{name}#{self.start_count}', f'{name}:1', clock, time
        )
        allocator.set_prepaid({'acme': self.prepaid})
        self.allocators[name] = allocator
        self.open[name] = []

    def spend(self, name: str) -> None:
        """Send a request; its full cost counts as spent immediately."""
        reservation = self.allocators[name].reserve(
            'acme',
            self.rng.randint(1, 3000),
        )
        if reservation is not None:
            self.spent += reservation.tokens
            self.open[name].append(reservation)

    def settle(self, name: str) -> None:
        """Settle a request at its full cost."""
        if self.open[name]:
            reservation = self.open[name].pop()
            self.allocators[name].settle(reservation, reservation.tokens)  # type: ignore[attr-defined]

    def sync(self, name: str) -> None:
        """Read and write the record; a write may be delayed or unconfirmed."""
        allocator = self.allocators[name]
        ledger, revision = self.record.read()
        allocator.apply_record(ledger, revision)
        change = allocator.plan_write(ledger, revision)
        if self.clear_bursts:
            self._clear_bursts(ledger)
        outcome = self.rng.random()
        if outcome < 0.15:
            self.delayed_writes.append((revision, ledger))
        elif outcome < 0.3:
            self.record.swap(revision, ledger)
        elif self.record.swap(revision, ledger):
            allocator.confirm_write(change, ledger)

    def request_transfer(self, name: str) -> None:
        """Request tokens from another VM; the response may be lost."""
        other = self.rng.choice([vm for vm in self.allocators if vm != name])
        transferred = self.allocators[other].transfer_out(
            'acme', self.rng.randint(1, 4000)
        )
        if self.rng.random() < 0.8:
            self.allocators[name].transfer_in('acme', transferred)

    def step(self) -> None:
        """Advance the clock and perform one random action."""
        time_steps = (0.01, 0.02, 0.1, 0.4, 9.0)
        weights = (10, 10, 10, 10, 0.2)
        self.clock.advance(self.rng.choices(time_steps, weights)[0])
        name = self.rng.choice(tuple(self.allocators))
        actions = (
            (self.spend, 50),
            (self.settle, 20),
            (self.sync, 15),
            (self.request_transfer, 7),
            (self.deliver_delayed_write, 5),
            (self.start, 3),
            (self.jump, 1),
            (self.synchronize, 10),
            (self.top_up, 1),
        )
        methods, action_weights = zip(*actions, strict=True)
        self.rng.choices(methods, action_weights)[0](name)

    def jump(self, name: str) -> None:
        """Make the wall clock of one VM jump, or undo the jump."""
        jumped = any(clock.jump for clock in self.clocks.values())
        for clock in self.clocks.values():
            clock.jump = 0.0
        if not jumped:
            self.clocks[name].jump = self.rng.uniform(-2.4, 2.4)

    def synchronize(self, name: str) -> None:
        """Synchronize a VM's fleet time unless it is already synchronized."""
        if not self.fleet_times[name].synchronized:
            monotonic = self.clocks[name].now()
            walls = [clock.wall() for clock in self.clocks.values()]
            self.fleet_times[name].synchronize([
                wall - monotonic for wall in walls
            ])

    def deliver_delayed_write(self, name: str) -> None:
        """Deliver a delayed write to the store."""
        if self.delayed_writes:
            self.record.swap(*self.delayed_writes.pop())

    def top_up(self, name: str) -> None:
        """Raise the budget on all VMs."""
        self.prepaid += 5000
        for allocator in self.allocators.values():
            allocator.set_prepaid({'acme': self.prepaid})

    @staticmethod
    def _clear_bursts(ledger: Ledger) -> None:
        """Remove burst and rate from a record, for the control test."""
        for share in ledger.entry('acme').shares.values():
            share.burst = share.rate = 0


class TestNoOverspend(unittest.TestCase):
    """Random kills, lost and delayed messages, transfers and top-ups."""

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

    def test_control_without_burst_and_rate_overspends(self) -> None:
        """Shows that the test above detects missing burst and rate limits."""
        broken = 0
        for seed in range(60):
            fleet = _Fleet(seed, clear_bursts=True)
            for _ in range(1500):
                fleet.step()
            broken += fleet.spent > fleet.prepaid
        self.assertGreater(broken, 0)


if __name__ == '__main__':
    unittest.main()
