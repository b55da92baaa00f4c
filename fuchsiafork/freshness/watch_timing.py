"""How long a watch of the store waits, and when its answer is overdue."""

from fuchsiafork.kernel import Clock

# Time that a watch waits for a change.
WATCH_WAIT_S = 15.0
# The same where the VM itself checks that it knows the newest change.
CHECK_WAIT_S = 0.6
# Time after the wait within which the answer must begin.
WATCH_MARGIN_S = 1.5
# The same where the VM checks, and the smallest multiple of the time that the
# store last took for an answer.
MIN_CHECK_MARGIN_S = 0.4
CHECK_MARGIN_FACTOR = 3.0


class WatchTiming:
    """
    Times of the next watch of one prefix.

    :ivar connected: whether the last call was answered.
    :ivar checking: whether this VM itself checks that it knows all changes.
    :ivar refreshing: whether the next watch returns the changes so far.
    """

    def __init__(
        self, clock: Clock, check_wait_s: float = CHECK_WAIT_S
    ) -> None:
        """
        Start without an answer.

        :param check_wait_s: seconds that a watch waits while this VM checks.
        """
        self.connected = False
        self.checking = False
        self.refreshing = False
        self._overdue = False
        self._clock = clock
        self._check_wait_s = check_wait_s
        self._started_at = clock.now()
        self._latency_s = 0.0

    @property
    def wait_s(self) -> float:
        """Seconds that the next watch waits for a change."""
        # The first one after a loss returns at once, to detect that the store
        # answers again.
        if self.refreshing or self._overdue or not self.connected:
            return 0.0
        return self._check_wait_s if self.checking else WATCH_WAIT_S

    @property
    def margin_s(self) -> float:
        """Seconds after the wait within which the answer must begin."""
        if not self._brief:
            return WATCH_MARGIN_S
        expected_s = CHECK_MARGIN_FACTOR * self._latency_s
        return min(WATCH_MARGIN_S, max(MIN_CHECK_MARGIN_S, expected_s))

    @property
    def _brief(self) -> bool:
        """Whether the answer is expected soon after the wait."""
        if self._overdue or not self.connected:
            return False
        return self.checking or self.refreshing

    def start(self) -> None:
        """Record that a watch is sent."""
        self._started_at = self._clock.now()

    def record_answer(self, *, waited: bool) -> None:
        """
        Record an answer.

        :param waited: whether the store may have waited before it.
        """
        if not waited:
            self._latency_s = self._clock.now() - self._started_at
        self.refreshing = False
        self._overdue = False

    def record_no_answer(self) -> bool:
        """Return whether to ask again with the longest margin."""
        self._overdue = self._brief
        return self._overdue

    def record_loss(self) -> None:
        """Record that the store doesn't answer."""
        self.connected = False
        self.refreshing = False
        self._overdue = False


__all__ = (
    'CHECK_WAIT_S',
    'WATCH_MARGIN_S',
    'WATCH_WAIT_S',
    'WatchTiming',
)
