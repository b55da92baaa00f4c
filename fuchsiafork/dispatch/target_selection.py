"""Choice of the target for one request."""

import math
import random
from collections.abc import Sequence
from typing import Protocol

from fuchsiafork.dispatch.state import TargetState
from fuchsiafork.kernel import stable_hash

# A target may hold this many times the mean load, so that a busy prefix
# does not make its target a hot spot.
LOAD_BOUND = 1.25


class TargetSelector(Protocol):
    """Picks one of the targets that have room."""

    def select(
        self,
        free: Sequence[TargetState],
        group: Sequence[TargetState],
        prefixes: Sequence[int],
    ) -> TargetState:
        """Return one of the targets in ``free``."""


class RandomSelector:
    """Baseline: any target with room."""

    def __init__(self, chance: random.Random) -> None:
        """Draw from ``chance``."""
        self._chance = chance

    def select(
        self,
        free: Sequence[TargetState],
        group: Sequence[TargetState],
        prefixes: Sequence[int],
    ) -> TargetState:
        """Return a random target."""
        return self._chance.choice(free)


class LeastLoadedSelector:
    """Baseline: the target with the smallest part of its slots in use."""

    def select(
        self,
        free: Sequence[TargetState],
        group: Sequence[TargetState],
        prefixes: Sequence[int],
    ) -> TargetState:
        """Return the least loaded target."""
        return min(free, key=load_order)


class AffinitySelector:
    """The longest cached prefix among targets whose load is bounded."""

    def select(
        self,
        free: Sequence[TargetState],
        group: Sequence[TargetState],
        prefixes: Sequence[int],
    ) -> TargetState:
        """Return the best target; ties go to the least loaded one."""
        bounded = _within_bound(free, group)
        if not prefixes:
            return min(bounded, key=load_order)
        return min(
            bounded,
            key=lambda row: (-row.cache.match(prefixes), *load_order(row)),
        )


def load_order(row: TargetState) -> tuple[float, int]:
    """Return a sort key by load, with an order among equals."""
    return (row.used / row.capacity, stable_hash(row.name))


def _within_bound(
    free: Sequence[TargetState],
    group: Sequence[TargetState],
) -> Sequence[TargetState]:
    """Return the targets that one more request keeps within the bound."""
    capacity = sum(row.capacity for row in group)
    mean = (sum(row.used for row in group) + 1) / max(1, capacity)
    bounded = [
        row
        for row in free
        if row.used < math.ceil(LOAD_BOUND * mean * row.capacity)
    ]
    return bounded or [min(free, key=load_order)]
