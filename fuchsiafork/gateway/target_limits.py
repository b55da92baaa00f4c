"""Follows the limits that targets name in their answers."""

from typing import Any

from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.gateway.targets import Target, TargetTable
from fuchsiafork.kernel import Clock
from fuchsiafork.platform.headers import ResponseMetadata
from fuchsiafork.target_limits import LimitChange, NamedLimits


class TargetLimits:
    """Records the limits of targets, and logs each change."""

    def __init__(
        self,
        targets: TargetTable,
        clock: Clock,
        metrics: GatewayMetrics,
        log: Any,
    ) -> None:
        """Start without limits."""
        self._targets = targets
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._named = NamedLimits()

    def record_answer(self, target: Target, metadata: ResponseMetadata) -> None:
        """Record what the head of an answer says of its target's limit."""
        if metadata.invalid_rate_limit:
            self._log.warning(
                'limit_invalid',
                target=target.target_id,
                value=repr(metadata.invalid_rate_limit),
            )
            return
        rate = metadata.rate_limit
        now = self._clock.now()
        change = self._named.record_answer(target.lifetime, rate, now)
        if change is LimitChange.NONE:
            return
        self._log.warning(
            f'limit_{change.value}', target=target.lifetime, rate=rate
        )
        self._update_metrics()

    def forget_gone(self) -> None:
        """Forget the limits of targets that are gone."""
        if self._named:
            states = self._targets.states()
            self._named.retain({state.target.lifetime for state in states})
            self._update_metrics()

    def _update_metrics(self) -> None:
        """Show the number of limited targets."""
        self._metrics.limited_targets.set(len(self._named))


__all__ = ('TargetLimits',)
