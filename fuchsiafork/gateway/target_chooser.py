"""Chooses targets by the work of all VMs while it is known; does no I/O."""

import dataclasses
from collections.abc import Sequence

from fuchsiafork.balancing import Choice, LoadView, TargetChoice
from fuchsiafork.balancing.request_work import RequestWork
from fuchsiafork.gateway.target_selection import (
    SelectionCriteria,
    TargetSelector,
)
from fuchsiafork.gateway.targets import TargetState


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """
    The target of an attempt.

    :ivar choice: what the choice rests on, None if the work of the other VMs is
        unknown.
    """

    state: TargetState
    choice: Choice[TargetState] | None = None


class TargetChooser:
    """Chooses by the expected time to the first event, else by requests."""

    def __init__(
        self, selector: TargetSelector, choice: TargetChoice, view: LoadView
    ) -> None:
        """Choose with the selector while the work of other VMs is unknown."""
        self._selector = selector
        self._choice = choice
        self._view = view

    def choose(
        self,
        states: Sequence[TargetState],
        criteria: SelectionCriteria,
        work: RequestWork,
        now: float,
    ) -> Selection | None:
        """
        Return the target for an attempt, None if no target is eligible.

        :param states: targets that accept requests.
        """
        request = work.choice_request(
            criteria.affinity_key, criteria.excluded_ids
        )
        # The requests of plain services end before the view of the other VMs
        # shows them.
        if not self._view.fleet_known or not request.event_tokens:
            state = self._selector.select(states, criteria, now)
            return None if state is None else Selection(state)
        eligible = self._selector.eligible(states, criteria, now)
        choice = self._choice.choose(eligible, request)
        return None if choice is None else Selection(choice.candidate, choice)


__all__ = ('Selection', 'TargetChooser')
