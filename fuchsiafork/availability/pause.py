"""The pause that a target asked for, and its return afterwards."""

import math

# Time in which the request that tries a target after its pause may stay
# unanswered, before another one tries it.
TRIAL_S = 0.5


class RequestedPause:
    """
    When a target that refused a request may get the next ones.

    After the pause it gets one request at a time until it has answered one, so
    that what waited for it doesn't come at once.

    :ivar until: end of the pause, seconds.
    :ivar ends_at: end of the pause or of the trial, seconds.
    """

    def __init__(self) -> None:
        """Start without a pause."""
        self.until = -math.inf
        self._since = -math.inf
        self._on_trial = False
        self.ends_at = -math.inf

    @property
    def since(self) -> float:
        """Time at which the target asked for it first, seconds."""
        return self._since

    def ask(self, now: float, seconds: float) -> None:
        """Record a refusal with a pause; the latest end counts."""
        if now >= self.until:
            self._since = now
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
