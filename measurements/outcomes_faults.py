"""Faults that a run brings about, each for a while."""

import functools
import random
from collections.abc import Callable

from measurements.outcomes_world import DOMAINS, World

_WEIGHTS = {
    'router': 6,
    'keeper': 4,
    'vm': 2,
    'pause': 5,
    'store': 2,
    'lost': 3,
    'cut': 2,
    'target': 4,
}


def make_fault(world: World, plan: random.Random) -> None:
    """Bring about one fault."""
    kind = plan.choices(tuple(_WEIGHTS), weights=tuple(_WEIGHTS.values()))[0]
    world.faults_made[kind] += 1
    FAULTS[kind](world, plan, plan.uniform(1, 9))


def _kill_router(world: World, plan: random.Random, length: float) -> None:
    """Kill a router."""
    if world.routers:
        world.kill_router(plan.choice(sorted(world.routers)), length)


def _kill_keeper(world: World, plan: random.Random, length: float) -> None:
    """Kill a keeper."""
    if world.keepers:
        world.kill_keeper(plan.choice(sorted(world.keepers)), length)


def _kill_vm(world: World, plan: random.Random, length: float) -> None:
    """Kill a router and the keeper beside it."""
    if world.routers:
        router = plan.choice(sorted(world.routers))
        world.kill_router(router, length)
        world.kill_keeper(router.replace('router', 'keeper'), length)


def _pause(world: World, plan: random.Random, length: float) -> None:
    """Pause a process."""
    nodes = sorted([*world.routers, *world.keepers])
    if nodes:
        world.pause(plan.choice(nodes), length)


def _stop_store(world: World, plan: random.Random, length: float) -> None:
    """Take the key-value service down."""
    world.faults.store_down = True
    _later(world, length, setattr, world.faults, 'store_down', 0)


def _lose(world: World, plan: random.Random, length: float) -> None:
    """Lose and repeat messages, and lose store answers."""
    rates = {'store_lost_answer': 0.3, 'drop': 0.02, 'duplicate': 0.05}
    for name, rate in rates.items():
        setattr(world.faults, name, rate)
        _later(world, length, setattr, world.faults, name, 0)
    world.network.late_share = 0.1
    _later(world, length, setattr, world.network, 'late_share', 0)


def _cut(world: World, plan: random.Random, length: float) -> None:
    """Cut a failure domain off, half of the time from the store too."""
    domain = plan.choice(DOMAINS)
    world.network.isolate(domain, from_store=plan.random() < 0.5)
    _later(world, length, world.network.heal)


def _stop_target(world: World, plan: random.Random, length: float) -> None:
    """Let a target refuse connections."""
    target = world.targets[plan.choice(sorted(world.targets))]
    target.down = True
    _later(world, length, setattr, target, 'down', 0)


def _later(
    world: World,
    delay: float,
    callback: Callable[..., None],
    *given: object,
) -> None:
    """Call back after a delay in virtual seconds."""
    world.scheduler.call_later(delay, functools.partial(callback, *given))


FAULTS: dict[str, Callable[[World, random.Random, float], None]] = {
    'router': _kill_router,
    'keeper': _kill_keeper,
    'vm': _kill_vm,
    'pause': _pause,
    'store': _stop_store,
    'lost': _lose,
    'cut': _cut,
    'target': _stop_target,
}
