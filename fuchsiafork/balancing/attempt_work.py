"""Follows the work of one attempt, and learns the speed of its target."""

from typing import Any

from fuchsiafork.balancing.candidates import Choice, TargetInfo
from fuchsiafork.balancing.costs import WorkCost
from fuchsiafork.balancing.request_work import RequestWork


class AttemptWork:
    """
    The work of one attempt, from its start to its end.

    The speed of a target is learned only where the work ahead is known, and
    only from requests that needn't wait for a place.
    """

    def __init__(
        self,
        request: RequestWork,
        target: TargetInfo,
        choice: Choice[Any] | None = None,
    ) -> None:
        """
        Add the work to the outstanding work of the target.

        :param choice: the choice of the target, None if the work of the other
            VMs did not decide it.
        """
        learned = request.learned
        lifetime = target.lifetime
        self._request = request
        self._speeds = learned.speeds
        self._clock = learned.clock
        self._lifetime = lifetime
        if choice is None:
            self._cost = request.remaining_cost(lifetime)
            self._has_place = False
            self._tokens_ahead = 0
        else:
            self._cost = choice.cost
            self._has_place = choice.load.requests < target.slots
            # Tokens to prefill until the first event.
            self._tokens_ahead = (
                choice.load.prompt_tokens + choice.cost.prompt_tokens
            )
        self._outstanding = learned.view.begin(lifetime, self._cost)
        learned.sent_parts.record(lifetime, request.parts)
        self._started_at = learned.clock.now()
        self._first_at = self._latest_at = self._started_at
        self._first_events = self._events = 0
        self._whole = False
        self._ended = False

    @property
    def cost(self) -> WorkCost:
        """Work of the attempt at its target."""
        return self._cost

    def record_events(self, events: int) -> None:
        """Record the number of events so far."""
        self._latest_at = self._clock.now()
        if not self._events:
            self._first_at = self._latest_at
            self._first_events = events
            self._record_first_event()
        self._events = events
        self._outstanding.record_output(self._tokens(events))

    def record_whole(self) -> None:
        """Record that the answer is complete and no error."""
        self._whole = True
        kind = self._request.kind
        if kind.event_tokens:
            self._speeds.record_output(
                kind.service,
                self._lifetime,
                self._tokens(self._events - self._first_events),
                self._latest_at - self._first_at,
            )
        elif self._has_place:
            seconds = self._clock.now() - self._started_at
            self._request.record_service(seconds)
            self._speeds.record_service(
                kind.service, self._lifetime, self._cost.seconds, seconds
            )

    def end(self) -> None:
        """Remove the work; further calls have no effect."""
        if self._ended:
            return
        self._ended = True
        self._outstanding.end()
        if self._request.kind.event_tokens:
            self._request.record_output(self._events, whole=self._whole)
            if not self._events and not self._whole:
                self._record_silence()

    def _record_first_event(self) -> None:
        """Record the time in which the target prefilled the prompt."""
        service = self._request.kind.service
        speed = self._speeds.speed(service, self._lifetime)
        writing_s = self._tokens(1) * speed.output_token_s
        seconds = self._first_at - self._started_at - writing_s
        if self._has_place:
            self._speeds.record_first_event(
                service, self._lifetime, self._tokens_ahead, seconds
            )

    def _record_silence(self) -> None:
        """Record that the target sent no event."""
        if self._has_place:
            self._speeds.record_silence(
                self._request.kind.service,
                self._lifetime,
                self._tokens_ahead,
                self._clock.now() - self._started_at,
            )

    def _tokens(self, events: int) -> int:
        """Return the tokens of some events."""
        return events * self._request.kind.event_tokens


__all__ = ('AttemptWork',)
