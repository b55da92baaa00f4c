"""
Outcomes of requests while everything fails.

Callers retry at other routers while routers and keepers die and pause, the
store is down or loses answers, domains are cut off, and targets break, answer
late, crossed or short. All counts come from the targets and the callers.
"""

import functools
import random
from collections.abc import Generator
from typing import Any

from fuchsiafork import messages
from fuchsiafork.kernel.errors import TargetFailedError
from fuchsiafork.router.commands import (
    Answer,
    CallTarget,
    Command,
    RelayStream,
    Request,
    SendMessage,
    SharedState,
    TargetHead,
)
from fuchsiafork.router.state_machine import serve_request
from measurements.outcomes_counts import count
from measurements.outcomes_faults import make_fault
from measurements.outcomes_router import Serve
from measurements.outcomes_state import measure_state
from measurements.outcomes_world import World

FAULTS_END_S = 90.0
# Longer than the time for which callers go on trying.
DRAINED_S = 180.0
_REQUESTS_PER_S = 45
# Denser faults overlap; a fault that needs three at once was seen only so.
_FAULT_EVERY_S = 0.8


def naive_serve(
    request: Request,
    shared: SharedState,
) -> Generator[Command, Any, Answer]:
    """
    Return the first whole answer of up to three calls, without any key.

    It bills what each stream showed and compares no request ids.
    """
    for attempt in range(3):
        target = shared.random.choice((0, 1, 2))
        domain = request.groups[0].partition(':')[2]
        name = f'{request.route}-{domain}-{target}'
        call_id = f'{request.request_id}.{attempt}'
        head = yield CallTarget(
            name,
            '',
            request.method,
            request.path,
            {'X-Request-Id': call_id},
            request.body,
            request.deadline,
        )
        if not isinstance(head, TargetHead) or head.status != 200:
            continue
        relayed = yield RelayStream(
            200,
            {},
            prompt_tokens=request.prompt_tokens,
            token_limit=0,
            max_body_bytes=0,
            drain=False,
            deadline=request.deadline,
        )
        tokens = relayed.tokens if request.engine else request.flat_tokens
        yield SendMessage(
            messages.Settle(call_id, '', '', '', tokens, call_id),
            acknowledged_by=messages.SettleAccepted,
        )
        if not relayed.complete:
            continue
        return Answer(  # ruff: ignore[return-in-generator]
            request.request_id,
            request.request_id,
            200,
            '',
            b'',
            '',
            relayed.tokens,
            relayed=True,
        )
    raise TargetFailedError('all attempts failed')


def run_world(
    seed: int,
    serve: Serve = serve_request,
    *,
    keyed: bool = True,
    until: float = FAULTS_END_S,
    drained_s: float = DRAINED_S,
) -> World:
    """Return a world after its faults, with all callers finished."""
    world = World(seed, serve, keyed=keyed)
    plan = random.Random(seed ^ 0x5EED)
    moment = 1.0
    number = 0
    while moment < until:
        moment += plan.expovariate(_REQUESTS_PER_S)
        number += 1
        world.scheduler.call_later(
            moment,
            functools.partial(world.call, number),
        )
    moment = 3.0
    while moment < until:
        moment += plan.expovariate(1 / _FAULT_EVERY_S)
        world.scheduler.call_later(
            moment,
            functools.partial(make_fault, world, plan),
        )
    world.scheduler.run_until(until + drained_s)
    return world


MUST_BE_ZERO = (
    'billed_twice',
    'billed_never',
    'billed_without_run',
    'billed_other_tokens',
    'non_idempotent_reruns',
    'untrue_not_run',
    'truncated_answers',
    'crossed_answers',
    'slots_left',
    'reservations_left',
)


def run(seed: int) -> tuple[dict[str, Any], bool]:
    """Return the counts with their baseline, and whether all are zero."""
    result = count(run_world(seed))
    naive = count(run_world(seed, naive_serve, keyed=False))
    held = not any(result[name] for name in MUST_BE_ZERO)
    baseline = {name: naive[name] for name in MUST_BE_ZERO[:-2]}
    return result | measure_state() | {'baseline': baseline}, held
