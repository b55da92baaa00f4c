"""Targets that ended under each part of requests, as one VM knows them."""

import dataclasses
from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet

from fuchsiafork.quarantine.progress import EVERYTHING, START, Progress
from fuchsiafork.quarantine.suspect import (
    MAX_PROBES,
    QUARANTINE_ENDS,
    UNWRITTEN,
    PartEnd,
    Suspect,
)

# Time between the first two probes; doubles with each further one.
PROBE_INTERVAL_S = 10.0
# A part is forgotten this long after its last end or refusal.
FORGET_S = 600.0
# A quarantine is announced anew for VMs that start later, after half of that.
RENEWAL_S = 300.0
# Parts remembered at most.
MAX_SUSPECTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """
    The next probe of a part.

    :ivar series: revision that all VMs know as the start of its quarantine.
    :ivar number: number of the probe, from 1.
    :ivar others: other parts in quarantine that the request holds.
    """

    part: str
    series: int
    number: int
    others: tuple[str, ...] = dataclasses.field(default=(), compare=False)


class PartEvidence:
    """
    Decides which parts are in quarantine.

    The end of a target counts once, however many VMs and requests saw it. An
    answer whose target lives on removes the ends before that came at places
    which it has passed.
    """

    def __init__(self) -> None:
        """Start without evidence."""
        self._suspects: dict[str, Suspect] = {}
        # Parts with ends, or in quarantine.
        self._suspected: set[str] = set()
        self._revision = 0

    @property
    def revision(self) -> int:
        """Newest revision seen."""
        return self._revision

    @property
    def suspected(self) -> AbstractSet[str]:
        """Parts under which a target ended, or that are in quarantine."""
        return self._suspected

    def __len__(self) -> int:
        """Return the number of parts in quarantine."""
        return sum(suspect.quarantined for suspect in self._suspects.values())

    def quarantined(self, parts: Iterable[str]) -> list[str]:
        """Return the parts that are in quarantine, in their order."""
        return [
            part
            for part in parts
            if part in self._suspects and self._suspects[part].quarantined
        ]

    def ends(self, part: str) -> int:
        """Return the number of targets that ended under a part."""
        suspect = self._suspects.get(part)
        return len(suspect.ends) if suspect else 0

    def is_suspected(self, part: str, lifetime: str = '') -> bool:
        """Return whether a target other than the given one ended under it."""
        suspect = self._suspects.get(part)
        if suspect is None:
            return False
        return suspect.quarantined or any(
            known != lifetime for known in suspect.ends
        )

    def is_final(self, part: str) -> bool:
        """Return whether a quarantined part gets no further probe."""
        suspect = self._suspects.get(part)
        return suspect is not None and suspect.exhausted

    def suspects(self) -> list[tuple[str, int, bool]]:
        """Return each part in quarantine, its ends, and whether it is final."""
        return [
            (part, len(suspect.ends), suspect.exhausted)
            for part, suspect in self._suspects.items()
            if suspect.quarantined
        ]

    def has_ended(self, part: str, lifetime: str) -> bool:
        """Return whether a target is known to have ended under a part."""
        suspect = self._suspects.get(part)
        return suspect is not None and lifetime in suspect.ends

    def add_end(
        self,
        lifetime: str,
        parts: Iterable[str],
        now: float,
        revision: float = UNWRITTEN,
        progress: Mapping[str, Progress] | None = None,
    ) -> list[str]:
        """
        Add the end of a target; return the parts now put in quarantine.

        :param progress: by part, how far the answer had got.
        """
        added = []
        for part in parts:
            suspect = self._suspect(part, now)
            end = PartEnd(revision, (progress or {}).get(part, START))
            if suspect.is_refuted(revision, end.progress):
                continue
            before = suspect.quarantined
            suspect.ends[lifetime] = end
            self._refresh(suspect, now, revision)
            self._suspected.add(part)
            suspect.note_quarantine(now)
            if suspect.quarantined and not before:
                added.append(part)
        self._see(revision)
        return added

    def announce(
        self,
        parts: Iterable[str],
        now: float,
        revision: int,
        progress: Mapping[str, Progress] | None = None,
    ) -> list[str]:
        """
        Put parts in quarantine as announced; return the ones new here.

        :param progress: by part, how far answers had got when targets ended.
        """
        added = []
        for part in parts:
            suspect = self._suspect(part, now)
            announced = (progress or {}).get(part, START)
            if suspect.is_refuted(revision, announced):
                continue
            if not suspect.quarantined:
                added.append(part)
            suspect.quarantined_revision = (
                suspect.quarantined_revision or revision
            )
            suspect.announced = suspect.announced.join(announced)
            suspect.note_quarantine(now)
            self._suspected.add(part)
            self._refresh(suspect, now, revision)
        self._see(revision)
        return added

    def clear(
        self,
        parts: Iterable[str],
        revision: int,
        harmless: Progress = EVERYTHING,
    ) -> list[str]:
        """
        Drop the ends up to a revision, as another VM reports an answer.

        :param harmless: up to where it shows the parts to be harmless.
        """
        released = []
        for part in parts:
            suspect = self._suspects.get(part)
            if suspect is None:
                continue
            before = suspect.quarantined
            self._refute(part, suspect, harmless, revision)
            suspect.note_refuted(harmless, revision)
            if before and not suspect.quarantined:
                released.append(part)
        self._see(revision)
        return released

    def refute(self, part: str, harmless: Progress) -> bool:
        """
        Drop the ends known here that an answer on this VM refutes.

        :param harmless: up to where it shows the part to be harmless.
        :return: whether there were any.
        """
        suspect = self._suspects.get(part)
        if suspect is None:
            return False
        before = len(suspect.ends), suspect.quarantined
        self._refute(part, suspect, harmless, UNWRITTEN)
        if (len(suspect.ends), suspect.quarantined) == before:
            return False
        suspect.note_refuted(harmless, self._revision)
        return True

    def furthest(self, part: str) -> Progress:
        """Return how far answers on a part had got when targets ended."""
        suspect = self._suspects.get(part)
        return suspect.furthest if suspect else START

    def next_probe(
        self, part: str, now: float, *, joint: bool = False
    ) -> Probe | None:
        """
        Return the probe of a quarantined part that may be sent now.

        :param joint: whether the request holds another part in quarantine.
        """
        suspect = self._suspects.get(part)
        if suspect is None or not suspect.series:
            return None
        if not joint:
            suspect.asked_alone_at = now
        if suspect.exhausted or now < suspect.next_probe_at:
            return None
        if joint and not suspect.may_be_probed_jointly(now):
            return None
        return Probe(part, suspect.series, suspect.probes + 1)

    def record_probe(
        self,
        part: str,
        number: int,
        lifetime: str,
        now: float,
        *,
        joint: bool = False,
    ) -> None:
        """
        Record a probe that this VM or another one sends to a target.

        :param lifetime: start of the target, empty if it isn't known yet.
        :param joint: whether the request holds another part in quarantine.
        """
        suspect = self._suspects.get(part)
        if suspect is None or number < suspect.probes:
            return
        if number == suspect.probes:
            suspect.probed_lifetime = suspect.probed_lifetime or lifetime
            suspect.probed_jointly = suspect.probed_jointly or joint
            return
        suspect.probes = number
        suspect.next_probe_at = now + PROBE_INTERVAL_S * 2 ** (number - 1)
        suspect.probed_lifetime = lifetime
        suspect.probed_jointly = joint

    def return_probe(self, probe: Probe, now: float) -> bool:
        """
        Let this VM send a probe again, since it reached no target.

        :return: whether it is still the last probe of the same quarantine.
        """
        suspect = self._suspects.get(probe.part)
        if suspect is None or (suspect.series, suspect.probes) != (
            probe.series,
            probe.number,
        ):
            return False
        suspect.probes = probe.number - 1
        suspect.next_probe_at = now
        suspect.probed_lifetime = ''
        return True

    def refuse(self, part: str, now: float) -> bool:
        """Record a refusal; return whether to announce the quarantine."""
        suspect = self._suspects.get(part)
        if suspect is None:
            return False
        suspect.news_at = now
        due = now >= suspect.announced_at + RENEWAL_S
        if due:
            suspect.announced_at = now
        return due

    def expire(self, now: float) -> None:
        """Forget parts without news, and the oldest ones above the bound."""
        kept = {
            part: suspect
            for part, suspect in self._suspects.items()
            if now < suspect.news_at + FORGET_S
        }
        excess = len(kept) - MAX_SUSPECTS
        if excess > 0:
            order = sorted(
                kept,
                key=lambda part: (kept[part].quarantined, kept[part].news_at),
            )
            for part in order[:excess]:
                kept.pop(part)
        self._suspects = kept
        self._suspected &= kept.keys()

    def _refute(
        self, part: str, suspect: Suspect, harmless: Progress, revision: float
    ) -> None:
        """Drop the ends of a part that an answer refutes."""
        suspect.refute(harmless, revision)
        if not suspect.ends and not suspect.quarantined:
            self._suspected.discard(part)

    def _suspect(self, part: str, now: float) -> Suspect:
        """Return the record of a part, a new one if it is unknown."""
        if part not in self._suspects:
            self._suspects[part] = Suspect(now, now)
        return self._suspects[part]

    def _refresh(self, suspect: Suspect, now: float, revision: float) -> None:
        """Record the time of news on a part."""
        suspect.news_at = now
        if revision != UNWRITTEN:
            suspect.announced_at = now

    def _see(self, revision: float) -> None:
        """Record the newest revision."""
        if revision != UNWRITTEN:
            self._revision = max(self._revision, int(revision))


__all__ = (
    'FORGET_S',
    'MAX_PROBES',
    'MAX_SUSPECTS',
    'PROBE_INTERVAL_S',
    'QUARANTINE_ENDS',
    'RENEWAL_S',
    'UNWRITTEN',
    'PartEvidence',
    'Probe',
)
