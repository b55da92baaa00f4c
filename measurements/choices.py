"""
Time of one choice of a target, beside today's selection by requests.

Both choose among the same targets for the same requests in one process. The
times depend on the machine; their ratio is the figure to compare.
"""

import random
import time
from collections.abc import Callable
from typing import Any

from fuchsiafork.balancing import (
    LoadView,
    PromptParts,
    RequestSize,
    TargetLoad,
    WorkCost,
)
from fuchsiafork.balancing.request_work import RequestKind, RequestWork
from fuchsiafork.gateway.balancing_composition import (
    make_learned_work,
    make_target_chooser,
)
from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.gateway.reachability import DomainReachability
from fuchsiafork.gateway.target_selection import SelectionCriteria
from fuchsiafork.gateway.targets import Target, TargetState
from standins.virtual import VirtualClock

SERVICE = 'engine'
DOMAINS = 'abc'
FLEETS = (3, 83, 600)
# Own requests in flight, about the most of one VM.
OWN_REQUESTS = 20
CALLS = 400
ROUNDS = 5


def _states(count: int) -> list[TargetState]:
    """Return the states of some targets."""
    return [
        TargetState(
            Target(
                f'i-{number:010x}',
                SERVICE,
                f'10.0.0.{number}:80',
                DOMAINS[number % len(DOMAINS)],
                'v1',
                64,
                started_unix_ms=1_800_000_000_000 + number,
            )
        )
        for number in range(count)
    ]


def _fill(view: LoadView, states: list[TargetState]) -> None:
    """Give targets work of this VM and of others."""
    lifetimes = [state.target.lifetime for state in states]
    for number in range(OWN_REQUESTS):
        lifetime = lifetimes[number % len(lifetimes)]
        view.begin(lifetime, WorkCost(6000, 300.0))
    view.apply_fleet(
        {lifetime: TargetLoad(4, 9000, 900.0) for lifetime in lifetimes}, 0.3
    )


def _best_us(call: Callable[[], Any]) -> float:
    """Return the microseconds of one call in the fastest round."""
    rounds = []
    for _ in range(ROUNDS):
        started_at = time.perf_counter()
        for _ in range(CALLS):
            call()
        rounds.append((time.perf_counter() - started_at) / CALLS)
    return round(1e6 * min(rounds), 1)


def _measure(count: int, seed: int) -> dict[str, float]:
    """Return the times of both ways to choose among some targets."""
    clock = VirtualClock()
    clock.advance(100)
    learned = make_learned_work(clock, GatewayMetrics())
    rng = random.Random(seed)
    chooser = make_target_chooser('a', DomainReachability(), learned, rng)
    states = _states(count)
    parts = PromptParts(('shared', 'own'), (5382, 6610))
    work = RequestWork(
        learned,
        RequestKind(SERVICE, 8, 0, 1.0),
        RequestSize('route', 'acme', 11_992, 800, 384.0),
        parts,
    )
    criteria = SelectionCriteria(SERVICE, 'shared', frozenset())

    def choose() -> None:
        chooser.choose(states, criteria, work, clock.now())

    by_requests_us = _best_us(choose)
    _fill(learned.view, states)
    by_work_us = _best_us(choose)
    return {
        'by_requests_us': by_requests_us,
        'by_work_us': by_work_us,
        'ratio': round(by_work_us / by_requests_us, 2),
    }


def run(seed: int) -> tuple[dict[str, Any], bool]:
    """Return the times by number of targets; there is no condition."""
    return {str(count): _measure(count, seed) for count in FLEETS}, True


__all__ = ('run',)
