"""Targets to choose among, and what can be expected of each for a request."""

import dataclasses
import enum
from typing import Generic, Protocol, TypeVar

from fuchsiafork.balancing.costs import TargetLoad, WorkCost
from fuchsiafork.balancing.first_event import (
    estimate_engine_s,
    estimate_service_s,
)
from fuchsiafork.balancing.load_view import LoadView
from fuchsiafork.balancing.prompt_parts import PromptParts, SentParts
from fuchsiafork.balancing.target_speeds import Speed, TargetSpeeds
from fuchsiafork.kernel import Clock

# Time that a target in another failure domain needs more: a round trip, and one
# more on a new connection.
OTHER_DOMAIN_S = 0.002
# Time after a start or a return in which a target counts as slower, at first by
# this factor: it looks idle to all VMs at once.
SLOW_START_S = 3.0
SLOW_START_FACTOR = 3.0


class TargetInfo(Protocol):
    """What the choice needs to know of a target."""

    @property
    def target_id(self) -> str:
        """Id of the target."""

    @property
    def domain(self) -> str:
        """Failure domain of the target."""

    @property
    def slots(self) -> int:
        """Requests that it serves at a time."""

    @property
    def lifetime(self) -> str:
        """Id of its start."""


class Candidate(Protocol):
    """A target that accepts requests."""

    @property
    def target(self) -> TargetInfo:
        """The target."""

    @property
    def ready_since(self) -> float:
        """Time at which it started or last accepted requests again."""


AnyCandidate = TypeVar('AnyCandidate', bound=Candidate)


class Reason(enum.Enum):
    """How a target came to be compared."""

    HOME = 'home'
    SECOND = 'second'
    SAMPLED = 'sampled'
    ONLY = 'only'


@dataclasses.dataclass(frozen=True, slots=True)
class ChoiceRequest:
    """
    What the choice needs to know of a request.

    :ivar affinity_key: id of the shared part of the prompt, empty if none.
    :ivar cost: its work at a target that holds nothing of it.
    :ivar event_tokens: tokens of an event, 0 if the targets are no engines.
    :ivar excluded_ids: targets that it avoids.
    """

    service: str
    affinity_key: str
    cost: WorkCost
    parts: PromptParts
    event_tokens: int = 0
    excluded_ids: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Choice(Generic[AnyCandidate]):
    """
    A target, and what can be expected of it for a request.

    :ivar cost: work of the request at the target.
    :ivar load: work ahead of it, as far as it is known.
    :ivar estimate_s: expected time to the first event or the answer, seconds.
    :ivar score_s: the same with what counts for the choice only, seconds.
    """

    candidate: AnyCandidate
    reason: Reason
    cost: WorkCost
    load: TargetLoad
    estimate_s: float
    score_s: float


class Assessment:
    """Estimates the time to the first event at a target."""

    def __init__(
        self,
        domain: str,
        view: LoadView,
        speeds: TargetSpeeds,
        sent_parts: SentParts,
        clock: Clock,
    ) -> None:
        """Assess targets for a VM in a failure domain."""
        self._domain = domain
        self._view = view
        self._speeds = speeds
        self._sent_parts = sent_parts
        self._clock = clock

    def assess(
        self,
        candidate: AnyCandidate,
        request: ChoiceRequest,
        reason: Reason,
    ) -> Choice[AnyCandidate]:
        """Return what can be expected of a target."""
        target = candidate.target
        slow_start = self._slow_start_left(candidate)
        speed = self._speeds.speed(request.service, target.lifetime)
        load = self._load_ahead(target.lifetime, speed)
        cost = request.cost
        if request.event_tokens:
            ranked = reason is not Reason.SAMPLED
            cost = self._remaining_cost(
                target.lifetime, request, whole=ranked and not slow_start
            )
            estimate_s = estimate_engine_s(
                load, cost, speed, target.slots, request.event_tokens
            )
            crowding_s = request.event_tokens * speed.output_token_s
        else:
            estimate_s = estimate_service_s(load, cost, speed, target.slots)
            crowding_s = cost.seconds * speed.service_factor
        if target.domain != self._domain:
            estimate_s += OTHER_DOMAIN_S
        # The fuller a target is, the more likely it is that requests of other
        # VMs take its last place first.
        score_s = estimate_s + crowding_s * load.requests / target.slots
        score_s *= 1 + (SLOW_START_FACTOR - 1) * slow_start
        return Choice(candidate, reason, cost, load, estimate_s, score_s)

    def _load_ahead(self, lifetime: str, speed: Speed) -> TargetLoad:
        """
        Return the work of a target as it is expected to be by now.

        The reports of the other VMs are half as old on average as the oldest
        one, and the target has prefilled prompts since.
        """
        own = self._view.own_load(lifetime)
        others = self._view.others_load(lifetime)
        if not others.prompt_tokens:
            return own + others
        prefilled = round(self._view.fleet_age_s / 2 / speed.prompt_token_s)
        left = max(0, others.prompt_tokens - prefilled)
        return own + TargetLoad(
            others.requests, left, others.output_tokens, others.seconds
        )

    def _remaining_cost(
        self, lifetime: str, request: ChoiceRequest, *, whole: bool
    ) -> WorkCost:
        """
        Return the work without the parts that an engine holds.

        The second target in the ranking gets the requests for which the first
        one has too much work, so that it soon holds the shared parts too.

        :param whole: whether it is one of these, and had time to get them.
        """
        parts = request.parts
        if whole:
            held = sum(tokens for _, tokens in parts.shared)
        else:
            held = self._sent_parts.held_tokens(lifetime, parts)
        return request.cost.without(held, 0)

    def _slow_start_left(self, candidate: Candidate) -> float:
        """Return the share of the slow start that is left."""
        ready_s = self._clock.now() - candidate.ready_since
        return min(1.0, max(0.0, 1 - ready_s / SLOW_START_S))


__all__ = (
    'AnyCandidate',
    'Assessment',
    'Candidate',
    'Choice',
    'ChoiceRequest',
    'Reason',
    'TargetInfo',
)
