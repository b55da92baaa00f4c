"""Chooses the target of a request, without I/O."""

import dataclasses
import random
from collections.abc import Sequence

from fuchsiafork.gateway.reachability import DomainReachability
from fuchsiafork.gateway.targets import TargetRow
from fuchsiafork.kernel import rank

# A target of the preferred order is passed over when it has more requests of
# this process than this many times the mean, and a few besides.
LOAD_FACTOR = 1.5
LOAD_SLACK = 3
# Requests that a target in another failure domain must have fewer of.
DOMAIN_BIAS = 1
# A target whose share of failed answers is above this, and above twice the
# mean of its service, is used only when no other is left.
FAILING_SHARE = 0.35


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """
    What a request asks of its target.

    :ivar affinity_key: names the shared part of the prompt, empty if none.
    :ivar tried: ids of the targets that it was sent to.
    """

    service: str
    affinity_key: str
    tried: frozenset[str]


class Placement:
    """Spreads requests so that prompts meet the cache that holds them."""

    def __init__(
        self,
        domain: str,
        reachability: DomainReachability,
        chance: random.Random,
    ) -> None:
        """Place for a process in a failure domain."""
        self._domain = domain
        self._reachability = reachability
        self._chance = chance

    def choose(
        self,
        rows: Sequence[TargetRow],
        wanted: Wanted,
        now: float,
    ) -> TargetRow | None:
        """Return the target for a request, None if there is none."""
        fresh = [
            row for row in rows if row.target.target_id not in wanted.tried
        ]
        candidates = [row for row in fresh if now >= row.avoid_until]
        sound = without_failing(self._in_reach(candidates, now))
        if not sound:
            return None
        if wanted.affinity_key:
            return self._by_affinity(sound, wanted.affinity_key)
        return self._least_loaded(sound)

    def _in_reach(self, rows: list[TargetRow], now: float) -> list[TargetRow]:
        """Return the targets that are not cut off, all if none is left."""
        near = [
            row
            for row in rows
            if not self._reachability.is_suspected(row.target.domain, now)
        ]
        return near or rows

    def _by_affinity(
        self,
        rows: Sequence[TargetRow],
        key: str,
    ) -> TargetRow:
        """Return the first target in a key's order that isn't overloaded."""
        by_id = {row.target.target_id: row for row in rows}
        mean = sum(row.in_flight for row in rows) / len(rows)
        limit = LOAD_FACTOR * mean + LOAD_SLACK
        for target_id in rank(key, by_id):
            if by_id[target_id].in_flight < limit:
                return by_id[target_id]
        return self._least_loaded(rows)

    def _least_loaded(self, rows: Sequence[TargetRow]) -> TargetRow:
        """Return the target with fewest requests, near ones first."""
        return min(rows, key=self._distance)

    def _distance(self, row: TargetRow) -> tuple[float, float]:
        """Return what speaks against a target, and a random number."""
        away = row.target.domain != self._domain
        load = row.in_flight + DOMAIN_BIAS * away
        return load, self._chance.random()


def without_failing(rows: Sequence[TargetRow]) -> list[TargetRow]:
    """Return the targets that don't stand out by failures, all if none."""
    if not rows:
        return []
    mean = sum(row.failing for row in rows) / len(rows)
    limit = max(FAILING_SHARE, 2 * mean)
    return [row for row in rows if row.failing <= limit] or list(rows)
