"""Messages by which VMs exchange outstanding work and the use of accounts."""

import dataclasses
from collections.abc import Mapping
from typing import Annotated, Any, NamedTuple

import pydantic

from fuchsiafork.balancing.account_use import MAX_REPORTED_ACCOUNTS
from fuchsiafork.balancing.costs import TargetLoad
from fuchsiafork.balancing.load_codec import (
    LOADS_PATTERN,
    MAX_LOADS_CHARS,
    encode_loads,
)

# Least and greatest time between two reports of a VM that has a view.
MIN_INTERVAL_S = 0.5
# With a longer one an answer would be too old before the next one comes: sums
# of another domain are 1.9 s old by then.
MAX_INTERVAL_S = 1.0
# Accounts of the fleet that an answer names beside those of the report.
HEAVIEST_ACCOUNTS = 8
MAX_ANSWERED_ACCOUNTS = MAX_REPORTED_ACCOUNTS + HEAVIEST_ACCOUNTS
# Accounts that the sums of a failure domain name, those with most use.
MAX_DOMAIN_ACCOUNTS = 64
# Longest name of an account or a VM.
MAX_NAME_CHARS = 256
_MAX_UNITS = 10**15
_MAX_VMS = 100_000
# Significant digits of units a second.
_UNIT_DIGITS = 2
# Longest age and interval that are believed, seconds.
_MAX_AGE_S = 3600.0
_INTERVAL_BOUNDS_S = (0.1, 10.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """
    The work of one VM or of several.

    :ivar loads: outstanding work of targets, see ``load_codec``.
    :ivar rates: use by client account, units a second; None if it is left
        out, as it changes slowly.
    :ivar demand: use of all accounts, units a second.
    """

    loads: str = ''
    rates: Mapping[str, int] | None = None
    demand: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkView:
    """
    The work of other VMs, as one VM knows it.

    :ivar age_s: age of the oldest part of it, seconds.
    """

    work: Work
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The work of one VM."""

    vm: str
    work: Work


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """
    What a collector answers to a report.

    :ivar interval_s: seconds until the next report.
    :ivar view: work of the other VMs, None if the VM doesn't know it.
    """

    interval_s: float
    view: WorkView | None = None

    @property
    def too_large(self) -> bool:
        """Whether there is no view since the domain has too many VMs."""
        return self.view is None and self.interval_s > MAX_INTERVAL_S


@dataclasses.dataclass(frozen=True, slots=True)
class DomainSums:
    """
    What a collector tells the collectors of other failure domains.

    :ivar vms_without_slot: VMs without a slot that report to it.
    :ivar view: work of the domain's VMs, None if the VM doesn't know it.
    """

    domain: str
    vms_without_slot: int
    view: WorkView | None = None


_Name = Annotated[str, pydantic.Field(min_length=1, max_length=MAX_NAME_CHARS)]
_Loads = Annotated[
    str, pydantic.Field(max_length=MAX_LOADS_CHARS, pattern=LOADS_PATTERN)
]
_Units = Annotated[int, pydantic.Field(ge=0, le=_MAX_UNITS, strict=True)]
_Count = Annotated[int, pydantic.Field(ge=0, le=_MAX_VMS, strict=True)]
_Age = Annotated[float, pydantic.Field(ge=0, le=_MAX_AGE_S, strict=True)]
_ReportRates = Annotated[
    dict[_Name, _Units], pydantic.Field(max_length=MAX_REPORTED_ACCOUNTS)
]
_AnswerRates = Annotated[
    dict[_Name, _Units], pydantic.Field(max_length=MAX_ANSWERED_ACCOUNTS)
]
_DomainRates = Annotated[
    dict[_Name, _Units], pydantic.Field(max_length=MAX_DOMAIN_ACCOUNTS)
]
_Interval = Annotated[
    float,
    pydantic.Field(
        ge=_INTERVAL_BOUNDS_S[0], le=_INTERVAL_BOUNDS_S[1], strict=True
    ),
]


class _ReportRecord(NamedTuple):
    """A report as it is sent."""

    vm: _Name
    loads: _Loads
    rates: _ReportRates | None
    demand: _Units


class _AnswerRecord(NamedTuple):
    """An answer as it is sent."""

    interval_s: _Interval
    age_s: _Age | None
    loads: _Loads
    rates: _AnswerRates | None
    demand: _Units


class _SumsRecord(NamedTuple):
    """The sums of a failure domain as they are sent."""

    domain: _Name
    vms_without_slot: _Count
    age_s: _Age | None
    loads: _Loads
    rates: _DomainRates | None
    demand: _Units


_REPORT = pydantic.TypeAdapter(_ReportRecord)
_ANSWER = pydantic.TypeAdapter(_AnswerRecord)
_SUMS = pydantic.TypeAdapter(_SumsRecord)


def make_report(
    vm: str,
    loads: Mapping[str, TargetLoad],
    rates: Mapping[str, float],
    demand: float,
) -> Report:
    """
    Return a report with rounded numbers.

    :param loads: outstanding work by lifetime of the target.
    :param rates: use by client account, units a second.
    :param demand: use of all accounts.
    """
    rounded = {
        account: _round_units(rate)
        for account, rate in rates.items()
        if len(account) <= MAX_NAME_CHARS
    }
    return Report(vm, Work(encode_loads(loads), rounded, _round_units(demand)))


def encode_report(report: Report) -> list[Any]:
    """Return a report in the form in which it is sent."""
    return [report.vm, *_encode_work(report.work)]


def decode_report(content: Any) -> Report:
    """
    Return the report of another VM.

    :raises ValueError: if it is malformed.
    """
    record = _REPORT.validate_python(content)
    return Report(record.vm, Work(record.loads, record.rates, record.demand))


def encode_answer(answer: Answer) -> list[Any]:
    """Return an answer in the form in which it is sent."""
    return [round(answer.interval_s, 2), *_encode_view(answer.view)]


def decode_answer(content: Any) -> Answer:
    """
    Return the answer of another VM.

    :raises ValueError: if it is malformed.
    """
    record = _ANSWER.validate_python(content)
    return Answer(record.interval_s, _decode_view(record))


def encode_sums(sums: DomainSums) -> list[Any]:
    """Return the sums of a domain in the form in which they are sent."""
    return [sums.domain, sums.vms_without_slot, *_encode_view(sums.view)]


def decode_sums(content: Any) -> DomainSums:
    """
    Return the sums of another failure domain.

    :raises ValueError: if they are malformed.
    """
    record = _SUMS.validate_python(content)
    return DomainSums(
        record.domain, record.vms_without_slot, _decode_view(record)
    )


def _round_units(units: float) -> int:
    """Return units a second with the digits that are exchanged."""
    return int(float(f'{units:.{_UNIT_DIGITS}g}'))


def _encode_work(work: Work) -> list[Any]:
    """Return the fields of work."""
    rates = None if work.rates is None else dict(work.rates)
    return [work.loads, rates, work.demand]


def _encode_view(view: WorkView | None) -> list[Any]:
    """Return the fields of what a VM knows of others, or doesn't know."""
    if view is None:
        return [None, *_encode_work(Work())]
    return [round(view.age_s, 2), *_encode_work(view.work)]


def _decode_view(record: _AnswerRecord | _SumsRecord) -> WorkView | None:
    """Return what a VM knows of others, None if it doesn't know them."""
    if record.age_s is None:
        return None
    work = Work(record.loads, record.rates, record.demand)
    return WorkView(work, record.age_s)


__all__ = (
    'HEAVIEST_ACCOUNTS',
    'MAX_ANSWERED_ACCOUNTS',
    'MAX_DOMAIN_ACCOUNTS',
    'MAX_INTERVAL_S',
    'MAX_NAME_CHARS',
    'MIN_INTERVAL_S',
    'Answer',
    'DomainSums',
    'Report',
    'Work',
    'WorkView',
    'decode_answer',
    'decode_report',
    'decode_sums',
    'encode_answer',
    'encode_report',
    'encode_sums',
    'make_report',
)
