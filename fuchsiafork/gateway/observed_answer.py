"""What the answer to one attempt shows of the parts of its request."""

import typing

from fuchsiafork.balancing.attempt_work import AttemptWork
from fuchsiafork.gateway.targets import Target
from fuchsiafork.kernel import Clock
from fuchsiafork.quarantine import Progress


class Observer(typing.Protocol):
    """Draws conclusions from answers."""

    def record_event(self, answer: 'ObservedAnswer') -> None:
        """Record that a target has written a further event."""

    def record_whole(
        self, answer: 'ObservedAnswer', parts: tuple[str, ...]
    ) -> None:
        """Record that a target has written the last byte of an answer."""

    def record_broken(self, answer: 'ObservedAnswer') -> None:
        """Record that a connection ended within an answer."""


class ObservedAnswer:
    """
    The answer of one target to one request, while it arrives.

    :ivar target: the target.
    :ivar parts: ids of the shared parts of the prompt, and of the request last.
    :ivar events: events that the target has sent in this attempt.
    """

    def __init__(
        self,
        parts: tuple[str, ...],
        target: Target,
        clock: Clock,
        observer: Observer,
        work: AttemptWork,
    ) -> None:
        """
        Start before the request is sent.

        :param work: work of the attempt, which is told of events and the end.
        """
        self.parts = parts
        self.target = target
        self.events = 0
        self._clock = clock
        self._observer = observer
        self._work = work
        self._started_at = clock.now()

    @property
    def begun(self) -> bool:
        """Whether the target has sent an event in this attempt."""
        return bool(self.events)

    @property
    def progress(self) -> Progress:
        """How far the answer has got."""
        return Progress(self.events, self._clock.now() - self._started_at)

    def record_events(self, events: int) -> None:
        """Record the number of events so far."""
        if events > self.events:
            self.events = events
            self._work.record_events(events)
            self._observer.record_event(self)

    def record_whole(self, *, success: bool) -> None:
        """
        Record the end of the answer.

        An error may come before the target begins to write on the prompt, so
        that it counts for the whole request only.
        """
        if success:
            self._work.record_whole()
        parts = self.parts if success else self.parts[-1:]
        self._observer.record_whole(self, parts)

    def record_broken(self) -> None:
        """Record that the connection ended before the answer did."""
        self._observer.record_broken(self)


__all__ = ('ObservedAnswer',)
