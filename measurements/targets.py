"""
Slots, leaving targets and choice of target, under faults.

Counts come from the engine model, but for refusals, which callers see.
"""

import collections
import random
from typing import Any

from fuchsiafork.dispatch import LeastLoadedSelector, RandomSelector
from measurements.targets_fleet import Fleet
from measurements.targets_load import SITES, Site, Workload
from measurements.targets_nodes import ChoiceFactory

# Faults and calls end early enough for every request to end in the run.
DURATION_S = 110.0
_CALLS_END_S = 82.0
_FAULTS_S = (8.0, 78.0)
_SETTLED_S = 4.0
_CALLS_PER_S = 13.0
_SURGE = (50.0, 65.0)
_SURGE_CALLS_PER_S = 14.0
_DRAIN_NOTICE_S = 2.0


def run(seed: int) -> tuple[dict[str, Any], bool]:
    """Return the counts of both sites and whether the aims were met."""
    chosen = measure(seed, None)
    baselines = {
        'random': measure(seed, RandomSelector),
        'least_loaded': measure(seed, lambda _: LeastLoadedSelector()),
    }
    held = (
        not chosen['overfilled_targets']
        and not chosen['work_after_leaving_3s']
        and all(
            chosen['prefix_hit_share'] > other['prefix_hit_share']
            for other in baselines.values()
        )
    )
    return {**chosen, 'baselines': baselines}, held


def measure(seed: int, choice: ChoiceFactory | None) -> dict[str, Any]:
    """Return the counts of both sites together under one choice."""
    counts: collections.Counter[str] = collections.Counter()
    over = 0
    for site in SITES:
        fleet = run_site(site, seed, choice)
        over = max(over, max_over_capacity(fleet))
        counts.update(count(fleet))
    shares = counts['prefix_hits'] / max(1, counts['prefixes'])
    return {
        'requests': counts['requests'],
        'answered': counts['answered'],
        'refused': counts['refused'],
        'failed': counts['failed'],
        'lost_with_router': counts['lost'],
        'unanswered': counts['waiting'],
        'tokens': counts['tokens'],
        'overfilled_targets': counts['fell_over'],
        'max_over_capacity': over,
        'work_after_leaving_3s': counts['after_leaving_3s'],
        'prefix_hit_share': round(shares, 4),
    }


def run_site(site: Site, seed: int, choice: ChoiceFactory | None) -> Fleet:
    """Return the fleet of a site after its run."""
    fleet = Fleet(site, seed, choice)
    _plan_calls(fleet, seed)
    _plan_faults(fleet, random.Random(seed + 3))
    fleet.run_until(DURATION_S)
    return fleet


def count(fleet: Fleet) -> collections.Counter[str]:
    """Return what targets and callers counted."""
    counts: collections.Counter[str] = collections.Counter()
    for engine in fleet.engines.values():
        wanted = (
            'fell_over',
            'after_leaving_3s',
            'tokens',
            'prefixes',
            'prefix_hits',
        )
        counts.update({name: engine.counts[name] for name in wanted})
    for router in (*fleet.routers.values(), *fleet.gone):
        counts.update(router.counts)
    for router in fleet.routers.values():
        counts['waiting'] += router.waiting
    for router in fleet.gone:
        counts['lost'] += router.waiting
    return counts


def max_over_capacity(fleet: Fleet) -> int:
    """Return by how much the fullest target went over its capacity."""
    return max(
        engine.max_active - engine.settings.capacity
        for engine in fleet.engines.values()
    )


def _plan_calls(fleet: Fleet, seed: int) -> None:
    """Schedule the requests, with a surge in one domain."""
    chance = random.Random(seed + 2)
    workload = Workload(chance)

    def steady() -> None:
        fleet.submit(workload)
        if fleet.clock.now() < _CALLS_END_S:
            gap = chance.expovariate(_CALLS_PER_S)
            fleet.scheduler.call_later(gap, steady)

    def surge() -> None:
        fleet.submit(workload, fleet.site.domains[0])
        if fleet.clock.now() < _SURGE[1]:
            gap = chance.expovariate(_SURGE_CALLS_PER_S)
            fleet.scheduler.call_later(gap, surge)

    fleet.scheduler.call_later(_SETTLED_S, steady)
    fleet.scheduler.call_later(_SURGE[0], surge)


def _plan_faults(fleet: Fleet, chance: random.Random) -> None:
    """Schedule deaths, pauses, late reports and changes of targets."""
    later = fleet.scheduler.call_later
    for _ in range(18):
        moment = chance.uniform(*_FAULTS_S)
        later(moment, lambda: _harm_process(fleet, chance))
    for _ in range(5):
        moment = chance.uniform(*_FAULTS_S)
        later(moment, lambda: _harm_target(fleet, chance))
    for moment in (30.0, 65.0):
        later(moment, lambda: setattr(fleet, 'late_s', 1.2))
        later(moment + 10, lambda: setattr(fleet, 'late_s', 0.0))


def _harm_process(fleet: Fleet, chance: random.Random) -> None:
    """Kill or pause a keeper or a router."""
    nodes = sorted(set(fleet.network.endpoints) - fleet.network.paused)
    node = chance.choice(nodes)
    if chance.random() < 0.5:
        fleet.pause(node, chance.choice((0.7, 1.5, 2.5, 4, 7, 12)))
        return
    fleet.kill(node)
    start = fleet.start_router if 'router' in node else fleet.start_keeper
    fleet.scheduler.call_later(chance.uniform(0.5, 12), lambda: start(node))


def _harm_target(fleet: Fleet, chance: random.Random) -> None:
    """Let a target leave, with or without notice, and reuse its address."""
    target = chance.choice(sorted(fleet.engines))
    leave_s = _DRAIN_NOTICE_S
    if chance.random() < 0.4:
        fleet.drain(target, _DRAIN_NOTICE_S)
    elif chance.random() < 0.5:
        fleet.engines[target].leave(announced=True)
    else:
        leave_s = 0
    gone_s = leave_s + (chance.uniform(4, 10) if leave_s else 0)
    down_s = chance.choice((0, 1, 5))
    fleet.scheduler.call_later(
        gone_s,
        lambda: fleet.restore(target, down_s),
    )
