"""The reports that one VM collects from the others of its failure domain."""

import dataclasses
from collections.abc import Iterable

from fuchsiafork.balancing.exchange_plan import SILENCE_S
from fuchsiafork.balancing.load_messages import (
    HEAVIEST_ACCOUNTS,
    MAX_DOMAIN_ACCOUNTS,
    MAX_INTERVAL_S,
    MIN_INTERVAL_S,
    Answer,
    DomainSums,
    Report,
    WorkView,
)
from fuchsiafork.balancing.work_sums import (
    NO_PART,
    WorkPart,
    WorkSums,
    decode_part,
)
from fuchsiafork.kernel import Clock

# Reports that one collector answers a second, in domains of up to 47 VMs. VMs
# shorten their interval by a twentieth on the mean, which makes it 50 calls.
MAX_REPORTS_PER_S = 47.0
# VMs of a domain that a collector serves. With more of them it would answer
# over 100 calls a second, or views would be too old before the next one; such
# a fleet has no view, and its VMs report now and then only.
MAX_VMS = 100
LONG_INTERVAL_S = 5.0
# The domain must have shrunk to this before it has views again.
_VMS_SERVED_AGAIN = 90
# Interval of the calls between the collectors of failure domains.
SUMS_INTERVAL_S = 0.3
# Of two collectors the first by domain calls the other, which calls only if it
# has heard nothing for this long.
LATE_SUMS_S = 0.6
# Intervals after which the report of a silent VM is dropped.
INTERVALS_KEPT = 3
# Time beyond an interval after which the successor of a collector has heard all
# VMs of the domain. Sums of fewer would show a fleet that is almost idle.
SUCCESSION_MARGIN_S = 0.1
# The same for a VM that begins or comes back: others that found it silent call
# it again, at the longest interval.
FIRST_WARM_UP_S = SILENCE_S + MAX_INTERVAL_S
# Further time for which it waits for the sums of other domains. With 0.6 s some
# VMs were told half of a fleet that had started as a whole.
OTHERS_WAIT_S = 1.0
# The sums of a domain that is out of reach are dropped before they make the
# view of this one too old, but not after one call that fails.
MAX_VIEW_AGE_S = 1.9
MIN_SUMS_KEPT_S = 0.65
# Time for which a VM collects without news of a VM that holds no slot.
NEED_TTL_S = 3.0
# Time between two rankings of the accounts, which a large fleet has many of.
RANKING_INTERVAL_S = 1.0
MAX_REPORTS = 4096
MAX_DOMAINS = 64


def report_interval_s(vms: int) -> float:
    """Return the time between two reports of each of some VMs."""
    return min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, vms / MAX_REPORTS_PER_S))


def sums_kept_s(interval_s: float) -> float:
    """Return for how long the sums of another domain are kept."""
    # Reports are half an interval old on the mean, and answers are held for
    # one.
    return max(MIN_SUMS_KEPT_S, MAX_VIEW_AGE_S - 1.5 * interval_s)


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """
    A part of the sums with its times.

    :ivar taken_at: time of the work, on the mean of the VMs.
    :ivar received_at: time of the message.
    :ivar expires_at: time at which it is dropped.
    :ivar vms_without_slot: how many of its VMs hold no slot.
    """

    part: WorkPart
    taken_at: float
    received_at: float
    expires_at: float
    vms_without_slot: int


class _Entries:
    """Parts of sums by their origin."""

    def __init__(self, *sums: WorkSums) -> None:
        """Keep some sums up to date."""
        self.by_origin: dict[str, _Entry] = {}
        self._sums = sums

    def put(self, origin: str, entry: _Entry) -> None:
        """Add a part in place of the former one of its origin."""
        former = self.by_origin.get(origin)
        self.by_origin[origin] = entry
        self._replace(former.part if former else NO_PART, entry.part)

    def expire(self, now: float) -> int:
        """Drop the parts that have lapsed; return how many."""
        lapsed = [
            origin
            for origin, entry in self.by_origin.items()
            if now >= entry.expires_at
        ]
        for origin in lapsed:
            self._replace(self.by_origin.pop(origin).part, NO_PART)
        return len(lapsed)

    def _replace(self, old: WorkPart, new: WorkPart) -> None:
        """Replace a part in all sums."""
        for sums in self._sums:
            sums.replace(old, new)


class LoadCollector:
    """
    Reports of the own failure domain, and sums of the others.

    A VM that holds a slot has one. It has something to tell while VMs without
    a slot exist, and once it has heard all VMs of its domain.
    """

    def __init__(self, vm: str, domain: str, clock: Clock) -> None:
        """
        Start without reports.

        :param vm: the VM that collects.
        """
        self._vm = vm
        self._domain = domain
        self._clock = clock
        self._domain_sums = WorkSums()
        self._fleet_sums = WorkSums()
        self._reports = _Entries(self._domain_sums, self._fleet_sums)
        self._others = _Entries(self._fleet_sums)
        self._others_expected: frozenset[str] = frozenset()
        self._needed_until = clock.now()
        self._complete_at: float | None = None
        self._too_large = False
        self._ranked_at = float('-inf')
        self._heaviest: list[str] = []

    @property
    def needed(self) -> bool:
        """Whether there is a VM without a slot."""
        return self._clock.now() < self._needed_until

    @property
    def report_count(self) -> int:
        """Number of VMs whose reports are held, this one included."""
        return len(self._reports.by_origin)

    @property
    def interval_s(self) -> float:
        """Time between two reports of each VM."""
        if self._too_large:
            return LONG_INTERVAL_S
        return report_interval_s(self.report_count)

    @property
    def _complete(self) -> bool:
        """Whether the VMs of the domain had time to report, if it has few."""
        return self._waited_s >= 0 and not self._too_large

    @property
    def _all_complete(self) -> bool:
        """Whether other domains had time to tell their sums as well."""
        missing = self._others_expected - self._others.by_origin.keys()
        waited = self._waited_s >= (OTHERS_WAIT_S if missing else 0)
        return waited and self._complete

    @property
    def _waited_s(self) -> float:
        """Time since the VMs of the domain had time to report."""
        if self._complete_at is None or not self.needed:
            return float('-inf')
        return self._clock.now() - self._complete_at

    @property
    def sums_interval_s(self) -> float:
        """Time between two calls of the collectors of other domains."""
        return LONG_INTERVAL_S if self._too_large else SUMS_INTERVAL_S

    def begin(
        self, others: Iterable[str], former_interval_s: float | None
    ) -> None:
        """
        Begin to collect: tell nothing before all VMs had time to report.

        :param others: the other failure domains.
        :param former_interval_s: interval that the former collector told, None
            if there was none until now.
        """
        self._others_expected = frozenset(others)
        if former_interval_s is None:
            self._warm_up(FIRST_WARM_UP_S)
        else:
            self._warm_up(former_interval_s + SUCCESSION_MARGIN_S)

    def has_report(self, vm: str) -> bool:
        """Return whether the report of a VM is held."""
        return vm in self._reports.by_origin

    def sums_due(self, domain: str) -> bool:
        """Return whether to call the collector of another domain."""
        if self._domain < domain:
            return True
        entry = self._others.by_origin.get(domain)
        heard_at = entry.received_at if entry else float('-inf')
        return self._clock.now() - heard_at >= LATE_SUMS_S

    def record_report(self, report: Report, *, without_slot: bool) -> None:
        """
        Take the report of a VM of the domain, or of this VM.

        :param without_slot: whether the VM holds no slot.
        """
        self._expire()
        now = self._clock.now()
        if report.vm != self._vm:
            self._note_message(without_slot=without_slot)
        if self.report_count >= MAX_REPORTS and not self.has_report(report.vm):
            return
        kept_s = INTERVALS_KEPT * self.interval_s
        former = self._reports.by_origin.get(report.vm)
        part = decode_part(report.work, former.part if former else NO_PART)
        self._reports.put(
            report.vm, _Entry(part, now, now, now + kept_s, int(without_slot))
        )

    def record_sums(self, sums: DomainSums) -> None:
        """Take what the collector of another failure domain tells."""
        self._expire()
        now = self._clock.now()
        self._note_message(without_slot=sums.vms_without_slot > 0)
        if sums.view is None or sums.domain == self._domain:
            return
        former = self._others.by_origin.get(sums.domain)
        if former is None and len(self._others.by_origin) >= MAX_DOMAINS:
            return
        former_part = former.part if former else NO_PART
        self._others.put(
            sums.domain,
            _Entry(
                decode_part(sums.view.work, former_part),
                now - sums.view.age_s,
                now,
                now + sums_kept_s(self.interval_s),
                sums.vms_without_slot,
            ),
        )

    def answer(self, vm: str, *, with_rates: bool = True) -> Answer:
        """
        Return the work of all VMs but one.

        :param with_rates: whether to name accounts.
        """
        self._expire()
        if not self._all_complete:
            return Answer(self.interval_s)
        own = self._reports.by_origin.get(vm)
        without = own.part if own else NO_PART
        accounts = self._rank_accounts(without) if with_rates else None
        work = self._fleet_sums.encode(accounts, without)
        return Answer(self.interval_s, WorkView(work, self._fleet_age_s()))

    def domain_sums(self, *, with_rates: bool = True) -> DomainSums:
        """
        Return the work of the domain's VMs.

        :param with_rates: whether to name accounts.
        """
        self._expire()
        vms_without_slot = sum(
            entry.vms_without_slot for entry in self._reports.by_origin.values()
        )
        if not self._complete:
            return DomainSums(self._domain, vms_without_slot)
        accounts = None
        if with_rates:
            accounts = self._domain_sums.heaviest(MAX_DOMAIN_ACCOUNTS)
        work = self._domain_sums.encode(accounts, NO_PART)
        view = WorkView(work, self._domain_age_s())
        return DomainSums(self._domain, vms_without_slot, view)

    def _note_message(self, *, without_slot: bool) -> None:
        """Begin to collect, or go on, on a message of another VM."""
        now = self._clock.now()
        if without_slot:
            self._needed_until = now + NEED_TTL_S
        if self._complete_at is None and self.needed:
            self._warm_up(FIRST_WARM_UP_S)

    def _warm_up(self, seconds: float) -> None:
        """Tell nothing for some seconds."""
        self._complete_at = self._clock.now() + seconds

    def _expire(self) -> None:
        """
        Drop what is too old.

        A VM that loses the reports of all others, as it was frozen or cut off,
        begins anew.
        """
        now = self._clock.now()
        lapsed = self._reports.expire(now)
        self._others.expire(now)
        alone = not set(self._reports.by_origin) - {self._vm}
        if lapsed and alone:
            self._complete_at = None
        if self.report_count > MAX_VMS:
            self._too_large = True
        elif self._too_large and self.report_count <= _VMS_SERVED_AGAIN:
            self._too_large = False
            self._warm_up(LONG_INTERVAL_S + SUCCESSION_MARGIN_S)

    def _domain_age_s(self) -> float:
        """
        Return the age of the domain's reports, on the mean.

        On the mean, since one VM that is slow or dead would else take the view
        from all others.
        """
        now = self._clock.now()
        entries = self._reports.by_origin.values()
        ages = [now - entry.taken_at for entry in entries]
        return sum(ages) / max(1, len(ages))

    def _fleet_age_s(self) -> float:
        """Return the age of the oldest domain's sums."""
        now = self._clock.now()
        ages = [
            now - entry.taken_at for entry in self._others.by_origin.values()
        ]
        return max(self._domain_age_s(), *ages, 0.0)

    def _rank_accounts(self, part: WorkPart) -> Iterable[str]:
        """Return the accounts of a part, and those with most use."""
        now = self._clock.now()
        if now - self._ranked_at >= RANKING_INTERVAL_S:
            self._heaviest = self._fleet_sums.heaviest(HEAVIEST_ACCOUNTS)
            self._ranked_at = now
        return dict.fromkeys((*part.rates, *self._heaviest))


__all__ = (
    'MAX_DOMAINS',
    'MAX_REPORTS_PER_S',
    'MAX_VMS',
    'SUMS_INTERVAL_S',
    'LoadCollector',
    'report_interval_s',
    'sums_kept_s',
)
