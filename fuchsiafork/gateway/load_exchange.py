"""Exchanges the load of targets and the use of accounts between VMs."""

import asyncio
import dataclasses
import enum
import random
from collections.abc import Sequence
from typing import Any

from fuchsiafork.balancing.collector import LoadCollector
from fuchsiafork.balancing.exchange_plan import (
    MAX_ASKED,
    RANKING_KEY,
    ExchangePlan,
    Participation,
    make_plan,
)
from fuchsiafork.balancing.load_messages import (
    MIN_INTERVAL_S,
    Answer,
    DomainSums,
    Report,
    decode_report,
    decode_sums,
    encode_answer,
    encode_sums,
)
from fuchsiafork.gateway.fleet_view import FleetView
from fuchsiafork.gateway.load_calls import REPORTS_PATH, SUMS_PATH, LoadCalls
from fuchsiafork.gateway.peers import Peers
from fuchsiafork.kernel import Clock
from fuchsiafork.prepaid import HolderSlots

# Time for which a VM that told its view is asked without a slot: a collector
# that stops gives up its slot first.
TELLER_KEPT_S = 3.0
# Time for which a collector waits for the sums of other domains. Later answers
# count in its next step: a domain that is cut off must not delay the others.
SUMS_WAIT_S = 0.05
# Intervals are varied, so that reports don't arrive at the same time.
JITTER = (0.9, 1.0)
# Factor above which an interval counts as grown.
_GROWN = 1.1


@dataclasses.dataclass(frozen=True, slots=True)
class VmPlace:
    """A VM and its failure domain."""

    vm: str
    domain: str


class _Round(enum.Enum):
    """How far a round of reports came: no answer, one without a view, one."""

    SILENT = enum.auto()
    HEARD = enum.auto()
    TOLD = enum.auto()


class LoadExchange:
    """
    Reports to the collector of the failure domain, or is the collector.

    A VM without a slot reports. A VM with a slot takes part once another VM
    calls it, so that no call is made where every VM holds a slot.
    """

    def __init__(
        self,
        place: VmPlace,
        slots: HolderSlots,
        peers: Peers,
        calls: LoadCalls,
        view: FleetView,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """
        Answer the calls of other VMs.

        :param slots: names the VMs that hold slots.
        """
        self._place = place
        self._slots = slots
        self._calls = calls
        self._view = view
        self._clock = clock
        self._rng = rng
        self._collector = LoadCollector(place.vm, place.domain, clock)
        self._participation = Participation(clock)
        self._plan = make_plan(place.vm, place.domain, {})
        self._leads = False
        # Calls of other collectors, by address.
        self._exchanges: dict[str, asyncio.Task[None]] = {}
        self._interval_s = MIN_INTERVAL_S
        self._delay_s = MIN_INTERVAL_S
        # The VM that told its view last, and when.
        self._told_by = ''
        self._told_at = float('-inf')
        peers.register(REPORTS_PATH, self._handle_report)
        peers.register(SUMS_PATH, self._handle_sums)

    @property
    def report_count(self) -> int:
        """Number of VMs whose reports this VM holds as the collector."""
        collects = self._leads and self._collector.needed
        return self._collector.report_count if collects else 0

    @property
    def _takes_part(self) -> bool:
        """Whether this VM reports or collects."""
        role = self._participation
        return role.without_slot or role.invited or self._collector.needed

    async def run(self) -> None:
        """Take part until cancelled."""
        try:
            while True:
                delay_s = await self.step()
                await asyncio.sleep(delay_s * self._rng.uniform(*JITTER))
        finally:
            for exchange in self._exchanges.values():
                exchange.cancel()
            self._exchanges.clear()

    async def step(self) -> float:
        """Make the calls that are due; return the seconds until the next."""
        holders = self._slots.holders(RANKING_KEY)
        plan = make_plan(self._place.vm, self._place.domain, holders)
        self._plan = plan
        self._participation.update(
            holds_slot=plan.holds_slot,
            has_vacancy=bool(self._slots.vacant_slots),
        )
        delay_s = MIN_INTERVAL_S
        if self._takes_part:
            delay_s = await self._take_part(plan)
        else:
            self._leads = False
        self._view.check()
        return delay_s

    async def _take_part(self, plan: ExchangePlan) -> float:
        """
        Report, or collect if no other VM tells its view.

        A collector that loses its slot goes on until another one has heard all
        VMs.
        """
        report = self._view.report(self._place.vm)
        reached = await self._report(self._asked(plan), report)
        if reached is _Round.SILENT:
            reached = await self._report(plan.far, report)
        if reached is _Round.TOLD:
            self._leads = False
            if plan.holds_slot:
                self._participation.record_invitation()
            return self._delay_s
        if not self._leads and not plan.holds_slot:
            return self._delay_s
        self._lead(plan)
        if not await self._collect(plan, report):
            # The one that collected before goes on meanwhile.
            followers = [holder.address for holder in plan.followers]
            await self._report([*followers, *self._last_teller()], report)
        return self._collector.sums_interval_s

    def _lead(self, plan: ExchangePlan) -> None:
        """Begin to collect unless this VM does so already."""
        if not self._leads:
            succeeds = bool(self._last_teller())
            former_interval_s = self._interval_s if succeeds else None
            self._collector.begin(plan.partners, former_interval_s)
        self._leads = True

    def _asked(self, plan: ExchangePlan) -> list[str]:
        """Return the VMs to report to, one after the other."""
        tellers = () if plan.holds_slot else self._last_teller()
        return list(dict.fromkeys((*plan.near, *tellers)))

    def _last_teller(self) -> list[str]:
        """Return the VM that told its view last, unless that was long ago."""
        since_s = self._clock.now() - self._told_at
        return [self._told_by] if since_s < TELLER_KEPT_S else []

    async def _collect(self, plan: ExchangePlan, report: Report) -> bool:
        """
        Exchange sums with other domains, and tell this VM the view.

        :return: whether there is one.
        """
        if not self._collector.needed:
            return False
        self._collector.record_report(report, without_slot=False)
        await self._exchange_sums(plan)
        view = self._collector.answer(self._place.vm).view
        if view is not None:
            self._view.apply(view, 0, self._place.vm)
        return view is not None

    async def _report(self, addresses: Sequence[str], report: Report) -> _Round:
        """Report to one VM after the other until one tells its view."""
        reached = _Round.SILENT
        self._delay_s = MIN_INTERVAL_S
        for address in self._calls.reachable(addresses)[:MAX_ASKED]:
            started_at = self._clock.now()
            answer = await self._calls.report(address, report)
            if answer is None:
                continue
            reached = _Round.HEARD
            self._delay_s = max(self._delay_s, answer.interval_s)
            if answer.view is not None:
                transfer_s = self._clock.now() - started_at
                self._view.apply(answer.view, transfer_s, address)
            if answer.view is not None or answer.too_large:
                self._set_interval(answer.interval_s)
                self._told_by = address
                self._told_at = self._clock.now()
                return _Round.TOLD
        return reached

    def _set_interval(self, interval_s: float) -> None:
        """
        Set the time until the next report, and between later ones.

        VMs that start together report at about the same time. When their
        interval grows, the next report of each is spread over all of it.
        """
        grown = interval_s > _GROWN * self._interval_s
        self._interval_s = interval_s
        self._delay_s = interval_s
        if grown:
            self._delay_s *= self._rng.uniform(0, 1)

    async def _exchange_sums(self, plan: ExchangePlan) -> None:
        """Call the collectors of other domains, and holders of this one."""
        sums = self._collector.domain_sums()
        asked = []
        for domain, ranked in plan.partners.items():
            if self._collector.sums_due(domain):
                asked += self._calls.reachable(ranked)[:1]
        invited = [
            holder.address
            for holder in plan.followers
            if not self._collector.has_report(holder.vm)
        ]
        asked += self._calls.reachable(invited)
        for address in asked:
            if address not in self._exchanges:
                self._exchanges[address] = asyncio.create_task(
                    self._exchange(address, sums)
                )
        if self._exchanges:
            await asyncio.wait(self._exchanges.values(), timeout=SUMS_WAIT_S)
        self._end_exchanges()

    def _end_exchanges(self) -> None:
        """Forget the calls that have ended; raise the error of one, if any."""
        for address, exchange in tuple(self._exchanges.items()):
            if exchange.done():
                self._exchanges.pop(address)
                exchange.result()

    async def _exchange(self, address: str, sums: DomainSums) -> None:
        """Tell one VM the sums of this domain, and take its own."""
        answer = await self._calls.exchange(address, sums)
        if answer is not None:
            self._collector.record_sums(answer)

    async def _handle_report(self, content: Any) -> Any:
        """Take a report; answer with the work of the other VMs."""
        report = decode_report(content)
        collects = self._plan.holds_slot or self._leads
        if not collects or report.vm == self._place.vm:
            return encode_answer(Answer(MIN_INTERVAL_S))
        self._collector.record_report(
            report, without_slot=report.vm not in self._plan.holders
        )
        if not self._leads:
            return encode_answer(Answer(self._collector.interval_s))
        with_rates = report.work.rates is not None
        answer = self._collector.answer(report.vm, with_rates=with_rates)
        return encode_answer(answer)

    async def _handle_sums(self, content: Any) -> Any:
        """Take the sums of another domain; answer with those of this one."""
        sums = decode_sums(content)
        if sums.domain == self._place.domain:
            self._participation.record_invitation()
        else:
            self._collector.record_sums(sums)
        if not self._leads:
            return encode_sums(DomainSums(self._place.domain, 0))
        with_rates = sums.view is None or sums.view.work.rates is not None
        return encode_sums(self._collector.domain_sums(with_rates=with_rates))


__all__ = ('JITTER', 'SUMS_WAIT_S', 'LoadExchange', 'VmPlace')
