"""Targets that one request was sent to, and those that it avoids."""

from fuchsiafork.gateway.targets import TargetState

# Targets that can't be connected to that one request tolerates.
MAX_UNREACHED_TARGETS = 3


class TriedTargets:
    """The targets of the attempts of one request."""

    def __init__(self, max_targets: int) -> None:
        """
        Start before the first attempt.

        :param max_targets: number of targets that may get the request.
        """
        self._max_targets = max_targets
        self._tried_ids: list[str] = []
        self._unreached_ids: set[str] = set()
        # Targets that stopped accepting requests before this one was sent.
        self._withdrawn_ids: set[str] = set()
        # Target whose kept connection ended without an answer. It may have run
        # the request, so that the request is sent there once more.
        self._unanswered_state: TargetState | None = None
        self._unanswered_ids: set[str] = set()

    @property
    def exhausted(self) -> bool:
        """Whether no further target may get the request."""
        return len(self._tried_ids) >= self._max_targets

    @property
    def last(self) -> bool:
        """Whether the attempt in progress is the last one allowed."""
        return len(self._tried_ids) + 1 >= self._max_targets

    @property
    def too_many_unreached(self) -> bool:
        """Whether too many targets could not be connected to."""
        return len(self._unreached_ids) > MAX_UNREACHED_TARGETS

    @property
    def excluded_ids(self) -> frozenset[str]:
        """Ids of the targets that the request avoids."""
        return frozenset((
            *self._tried_ids,
            *self._unreached_ids,
            *self._withdrawn_ids,
        ))

    def is_unanswered(self, target_id: str) -> bool:
        """Return whether a kept connection to a target ended unanswered."""
        return target_id in self._unanswered_ids

    def add(self, target_id: str) -> None:
        """Add a target that received the request."""
        self._tried_ids.append(target_id)

    def add_unreached(self, target_id: str) -> None:
        """Add a target that could not be connected to."""
        self._unreached_ids.add(target_id)
        self._add_unanswered(target_id)

    def add_withdrawn(self, target_id: str) -> None:
        """Add a target that stopped accepting requests before this one."""
        self._withdrawn_ids.add(target_id)
        self._add_unanswered(target_id)

    def add_unanswered(self, state: TargetState) -> None:
        """Add a target whose kept connection ended without an answer."""
        self._unanswered_state = state
        self._unanswered_ids.add(state.target.target_id)

    def pop_unanswered(self) -> TargetState | None:
        """Return the target to send the request to once more, if any."""
        state, self._unanswered_state = self._unanswered_state, None
        return state

    def _add_unanswered(self, target_id: str) -> None:
        """Count a target that may have run the request before."""
        if target_id in self._unanswered_ids:
            self._tried_ids.append(target_id)


__all__ = ('TriedTargets',)
