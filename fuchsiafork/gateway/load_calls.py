"""Calls by which VMs exchange their load."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

from fuchsiafork.balancing.exchange_plan import (
    SILENCE_S,
    RatesTiming,
    SilentVms,
)
from fuchsiafork.balancing.load_messages import (
    Answer,
    DomainSums,
    Report,
    Work,
    WorkView,
    decode_answer,
    decode_sums,
    encode_report,
    encode_sums,
)
from fuchsiafork.gateway.peers import (
    OK_STATUS,
    CallLimits,
    Peers,
    PeerSilentError,
)
from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.decoding import DECODE_ERRORS

REPORTS_PATH = '/loads'
SUMS_PATH = '/loads/domain'
CALL_TIMEOUT_S = 0.3
# Time for which a VM of an older release isn't asked: it doesn't know the call.
UNKNOWN_CALL_S = 5.0

_NOT_FOUND = 404
# Other calls go on to a VM whose answer to this one is late.
_LIMITS = CallLimits(CALL_TIMEOUT_S, 0, CALL_TIMEOUT_S)

_Message = TypeVar('_Message')


class LoadCalls:
    """Makes calls to VMs that have answered the last one."""

    def __init__(
        self,
        peers: Peers,
        clock: Clock,
        count: Callable[[str], None],
        log: Any,
    ) -> None:
        """
        Start without silent VMs.

        :param count: called with the outcome of each call.
        """
        self._peers = peers
        self._silent = SilentVms(clock)
        self._rates_timing = RatesTiming(clock)
        self._count = count
        self._log = log

    def reachable(self, addresses: Sequence[str]) -> list[str]:
        """Return the addresses of VMs that may be called now."""
        return self._silent.others(addresses)

    async def report(self, address: str, report: Report) -> Answer | None:
        """Return the answer of a VM to a report, None without one."""
        with_rates = self._rates_timing.is_due(address)
        if not with_rates:
            work = _without_rates(report.work)
            report = dataclasses.replace(report, work=work)
        body = encode_report(report)
        answer = await self._call(address, REPORTS_PATH, body, decode_answer)
        if answer is not None:
            self._record_answer(address, answer.view, with_rates=with_rates)
        return answer

    async def exchange(
        self, address: str, sums: DomainSums
    ) -> DomainSums | None:
        """Return the sums of another VM's domain, None without an answer."""
        with_rates = self._rates_timing.is_due(address)
        if sums.view is not None and not with_rates:
            work = _without_rates(sums.view.work)
            view = dataclasses.replace(sums.view, work=work)
            sums = dataclasses.replace(sums, view=view)
        body = encode_sums(sums)
        answer = await self._call(address, SUMS_PATH, body, decode_sums)
        if answer is not None:
            self._record_answer(address, answer.view, with_rates=with_rates)
        return answer

    def _record_answer(
        self, address: str, view: WorkView | None, *, with_rates: bool
    ) -> None:
        """
        Count an answer, and remember when accounts were told.

        A VM that has no view yet may be one that doesn't keep reports.
        """
        self._count('unknown' if view is None else 'answered')
        if view is None:
            self._rates_timing.forget(address)
        elif with_rates:
            self._rates_timing.record(address)

    async def _call(
        self,
        address: str,
        path: str,
        body: Any,
        decode: Callable[[Any], _Message],
    ) -> _Message | None:
        """Return the decoded answer to a call, None without one."""
        try:
            answer = await self._peers.call(address, path, body, _LIMITS)
        except PeerSilentError:
            self._record_failure(address, 'silent', SILENCE_S)
            return None
        if answer.status != OK_STATUS:
            older = answer.status == _NOT_FOUND
            silence_s = UNKNOWN_CALL_S if older else SILENCE_S
            self._record_failure(address, 'refused', silence_s)
            return None
        try:
            return decode(answer.body)
        except DECODE_ERRORS as error:
            self._log.warning(
                'loads_unreadable', peer=address, reason=repr(error)
            )
            self._record_failure(address, 'unreadable', UNKNOWN_CALL_S)
            return None

    def _record_failure(
        self, address: str, outcome: str, seconds: float
    ) -> None:
        """Count a call that failed, and don't call the VM for a while."""
        self._count(outcome)
        self._silent.record(address, seconds)
        self._rates_timing.forget(address)


def _without_rates(work: Work) -> Work:
    """Return work without the use of accounts."""
    return dataclasses.replace(work, rates=None)


__all__ = ('CALL_TIMEOUT_S', 'REPORTS_PATH', 'SUMS_PATH', 'LoadCalls')
