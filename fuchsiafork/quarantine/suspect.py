"""What is known of one part under which targets ended."""

import dataclasses
import math

from fuchsiafork.quarantine.progress import START, Progress

# Ends of different targets that put a part into quarantine.
QUARANTINE_ENDS = 3
# Requests that may be sent to show that a part in quarantine is harmless.
# No further one is sent once a target has ended under one of them.
MAX_PROBES = 6
# Time for which a probe is left to requests without another part in quarantine.
JOINT_PROBE_DELAY_S = 2.5
# The same after the last request of this kind.
ALONE_S = 5.0
# Probes after which only such requests are sent.
MAX_JOINT_PROBES = 3
# Revision of what this VM has seen, until it is in the store.
UNWRITTEN = math.inf
# Covers no end, not even one before the first event.
NOTHING = Progress(-1, -1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class PartEnd:
    """
    The end of a target under a part.

    :ivar revision: revision of its report, ``UNWRITTEN`` before.
    :ivar progress: how far the answer had got.
    """

    revision: float
    progress: Progress = START


@dataclasses.dataclass(slots=True)
class Suspect:
    """
    What is known of one part.

    :ivar ends: the ends, by the target's lifetime.
    :ivar quarantined_revision: revision of the announcement, 0 without one.
    :ivar announced: how far answers had got when targets ended, as announced.
    :ivar cleared_revision: revision up to which ends have been refuted.
    :ivar cleared: up to where the answers that refuted them had got.
    :ivar news_at: time of the last end, announcement or refusal, seconds.
    :ivar announced_at: time of the last report from the store, seconds.
    :ivar next_probe_at: time at which the next probe may be sent, seconds.
    :ivar probed_lifetime: start of the target that got the last probe.
    :ivar probed_jointly: whether that request held another part in quarantine.
    :ivar quarantined_at: time at which the quarantine began, seconds.
    :ivar asked_alone_at: time of the last request that holds no other part in
        quarantine, seconds.
    """

    news_at: float
    announced_at: float
    ends: dict[str, PartEnd] = dataclasses.field(default_factory=dict)
    quarantined_revision: int = 0
    announced: Progress = NOTHING
    cleared_revision: int = 0
    cleared: Progress = NOTHING
    probes: int = 0
    next_probe_at: float = -math.inf
    probed_lifetime: str = ''
    probed_jointly: bool = False
    quarantined_at: float = math.inf
    asked_alone_at: float = -math.inf

    @property
    def quarantined(self) -> bool:
        """Whether no target may get the part but for a probe."""
        return bool(
            self.quarantined_revision or len(self.ends) >= QUARANTINE_ENDS
        )

    @property
    def exhausted(self) -> bool:
        """Whether no further probe is sent."""
        ended_target = self.probed_lifetime in self.ends
        decided = ended_target and not self.probed_jointly
        return decided or self.probes >= MAX_PROBES

    def may_be_probed_jointly(self, now: float) -> bool:
        """
        Return whether a request with another part in quarantine may be a probe.

        If its target ends, nobody knows under which part, so that requests
        with this part alone go first, and fewer follow than of these.
        """
        waited = now >= max(
            self.quarantined_at + JOINT_PROBE_DELAY_S,
            self.next_probe_at,
            self.asked_alone_at + ALONE_S,
        )
        return waited and self.probes < MAX_JOINT_PROBES

    def note_quarantine(self, now: float) -> None:
        """Keep the time of the first evidence that suffices."""
        if self.quarantined:
            self.quarantined_at = min(self.quarantined_at, now)

    @property
    def series(self) -> int:
        """First revision of the evidence, 0 if none of it is stored."""
        written = [
            int(end.revision)
            for end in self.ends.values()
            if end.revision != UNWRITTEN
        ]
        if self.quarantined_revision:
            written.append(self.quarantined_revision)
        return min(written, default=0)

    @property
    def furthest(self) -> Progress:
        """The place behind which no target is known to have ended."""
        furthest = self.announced
        for end in self.ends.values():
            furthest = furthest.join(end.progress)
        return furthest

    def is_refuted(self, revision: float, progress: Progress) -> bool:
        """Return whether an end was refuted before it is heard of."""
        return revision <= self.cleared_revision and self.cleared.covers(
            progress
        )

    def refute(self, harmless: Progress, revision: float) -> None:
        """
        Drop the evidence that an answer refutes.

        :param harmless: up to where the answer shows the part to be harmless.
        :param revision: revision up to which reports are refuted.
        """
        self.ends = {
            lifetime: end
            for lifetime, end in self.ends.items()
            if end.revision > revision or not harmless.covers(end.progress)
        }
        if self.quarantined_revision <= revision and harmless.covers(
            self.announced
        ):
            self.quarantined_revision = 0
            self.announced = NOTHING
        if not self.quarantined:
            self.probes = 0
            self.next_probe_at = -math.inf
            self.probed_lifetime = ''
            self.quarantined_at = math.inf

    def note_refuted(self, harmless: Progress, revision: int) -> None:
        """Ignore reports up to a revision that an answer refutes."""
        if revision >= self.cleared_revision:
            self.cleared_revision = revision
            self.cleared = harmless


__all__ = (
    'ALONE_S',
    'JOINT_PROBE_DELAY_S',
    'MAX_JOINT_PROBES',
    'MAX_PROBES',
    'NOTHING',
    'QUARANTINE_ENDS',
    'UNWRITTEN',
    'PartEnd',
    'Suspect',
)
