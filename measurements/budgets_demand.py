"""Demand of the budgets measurement, and its replay on fixed splits."""

import dataclasses
import heapq
import operator
import random

from measurements.budgets_ends import Request

RATE = 20.0
BUDGETS = 10
DRAINED = 3
# Labels, questions and plans, in tokens of the worst case.
SIZES = ((20, 80), (200, 600), (1500, 4000))
LAYOUTS = (
    {'a': 3, 'b': 3, 'c': 2},
    {'a': 3, 'b': 2, 'c': 2},
    {'a': 2, 'b': 2, 'c': 2, 'd': 2},
    {'a': 2, 'b': 2, 'c': 2, 'd': 1},
)


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
    plan = Plan(dict(chance.choice(LAYOUTS)), {}, length, fault=fault)
    names = [f'budget-{number}' for number in range(BUDGETS)]
    weights = [10.0, *(chance.uniform(0.3, 2) for _ in range(BUDGETS - 1))]
    before, after = (
        {
            name: [chance.paretovariate(1.2) for _ in plan.layout]
            for name in names
        }
        for _ in range(2)
    )
    needed = dict.fromkeys(names, 0)
    at = chance.expovariate(RATE)
    while at < length:
        name = chance.choices(names, weights)[0]
        shifted = fault[1] and at >= sum(fault) / 2
        shares = (after if shifted else before)[name]
        plan.requests.append(_draw_request(chance, plan, at, name, shares))
        needed[name] += plan.requests[-1].used
        at += chance.expovariate(RATE)
    for number, name in enumerate(names):
        # Three nearly drained, the others from scarce to ample.
        span = (0.1, 0.4) if number >= BUDGETS - DRAINED else (0.8, 1.6)
        plan.budgets[name] = round(needed[name] * chance.uniform(*span)) + 100
    return plan


def _draw_request(
    chance: random.Random,
    plan: Plan,
    at: float,
    budget: str,
    shares: list[float],
) -> Request:
    """Return a long, a usual or a short request from some domain."""
    domain = chance.choices(list(plan.layout), shares)[0]
    span = chance.choices(SIZES, (3, 3, 1))[0]
    tokens = chance.randint(*span)
    return Request(
        len(plan.requests),
        at,
        f'{domain}-{chance.randrange(plan.layout[domain])}',
        budget,
        tokens,
        round(tokens * chance.uniform(0.2, 1)),
        chance.uniform(0.2, 2) + tokens / 2000,
    )


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
