"""Plays a part of a day: calm, a jump of an account, a store that is away."""

import random

from standins.token_fleet import TokenFleet
from standins.token_load import Jump, expected_use, make_requests
from standins.virtual import VirtualClock
from standins.virtual_loop import run_virtually

# Three holders and six other VMs in each of three failure domains.
LARGE = {'a': 9, 'b': 9, 'c': 9}
# Every VM holds grants.
SMALL = {'a': 3, 'b': 3, 'c': 2}
# Time of one call of the store through a link that is also used otherwise.
CALL_S = 0.03
# Seconds for which budgets last at the expected use.
DAY_S = 60.0
BUDGET_FACTOR = 1.3
START_S = 2.0
END_S = 22.0
JUMPING = 'account-5'
JUMP = Jump(JUMPING, 8.0, 14.0, 7.5)
AWAY_S = (8.0, 13.0)


def make_fleet(
    seed: int, vms: dict[str, int], call_s: float = CALL_S
) -> TokenFleet:
    """Return a fleet whose accounts have budgets for one day."""
    prepaid = {
        account: int(BUDGET_FACTOR * tokens)
        for account, tokens in expected_use(DAY_S).items()
    }
    return TokenFleet(seed, VirtualClock(), prepaid, vms, call_s)


def play(
    seed: int,
    vms: dict[str, int],
    *,
    jump: Jump | None = None,
    away: bool = False,
    call_s: float = CALL_S,
) -> TokenFleet:
    """
    Return a fleet after it has served a part of a day.

    :param away: whether the store is away for some seconds.
    """
    fleet = make_fleet(seed, vms, call_s)
    requests = make_requests(random.Random(seed), START_S, END_S, jump)
    events = [
        (float(second), fleet.record_exposure)
        for second in range(int(START_S) + 1, int(END_S))
    ]
    if away:
        left_at, returned_at = AWAY_S
        events += [
            (left_at, fleet.leave_store),
            (returned_at, fleet.return_store),
        ]
    run_virtually(fleet.play(requests, events), fleet.clock)
    return fleet
