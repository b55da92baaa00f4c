"""Log lines of the attempts of one request."""

from typing import Any

from fuchsiafork.availability import Status
from fuchsiafork.balancing import Choice
from fuchsiafork.gateway.answer_relay import AnswerRelay, Failure
from fuchsiafork.gateway.targets import TargetState


class AttemptLog:
    """Writes the log lines of the attempts of one request."""

    def __init__(
        self, log: Any, request_id: str, answer_relay: AnswerRelay
    ) -> None:
        """Write lines for a request."""
        self._log = log
        self._request_id = request_id
        self._answer_relay = answer_relay

    def sent(
        self,
        state: TargetState,
        remaining_s: float,
        choice: Choice[TargetState] | None,
        view_age_s: float,
    ) -> None:
        """
        Log that the request is sent to a target.

        :param choice: what the choice of the target rests on, if it is known.
        """
        self._log.info(
            'request_sent',
            request_id=self._request_id,
            target=state.target.target_id,
            domain=state.target.domain,
            in_flight=state.in_flight,
            left_s=round(remaining_s, 3),
            **_choice_fields(choice, view_age_s),
        )

    def skipped_answers(self, state: TargetState, count: int) -> None:
        """Log answers of a target to other requests."""
        self._log.warning(
            'answers_skipped',
            request_id=self._request_id,
            target=state.target.target_id,
            count=count,
        )

    def withdrawn(self, state: TargetState, status: Status) -> None:
        """Log an attempt whose target stopped accepting."""
        self._log.info(
            'attempt_withdrawn',
            request_id=self._request_id,
            target=state.target.target_id,
            availability=status.availability.value,
            source=status.source.value,
        )

    def failed(self, state: TargetState, failure: Failure, events: int) -> None:
        """
        Log a failed attempt.

        :param events: events that the target had sent.
        """
        relay = self._answer_relay
        self._log.warning(
            'attempt_failed',
            request_id=self._request_id,
            target=state.target.target_id,
            code=failure.error.code,
            reason=str(failure.error),
            sent=failure.possibly_sent,
            not_run=failure.not_run,
            stale=failure.stale_connection,
            failing=round(state.failure_share, 2),
            broken=failure.broken,
            begun=failure.begun,
            parts=','.join(relay.shared_parts),
            events=events,
            request=relay.request_part if failure.broken else '',
        )


def _choice_fields(
    choice: Choice[TargetState] | None, view_age_s: float
) -> dict[str, Any]:
    """Return what the choice of a target rests on."""
    if choice is None:
        return {}
    load = choice.load
    return {
        'choice': choice.reason.value,
        'estimate_s': round(choice.estimate_s, 3),
        'prompt_tokens': choice.cost.prompt_tokens,
        'ahead': f'{load.requests}/{load.prompt_tokens}/{load.seconds:.2f}',
        'view_age_s': round(view_age_s, 2),
    }


__all__ = ('AttemptLog',)
