"""The pause that a target requested, and the trial afterwards."""

import math

# Time for which a trial request may stay unanswered before the next one.
TRIAL_S = 0.5


class RequestedPause:
    """
    When a target that refused a request accepts the next ones.

    After the pause, one request at a time is sent to the target until one is
    answered, so that the traffic doesn't return all at once.

    :ivar since: time of the first refusal, seconds.
    :ivar until: end of the pause, seconds.
    :ivar ends_at: end of the pause or of the trial, seconds.
    """

    def __init__(self) -> None:
        """Start without a pause."""
        self.since = -math.inf
        self.until = -math.inf
        self.ends_at = -math.inf
        self._on_trial = False

    def request(self, now: float, seconds: float) -> None:
        """Record a refusal with a pause; the latest end counts."""
        if now >= self.until:
            self.since = now
        self.until = max(self.until, now + seconds)
        self.ends_at = self.until
        self._on_trial = True

    def on_request(self, now: float) -> None:
        """Record that a request is sent now."""
        if self._on_trial:
            self.ends_at = now + TRIAL_S

    def on_answer(self, now: float) -> None:
        """Record an answer that is no refusal."""
        if now >= self.until:
            self.ends_at = self.until
            self._on_trial = False


__all__ = ('TRIAL_S', 'RequestedPause')
