"""Demand of the budgets measurement, and its replay on fixed splits."""

import dataclasses
import heapq
import itertools
import operator
import random

from measurements.budgets_fleet import Request

RATE = 20.0
BUDGETS = 10


@dataclasses.dataclass(slots=True)
class Plan:
    """
    What happens in one scenario, times in seconds.

    :ivar layout: VMs by failure domain.
    :ivar budgets: opening credit in tokens.
    :ivar cut: domain that is cut off, empty for none.
    :ivar fault: start and end of the cut or outage.
    :ivar top_up: time, budget and tokens.
    """

    layout: dict[str, int]
    budgets: dict[str, int]
    length: float
    cut: str = ''
    fault: tuple[float, float] = (0, 0)
    top_up: tuple[float, str, int] | None = None
    requests: list[Request] = dataclasses.field(default_factory=list)


def draw_plan(
    chance: random.Random,
    length: float,
    fault: tuple[float, float],
) -> Plan:
    """Return a layout, budgets and the demand, which shifts in mid-fault."""
    layout = chance.choice((
        {'a': 3, 'b': 3, 'c': 2},
        {'a': 3, 'b': 2, 'c': 2},
        {'a': 2, 'b': 2, 'c': 2, 'd': 2},
        {'a': 2, 'b': 2, 'c': 2, 'd': 1},
    ))
    plan = Plan(layout, {}, length, fault=fault)
    domains = [*layout]
    weights = [10.0, *(chance.uniform(0.3, 2) for _ in range(BUDGETS - 1))]
    names = [f'budget-{number}' for number in range(BUDGETS)]
    shares = {
        name: [chance.paretovariate(1.2) for _ in domains] for name in names
    }
    shifted = {
        name: [chance.paretovariate(1.2) for _ in domains] for name in names
    }
    needed = dict.fromkeys(names, 0)
    middle = sum(fault) / 2
    at = 0.0
    for number in itertools.count():
        at += chance.expovariate(RATE)
        if at >= length:
            break
        name = chance.choices(names, weights)[0]
        now = shifted if middle and at >= middle else shares
        domain = chance.choices(domains, now[name])[0]
        vm = f'{domain}-{chance.randrange(layout[domain])}'
        tokens = chance.choice(
            (chance.randint(20, 80),) * 3
            + (chance.randint(200, 600),) * 3
            + (chance.randint(1500, 4000),)
        )
        used = round(tokens * chance.uniform(0.2, 1))
        needed[name] += used
        duration = chance.uniform(0.2, 2) + tokens / 2000
        plan.requests.append(
            Request(number, at, vm, name, tokens, used, duration),
        )
    for number, name in enumerate(names):
        # Three nearly drained, the others from scarce to ample.
        scarce = number >= BUDGETS - 3
        part = chance.uniform(0.1, 0.4) if scarce else chance.uniform(0.8, 1.6)
        plan.budgets[name] = round(needed[name] * part) + 100
    return plan


def replay(
    requests: list[Request],
    pools: dict[str, int],
    credits_later: list[tuple[float, str, int]],
) -> tuple[int, int]:
    """
    Return refusals and false refusals of fixed pools of one budget.

    :param requests: with ``vm`` naming the pool.
    :param pools: tokens by pool.
    :param credits_later: time, pool and tokens of top-ups.
    """
    left = dict(pools)
    ends: list[tuple[float, int, str, int]] = [
        (at, -number, pool, tokens)
        for number, (at, pool, tokens) in enumerate(credits_later, 1)
    ]
    heapq.heapify(ends)
    refused = 0
    false = 0
    for request in requests:
        while ends and ends[0][0] <= request.at:
            _, _, pool, tokens = heapq.heappop(ends)
            left[pool] += tokens
        if left[request.vm] < request.tokens:
            refused += 1
            false += sum(left.values()) >= request.tokens
            continue
        left[request.vm] -= request.tokens
        unused = request.tokens - request.used
        heapq.heappush(
            ends,
            (
                request.at + request.duration,
                request.number,
                request.vm,
                unused,
            ),
        )
    return refused, false


def best_split(
    requests: list[Request],
    tokens: int,
    credits_later: list[tuple[float, str, int]],
    steps: int = 40,
) -> tuple[int, int]:
    """Return refusals and false refusals of the best of all splits."""
    outcomes = []
    for step in range(steps + 1):
        inside = tokens * step // steps
        pools = {'in': inside, 'out': tokens - inside}
        outcomes.append(replay(requests, pools, credits_later))
    return min(outcomes, key=operator.itemgetter(1, 0))
