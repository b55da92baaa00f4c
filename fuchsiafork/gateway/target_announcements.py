"""Records what the heads of answers report on their targets."""

from typing import Any

from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.gateway.target_limits import TargetLimits
from fuchsiafork.gateway.targets import Target, TargetTable
from fuchsiafork.kernel import Clock
from fuchsiafork.platform.headers import ResponseMetadata
from fuchsiafork.transport.pool import ConnectionPool


class TargetAnnouncements:
    """Records the announcements of targets."""

    def __init__(
        self,
        targets: TargetTable,
        limits: TargetLimits,
        pool: ConnectionPool,
        clock: Clock,
        metrics: GatewayMetrics,
        log: Any,
    ) -> None:
        """
        Record announcements in a table and in the limits.

        :param pool: keeps no idle connections to leaving targets.
        """
        self._targets = targets
        self._limits = limits
        self._pool = pool
        self._clock = clock
        self._metrics = metrics
        self._log = log

    def record(self, target: Target, metadata: ResponseMetadata) -> None:
        """Record what the head of an answer reports on its target."""
        self._limits.record_answer(target, metadata)
        if metadata.leaving:
            self._record_leaving(target, metadata.request_id)
        if metadata.invalid_pause:
            self._log.warning(
                'pause_invalid',
                target=target.lifetime,
                value=repr(metadata.invalid_pause),
            )
        elif metadata.pause_s:
            self._record_pause(target, metadata.pause_s, metadata.request_id)
        elif not metadata.not_run:
            self._targets.record_answer(target, self._clock.now())

    def _record_pause(
        self, target: Target, seconds: float, request_id: str
    ) -> None:
        """Record that a target requested a pause."""
        self._targets.request_pause(target, seconds, self._clock.now())
        self._metrics.target_pauses.inc()
        self._log.info(
            'target_requested_pause',
            target=target.lifetime,
            seconds=seconds,
            request_id=request_id,
        )

    def _record_leaving(self, target: Target, request_id: str) -> None:
        """Record that a target is leaving."""
        self._pool.drop(target.address)
        if self._targets.announce_leaving(target, self._clock.now()):
            self._log.info(
                'target_announced_leaving',
                target=target.lifetime,
                request_id=request_id,
            )


__all__ = ('TargetAnnouncements',)
