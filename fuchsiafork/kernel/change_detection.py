"""
Anytime-valid sequential test for a version that degrades at some request.

The evidence is a mixture of likelihood ratios over the request from which
the version is bad and over how bad it is. Under the null hypothesis its
expected value never exceeds 1, so by Ville's inequality the probability that
it ever reaches ``1 / ALPHA`` is at most ``ALPHA``, however often it is
evaluated.
"""

import math
from collections.abc import Sequence

# Maximum probability that one test ever rejects a good version.
ALPHA = 0.001
# Probability that a version at the limit of the criteria is accepted.
BETA = 0.05
LOG_REJECT_THRESHOLD = math.log(1 / ALPHA)
LOG_ACCEPT_THRESHOLD = math.log(1 / BETA)

# Prior weight of versions that are bad from their first request.
_FIRST_WEIGHT = 0.5
# Half of the remaining prior weight is on changes after about this many
# steps; the other half is spread over all steps, so that a version that
# degrades after long observation is still rejected.
_MEAN_STEPS = 150


def log_ratio(*, hit: bool, null: float, bad: float) -> float:
    """Return the log likelihood ratio of one Bernoulli trial."""
    if hit:
        return math.log(bad / null)
    return math.log((1 - bad) / (1 - null))


def log_sum(first: float, second: float) -> float:
    """Return the logarithm of a sum of two numbers given as logarithms."""
    high, low = max(first, second), min(first, second)
    if low == -math.inf:
        return high
    return high + math.log1p(math.exp(low - high))


def log_mean(logs: Sequence[float]) -> float:
    """Return the logarithm of the mean of numbers given as logarithms."""
    high = max(logs)
    total = math.fsum(math.exp(part - high) for part in logs)
    return high + math.log(total / len(logs))


def _tail_weight(count: int) -> float:
    """Return the prior weight of a change after ``count`` steps."""
    geometric = (1 - 1 / _MEAN_STEPS) ** (count - 1)
    slow_decay = 1 / math.log2(count + 1)
    return (1 - _FIRST_WEIGHT) * (geometric + slow_decay) / 2


class ChangeTest:
    """Mixture of likelihood ratios over the step of the change."""

    def __init__(self, alternatives: int) -> None:
        """Start without evidence for a number of alternative hypotheses."""
        self._count = 0
        self._logs = [-math.inf for _ in range(alternatives)]

    def add(self, ratios: Sequence[float]) -> None:
        """Add the log likelihood ratios of a step, one per alternative."""
        self._count += 1
        if self._count == 1:
            weight = math.log(_FIRST_WEIGHT)
        else:
            weight = math.log(
                _tail_weight(self._count - 1) - _tail_weight(self._count),
            )
        self._logs = [
            log_sum(evidence, weight) + ratio
            for evidence, ratio in zip(self._logs, ratios, strict=True)
        ]

    def log_evidence(self) -> float:
        """Return the logarithm of the evidence against the version."""
        if not self._count:
            return 0
        return log_sum(
            log_mean(self._logs), math.log(_tail_weight(self._count))
        )
