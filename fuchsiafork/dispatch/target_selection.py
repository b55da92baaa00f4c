"""Selection of the target for one request."""

import math
import random
from collections.abc import Sequence
from typing import Protocol

from fuchsiafork.dispatch.state import TargetState
from fuchsiafork.kernel import stable_hash

# A target's load may be this many times the mean, so that a popular prefix
# does not turn its target into a hot spot.
MAX_RELATIVE_LOAD = 1.25


class TargetSelector(Protocol):
    """Selects one of the targets with a free slot."""

    def select(
        self,
        free: Sequence[TargetState],
        group: Sequence[TargetState],
        prefixes: Sequence[int],
    ) -> TargetState:
        """
        Return one of the targets in ``free``.

        :param free: the suitable targets with a free slot.
        :param group: all usable targets of the group.
        :param prefixes: prefix hashes of the prompt.
        """


class RandomSelector:
    """Baseline: a random target with a free slot."""

    def __init__(self, rng: random.Random) -> None:
        """Use ``rng`` for the selection."""
        self._rng = rng

    def select(
        self,
        free: Sequence[TargetState],
        group: Sequence[TargetState],
        prefixes: Sequence[int],
    ) -> TargetState:
        """Return a random target."""
        return self._rng.choice(free)


class LeastLoadedSelector:
    """Baseline: the target with the smallest share of its slots in use."""

    def select(
        self,
        free: Sequence[TargetState],
        group: Sequence[TargetState],
        prefixes: Sequence[int],
    ) -> TargetState:
        """Return the least loaded target."""
        return min(free, key=load_order)


class AffinitySelector:
    """The target with the longest cached prefix, with bounded load."""

    def select(
        self,
        free: Sequence[TargetState],
        group: Sequence[TargetState],
        prefixes: Sequence[int],
    ) -> TargetState:
        """Return the best target; ties go to the least loaded target."""
        bounded = _bounded_load(free, group)
        if not prefixes:
            return min(bounded, key=load_order)
        return min(
            bounded,
            key=lambda target: (
                -target.cache.match(prefixes),
                *load_order(target),
            ),
        )


def load_order(target: TargetState) -> tuple[float, int]:
    """Return a sort key by load, with a fixed order for equal loads."""
    return (target.used / target.capacity, stable_hash(target.name))


def _bounded_load(
    free: Sequence[TargetState],
    group: Sequence[TargetState],
) -> Sequence[TargetState]:
    """Return the targets that stay below the load bound with one more."""
    capacity = sum(target.capacity for target in group)
    mean = (sum(target.used for target in group) + 1) / max(1, capacity)
    bounded = [
        target
        for target in free
        if target.used < math.ceil(MAX_RELATIVE_LOAD * mean * target.capacity)
    ]
    return bounded or [min(free, key=load_order)]
