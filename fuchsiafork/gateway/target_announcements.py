"""Passes on what targets say of themselves in the heads of their answers."""

from typing import Any

from fuchsiafork.gateway.target_limits import TargetLimits
from fuchsiafork.gateway.targets import Target
from fuchsiafork.platform.headers import ResponseMetadata


class TargetAnnouncements:
    """Records the announcements of targets."""

    def __init__(self, limits: TargetLimits, log: Any) -> None:
        """Pass limits on to those who keep them."""
        self._limits = limits
        self._log = log

    def record(self, target: Target, metadata: ResponseMetadata) -> None:
        """Record what the head of an answer says of its target."""
        self._limits.record_answer(target, metadata)
        if metadata.leaving:
            self._log.info(
                'target_announced_leaving',
                target=target.lifetime,
                request_id=metadata.request_id,
            )


__all__ = ('TargetAnnouncements',)
