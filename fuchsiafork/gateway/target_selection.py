"""Selects the target for one attempt of a request; does no I/O."""

import dataclasses
import random
from collections.abc import Sequence

from fuchsiafork.gateway.reachability import DomainReachability
from fuchsiafork.gateway.targets import TargetState
from fuchsiafork.kernel import rank

# Affinity skips a target once the requests in flight from this process reach
# the mean over the candidates times the factor, plus the slack.
LOAD_FACTOR = 1.5
LOAD_SLACK_REQUESTS = 3
# A target in another failure domain is preferred only if it has more than this
# many fewer requests in flight.
REMOTE_DOMAIN_PENALTY_REQUESTS = 1
# A target whose failure share exceeds both this and twice the mean of the
# candidates is used only if no other candidate remains.
MAX_FAILURE_SHARE = 0.35


@dataclasses.dataclass(frozen=True, slots=True)
class SelectionCriteria:
    """
    What one attempt requires of its target.

    :ivar affinity_key: id of the shared part of the prompt, empty if none;
        requests with equal keys prefer the same target.
    :ivar excluded_ids: ids of targets that earlier attempts of the request
        tried without success.
    """

    service: str
    affinity_key: str
    excluded_ids: frozenset[str]


class TargetSelector:
    """Balances load, and routes equal prompts to the same prompt cache."""

    def __init__(
        self,
        domain: str,
        reachability: DomainReachability,
        rng: random.Random,
    ) -> None:
        """Select for a process in a failure domain."""
        self._domain = domain
        self._reachability = reachability
        self._rng = rng

    def select(
        self,
        states: Sequence[TargetState],
        criteria: SelectionCriteria,
        now: float,
    ) -> TargetState | None:
        """
        Return the target for an attempt, None if no target is eligible.

        :param states: targets that accept requests.
        """
        eligible = self.eligible(states, criteria, now)
        if not eligible:
            return None
        if criteria.affinity_key:
            return self._select_by_affinity(eligible, criteria.affinity_key)
        return self._select_least_loaded(eligible)

    def eligible(
        self,
        states: Sequence[TargetState],
        criteria: SelectionCriteria,
        now: float,
    ) -> list[TargetState]:
        """Return the targets that an attempt may be sent to."""
        candidates = [
            state
            for state in states
            if state.target.target_id not in criteria.excluded_ids
        ]
        return exclude_failing(self._reachable(candidates, now))

    def _reachable(
        self, states: list[TargetState], now: float
    ) -> list[TargetState]:
        """Return the targets in reachable failure domains, or all if none."""
        domains = {state.target.domain for state in states}
        suspected = {
            domain
            for domain in domains
            if self._reachability.is_suspected(domain, now)
        }
        if not suspected or suspected == domains:
            return states
        return [
            state for state in states if state.target.domain not in suspected
        ]

    def _select_by_affinity(
        self,
        states: Sequence[TargetState],
        key: str,
    ) -> TargetState:
        """Return the first target in the key's ranking below the load limit."""
        by_id = {state.target.target_id: state for state in states}
        mean = sum(state.in_flight for state in states) / len(states)
        limit = LOAD_FACTOR * mean + LOAD_SLACK_REQUESTS
        for target_id in rank(key, by_id):
            if by_id[target_id].in_flight < limit:
                return by_id[target_id]
        return self._select_least_loaded(states)

    def _select_least_loaded(
        self, states: Sequence[TargetState]
    ) -> TargetState:
        """Return the least loaded target, preferring the local domain."""
        return min(states, key=self._penalized_load)

    def _penalized_load(self, state: TargetState) -> tuple[float, float]:
        """Return the load with the domain penalty, and a random tie breaker."""
        is_remote = state.target.domain != self._domain
        load = state.in_flight + REMOTE_DOMAIN_PENALTY_REQUESTS * is_remote
        return load, self._rng.random()


def exclude_failing(states: Sequence[TargetState]) -> list[TargetState]:
    """Return the targets without an outlying failure share, or all if none."""
    if not states:
        return []
    mean = sum(state.failure_share for state in states) / len(states)
    limit = max(MAX_FAILURE_SHARE, 2 * mean)
    return [state for state in states if state.failure_share <= limit] or list(
        states
    )
