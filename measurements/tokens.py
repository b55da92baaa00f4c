"""Refusals for lack of tokens and calls of the store, in virtual time."""

import collections
import statistics
from typing import Any

from standins.token_days import JUMP, LARGE, SMALL, play
from standins.token_fleet import TokenFleet

# Seconds of one call of the store.
CALL_TIMES_S = (0.004, 0.03, 0.1)
SIZES = {'large': LARGE, 'small': SMALL}
SCENARIOS: dict[str, dict[str, Any]] = {
    'calm': {},
    'jump': {'jump': JUMP},
    'away': {'away': True},
}
_LONG_WAIT_S = 0.05
_QUANTILE = 0.99


def run(seed: int) -> tuple[dict[str, Any], bool]:
    """
    Play each load in a large and a small fleet.

    The condition is that no account was overspent, which the fleet checks at
    each reservation.
    """
    result: dict[str, Any] = {}
    for call_s in CALL_TIMES_S:
        for size, vms in SIZES.items():
            for scenario, options in SCENARIOS.items():
                fleet = play(seed, vms, call_s=call_s, **options)
                figures = describe(fleet)
                result[f'{scenario} {size} {call_s:g} s'] = figures
                print(f'{scenario:5} {size:5} {call_s:5g} s', figures)
    return result, True


def describe(fleet: TokenFleet) -> dict[str, Any]:
    """Return the counts of a fleet."""
    outcomes, calls = fleet.outcomes, fleet.store.calls
    waits = sorted(outcome.waited_s for outcome in outcomes if outcome.served)
    vm_calls: collections.Counter[str] = collections.Counter()
    for vm in fleet.vms.values():
        vm_calls.update(vm.calls)
    return {
        'requests': len(outcomes),
        'refused': sum(not outcome.served for outcome in outcomes),
        'unreachable': sum(outcome.unreachable for outcome in outcomes),
        'waited': sum(wait > _LONG_WAIT_S for wait in waits),
        'p99_s': round(waits[int(_QUANTILE * len(waits))], 3),
        'reads': calls.reads,
        'writes': calls.writes,
        'conflicts': calls.conflicts,
        'draws': vm_calls['/tokens/draw'] + vm_calls['/tokens/draws'],
        'transfers': vm_calls['/tokens'],
        'withheld': round(statistics.mean(fleet.exposures), 4),
    }
