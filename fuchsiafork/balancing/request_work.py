"""The expected work of one request, with what its answers teach."""

import dataclasses
from collections.abc import Callable

from fuchsiafork.balancing.candidates import ChoiceRequest
from fuchsiafork.balancing.costs import WorkCost
from fuchsiafork.balancing.load_view import LoadView
from fuchsiafork.balancing.prompt_parts import PromptParts, SentParts
from fuchsiafork.balancing.target_speeds import TargetSpeeds
from fuchsiafork.balancing.work_estimates import RequestSize, WorkEstimates
from fuchsiafork.kernel import Clock


@dataclasses.dataclass(frozen=True, slots=True)
class LearnedWork:
    """
    What a VM knows of the work of requests and targets.

    :ivar on_output: called with the route and with the ratio of actual to
        expected output tokens of each whole answer of an engine.
    """

    clock: Clock
    view: LoadView
    estimates: WorkEstimates
    speeds: TargetSpeeds
    sent_parts: SentParts
    on_output: Callable[[str, float], None]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """
    What the configuration says of a request.

    :ivar event_tokens: tokens of an event, 0 if the targets are no engines.
    :ivar memory_tokens: tokens that the memory of an engine holds, 0 if
        unknown.
    :ivar objective_s: time in which the route is to be answered.
    """

    service: str
    event_tokens: int
    memory_tokens: int
    objective_s: float


class RequestWork:
    """
    The expected work of one request.

    :ivar cost: its work at a target that holds nothing of it.
    """

    def __init__(
        self,
        learned: LearnedWork,
        kind: RequestKind,
        size: RequestSize,
        parts: PromptParts,
    ) -> None:
        """Estimate the work."""
        self.learned = learned
        self.kind = kind
        self.parts = parts
        self._size = size
        # Output tokens of the attempts that ended.
        self._received_tokens = 0
        self.cost = (
            learned.estimates.engine_cost(size)
            if kind.event_tokens
            else learned.estimates.service_cost(size.route, kind.objective_s)
        )

    @property
    def exceeds_memory(self) -> bool:
        """Whether no target can hold the request."""
        return 0 < self.kind.memory_tokens < self.cost.held_tokens

    def choice_request(
        self, affinity_key: str, excluded_ids: frozenset[str]
    ) -> ChoiceRequest:
        """Return what the choice of the next target needs to know."""
        return ChoiceRequest(
            service=self.kind.service,
            affinity_key=affinity_key,
            cost=self.cost.without(0, self._received_tokens),
            parts=self.parts,
            event_tokens=self.kind.event_tokens,
            excluded_ids=excluded_ids,
        )

    def remaining_cost(self, lifetime: str) -> WorkCost:
        """Return the work that is left for the next attempt at a target."""
        held = self.learned.sent_parts.held_tokens(lifetime, self.parts)
        return self.cost.without(held, self._received_tokens)

    def record_output(self, events: int, *, whole: bool) -> None:
        """
        Record the end of an attempt at an engine.

        :param events: events of the attempt.
        :param whole: whether the answer is complete; the end of another one
            only shows that it would have been longer.
        """
        self._received_tokens += events * self.kind.event_tokens
        if not self._received_tokens:
            return
        estimates = self.learned.estimates
        if not whole:
            estimates.record_partial_output(self._size, self._received_tokens)
            return
        ratio = self._received_tokens / self.cost.output_tokens
        self.learned.on_output(self._size.route, ratio)
        estimates.record_output(self._size, self._received_tokens)

    def record_service(self, seconds: float) -> None:
        """Record the time of service of a whole answer without a wait."""
        self.learned.estimates.record_service(
            self._size.route, self.kind.objective_s, seconds
        )


__all__ = ('LearnedWork', 'RequestKind', 'RequestWork')
