"""Decides which targets accept requests from this VM; does no I/O."""

from fuchsiafork.availability import Availability, Source, Status
from fuchsiafork.gateway.target_limits import TargetLimits
from fuchsiafork.gateway.targets import TargetState, TargetTable
from fuchsiafork.kernel import Clock


class TargetGate:
    """
    Decides whether a target accepts requests.

    TargetCall repeats the check on the target's record right before sending.
    """

    def __init__(
        self, targets: TargetTable, limits: TargetLimits, clock: Clock
    ) -> None:
        """Decide on the targets of a table."""
        self._targets = targets
        self._limits = limits
        self._clock = clock

    def status(self, state: TargetState) -> Status:
        """Return the state of a target."""
        return state.availability.status(self._clock.now())

    def status_for(self, state: TargetState, priority: int) -> Status:
        """Return the state of a target for requests of a priority."""
        status = self.status(state)
        wait_s = self._limits.wait_s(state.target, priority)
        if not status.accepting or not wait_s:
            return status
        until = self._clock.now() + wait_s
        return Status(Availability.PAUSED, Source.LIMIT, until=until)

    def accepts(self, state: TargetState, priority: int) -> bool:
        """Return whether a target accepts requests of a priority."""
        accepts = state.availability.accepts(self._clock.now())
        return accepts and not self._limits.wait_s(state.target, priority)

    def accepting_targets(
        self, service: str, priority: int
    ) -> list[TargetState]:
        """Return the targets of a service that accept such requests."""
        return [
            state
            for state in self._targets.serving_targets(service)
            if self.accepts(state, priority)
        ]

    def pauses(self, service: str, priority: int) -> list[Status]:
        """Return the pauses of the targets of a service."""
        statuses = (
            self.status_for(state, priority)
            for state in self._targets.serving_targets(service)
        )
        return [
            status
            for status in statuses
            if status.availability is Availability.PAUSED
        ]


__all__ = ('TargetGate',)
