"""Estimates the work of requests; learns from their answers."""

import dataclasses

from fuchsiafork.balancing.costs import WorkCost
from fuchsiafork.balancing.ratios import LearnedRatios

# Share of the answers that are shorter than the estimate. The mean of lengths
# with a heavy tail lies above their median.
OUTPUT_SHARE = 0.6
SERVICE_SHARE = 0.5
# Output tokens as a share of the maximum while nothing is known.
SHARE_OF_MAXIMUM = 0.5
# Output tokens of a request that names neither a hint nor a maximum.
DEFAULT_OUTPUT_TOKENS = 256.0
# Time of service as a share of the route's objective while nothing is known.
SHARE_OF_OBJECTIVE = 0.5
# A configuration may name no objective.
MIN_OBJECTIVE_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSize:
    """
    What a request says of its size.

    :ivar max_output_tokens: 0 if it names none.
    :ivar hinted_tokens: the caller's estimate of the output tokens, None if
        it names none.
    """

    route: str
    account: str
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    hinted_tokens: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Basis:
    """
    What the output is compared with.

    :ivar prior: ratio of the output to it while nothing is known.
    """

    name: str
    tokens: float
    prior: float


class WorkEstimates:
    """
    Expected work by route and client account.

    The caller's hint, or else the maximum, is corrected by the ratio that the
    answers of the same route and account had to it.
    """

    def __init__(self) -> None:
        """Start without answers."""
        self._outputs = LearnedRatios()
        self._services = LearnedRatios()

    def engine_cost(self, size: RequestSize) -> WorkCost:
        """Return the work at an engine that holds no part of the prompt."""
        output = self._output_tokens(size)
        return WorkCost(
            prompt_tokens=size.prompt_tokens,
            output_tokens=output,
            held_tokens=size.prompt_tokens + round(output),
        )

    def service_cost(self, route: str, objective_s: float) -> WorkCost:
        """
        Return the work at a target that is no engine.

        :param objective_s: time in which the route is to be answered.
        """
        ratio = self._services.quantile(
            route, '', SERVICE_SHARE, SHARE_OF_OBJECTIVE
        )
        return WorkCost(seconds=ratio * max(MIN_OBJECTIVE_S, objective_s))

    def record_output(self, size: RequestSize, tokens: int) -> None:
        """Record the output tokens of a whole answer."""
        basis = _basis(size)
        self._outputs.add(
            _group(size, basis), size.account, tokens / basis.tokens
        )

    def record_partial_output(self, size: RequestSize, tokens: int) -> None:
        """Record an answer that broke off after some tokens, or later."""
        if tokens > self._output_tokens(size):
            self.record_output(size, tokens)

    def record_service(
        self, route: str, objective_s: float, seconds: float
    ) -> None:
        """Record the time of service of a request that did not wait."""
        objective_s = max(MIN_OBJECTIVE_S, objective_s)
        self._services.add(route, '', seconds / objective_s)

    def _output_tokens(self, size: RequestSize) -> float:
        """Return the expected output tokens, at least one."""
        basis = _basis(size)
        ratio = self._outputs.quantile(
            _group(size, basis), size.account, OUTPUT_SHARE, basis.prior
        )
        tokens = max(1.0, ratio * basis.tokens)
        if size.max_output_tokens:
            tokens = min(tokens, size.max_output_tokens)
        return tokens


def _basis(size: RequestSize) -> _Basis:
    """Return what the output of a request is compared with."""
    if size.hinted_tokens is not None:
        tokens = max(1.0, size.hinted_tokens)
        if size.max_output_tokens:
            tokens = min(tokens, size.max_output_tokens)
        return _Basis('hint', tokens, 1.0)
    if size.max_output_tokens:
        return _Basis('maximum', size.max_output_tokens, SHARE_OF_MAXIMUM)
    return _Basis('none', DEFAULT_OUTPUT_TOKENS, 1.0)


def _group(size: RequestSize, basis: _Basis) -> str:
    """Return the group of a request's ratios."""
    return f'{basis.name} {size.route}'


__all__ = ('RequestSize', 'WorkEstimates')
