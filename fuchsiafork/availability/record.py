"""What is known of one start of a target."""

import math

from fuchsiafork.availability.pause import RequestedPause
from fuchsiafork.availability.status import Availability, Source, Status

# A target that can't be connected to, that stops sending during an answer or
# whose address belongs to another target gets no requests for the initial
# backoff, which doubles with each further failure.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
_MAX_BACKOFF_COUNT = 8

# Time in which a target registers again after its entry lapsed during an outage
# of the store.
LAPSED_ENTRY_GRACE_S = 1.8

_ACCEPTING = Status(Availability.ACCEPTING)


class AvailabilityRecord:
    """
    Reports on one start of a target, of which the strongest decides.

    From strongest to weakest: its entry was removed; it is leaving, by its
    entry or an answer; it requested a pause, or is avoided after a failure.
    docs/platform.md, section 4, has the whole table.

    :ivar backoff_until: end of the backoff after a failure, seconds.
    """

    def __init__(self, *, start_known: bool = True) -> None:
        """
        Start without reports.

        :param start_known: whether the entry has the time of the start, which
            distinguishes it from a later one.
        """
        self._start_known = start_known
        # Time from which the entry counts as removed, seconds.
        self._gone_at = math.inf
        self._leaving: Status | None = None
        self.backoff_until = -math.inf
        self._backoff_since = -math.inf
        self._backoff_count = 0
        self._pause = RequestedPause()

    @property
    def leaving(self) -> bool:
        """Whether the target has announced that it is leaving."""
        return self._leaving is not None

    @property
    def returned_at(self) -> float:
        """Time at which the last pause or backoff ended or will end."""
        return max(self.backoff_until, self._pause.until)

    def gone(self, now: float) -> bool:
        """Return whether the entry was removed or replaced."""
        return now >= self._gone_at

    def outlasts_entry(self, now: float) -> bool:
        """Return whether the record must be kept without the entry."""
        return self._start_known and (self.leaving or now < self._pause.until)

    def accepts(self, now: float) -> bool:
        """Return whether the target takes requests."""
        return (
            self._leaving is None
            and now < self._gone_at
            and now >= self.backoff_until
            and now >= self._pause.ends_at
        )

    def status(self, now: float) -> Status:
        """Return the state of the target, with its source."""
        if self.accepts(now):
            return _ACCEPTING
        if self.gone(now):
            return Status(Availability.GONE, Source.REGISTRY, self._gone_at)
        if self._leaving is not None:
            return self._leaving
        return self._longer_pause()

    def record_entry(self, now: float, *, leaving: bool) -> None:
        """
        Record what the target's entry says.

        A leaving target doesn't return before it restarts: an entry of the
        same start that says otherwise is from a copy of the store. Where no
        start is known, such an entry is from another one.
        """
        self._gone_at = math.inf
        if leaving:
            self._leave(Source.REGISTRY, now)
        elif self._left_unknown_start():
            self._leaving = None

    def record_removal(self, now: float) -> None:
        """Record that the entry was removed, or replaced by another start."""
        self._gone_at = min(self._gone_at, now)

    def record_lapse(self, now: float) -> None:
        """Record that the entry was removed, and may be written again soon."""
        self._gone_at = min(self._gone_at, now + LAPSED_ENTRY_GRACE_S)

    def announce_leaving(self, now: float) -> bool:
        """Record an answer that announces it; return whether that is new."""
        is_new = self._leaving is None
        self._leave(Source.ANSWER, now)
        return is_new

    def request_pause(self, now: float, seconds: float) -> None:
        """Record a refusal with which the target requested a pause."""
        self._pause.request(now, seconds)

    def on_request(self, now: float) -> None:
        """Record that a request is sent to the target now."""
        self._pause.on_request(now)

    def on_answer(self, now: float) -> None:
        """Record an answer that is no refusal."""
        self._pause.on_answer(now)

    def back_off(self, now: float) -> None:
        """Start a backoff after a failure unless one is in progress."""
        if now < self.backoff_until:
            return
        backoff_s = min(
            MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**self._backoff_count
        )
        self._backoff_count = min(self._backoff_count + 1, _MAX_BACKOFF_COUNT)
        self._backoff_since = now
        self.backoff_until = now + backoff_s

    def reset_backoff(self) -> None:
        """Let the next backoff be the initial one."""
        self._backoff_count = 0

    def _longer_pause(self) -> Status:
        """Return the requested pause or the backoff."""
        if self._pause.ends_at >= self.backoff_until:
            source, since = Source.REFUSAL, self._pause.since
        else:
            source, since = Source.CONNECTION, self._backoff_since
        until = max(self._pause.ends_at, self.backoff_until)
        return Status(Availability.PAUSED, source, since, until)

    def _leave(self, source: Source, now: float) -> None:
        """Record that the target is leaving, unless that is known."""
        if self._leaving is None:
            self._leaving = Status(Availability.LEAVING, source, now)

    def _left_unknown_start(self) -> bool:
        """Return whether an entry without a start is the source of LEAVING."""
        return (
            not self._start_known
            and self._leaving is not None
            and self._leaving.source is Source.REGISTRY
        )


__all__ = (
    'INITIAL_BACKOFF_S',
    'LAPSED_ENTRY_GRACE_S',
    'MAX_BACKOFF_S',
    'AvailabilityRecord',
)
