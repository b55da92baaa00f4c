"""
Calls, bytes, ages and processor time of the exchange of load.

Fleets exchange in virtual time, where calls and bytes are counted. Processor
time is taken from calls over loopback between two threads, with the reports
and sums of those fleets, and set against a call without content.
"""

import asyncio
import dataclasses
import functools
import math
import statistics
import threading
import time
from collections.abc import Callable, Coroutine
from typing import Any

from fuchsiafork.balancing import WorkCost
from fuchsiafork.balancing.load_view import MAX_FLEET_AGE_S
from fuchsiafork.gateway.load_calls import REPORTS_PATH, SUMS_PATH
from fuchsiafork.gateway.peers import CLOCK_PATH, Peers
from fuchsiafork.kernel import SystemClock
from fuchsiafork.observability.logs import configure_logs
from fuchsiafork.transport.caller import (
    CallerConnection,
    CallerLimits,
    CallerServer,
)
from fuchsiafork.transport.json_call import JsonAnswer, JsonCall, call_json
from fuchsiafork.transport.pool import ConnectionPool
from standins.load_fleet import LoadFleet, VirtualVm

SETTLE_S = 5.0
WATCH_S = 4.0
SAMPLE_S = 0.1
# Heads of a call and its answer, as h11 writes them.
HEAD_BYTES = 150
TIMED_STEPS = 200
TIMEOUT_S = 5.0
MAX_BYTES_PER_S = 18_000
MAX_BYTES_PER_S_AT_79 = 4_000
MAX_CORE_PERCENT = 1.3
COST = WorkCost(prompt_tokens=6_000, output_tokens=300)

Serve = Callable[[Any, CallerConnection], Coroutine[Any, Any, None]]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSize:
    """
    Size of a fleet.

    :ivar requests: requests in flight on each VM.
    :ivar accounts: client accounts, each VM serves 32 at most.
    """

    vms: int
    domains: str
    targets: int
    requests: int
    accounts: int


SIZES = (
    FleetSize(8, 'abc', 12, 5, 24),
    FleetSize(79, 'abc', 48, 5, 24),
    FleetSize(195, 'abcdef', 325, 121, 22_000),
    FleetSize(360, 'abcdef', 600, 121, 41_000),
    FleetSize(1000, 'abcdef', 1_667, 121, 110_000),
)


@dataclasses.dataclass(frozen=True, slots=True)
class CallTime:
    """Processor time of a call, seconds."""

    caller_s: float
    callee_s: float


class LoopbackServer:
    """Serves one VM's calls in a thread of its own."""

    def __init__(self, serve: Serve) -> None:
        """Listen on a free port."""
        self.address = ''
        self.thread_s = 0.0
        self._serve = serve
        self._ready = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._ready.wait()

    def stop(self) -> None:
        """Stop, and keep the processor time of the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self) -> None:
        """Serve until the loop is stopped."""
        self._loop.run_until_complete(self._listen())
        started_s = time.thread_time()
        self._ready.set()
        self._loop.run_forever()
        self.thread_s = time.thread_time() - started_s

    async def _listen(self) -> None:
        """Listen on a free port."""
        server = CallerServer(
            self._serve, _refuse, lambda: CallerLimits(body_bytes=4_194_304)
        )
        listener = await self._loop.create_server(
            functools.partial(CallerConnection, server), '127.0.0.1', 0
        )
        port = listener.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'


def _refuse(status: int, reason: str, caller: CallerConnection) -> None:
    """Refuse a call that can't be read."""
    caller.answer(status, [], reason.encode())


class LoopbackFleet(LoadFleet):
    """
    A fleet whose calls go over loopback once there is a server.

    :ivar address: address that stands for every VM, empty for virtual calls.
    """

    address = ''
    pool = ConnectionPool(SystemClock())

    async def deliver(
        self, caller: str, callee: str, path: str, body: Any
    ) -> JsonAnswer:
        """Return the answer to a call."""
        if not self.address:
            return await super().deliver(caller, callee, path, body)
        call = JsonCall('POST', path, body)
        return await call_json(self.pool, self.address, call, TIMEOUT_S)

    async def time_steps(self, vm: VirtualVm, answering: VirtualVm) -> float:
        """Return the processor time of the calls that a VM makes at a time."""
        reporters = [
            other
            for other in self.vms.values()
            if other.domain == answering.domain
        ]
        total_s = 0.0
        for _ in range(TIMED_STEPS):
            self.renew(vm)
            for other in self.rng.sample(reporters, len(reporters) // 4):
                self.renew(other)
                body = other.report_body()
                await answering.peers.answer(REPORTS_PATH, body)
            started_s = time.thread_time()
            await vm.exchange.step()
            total_s += time.thread_time() - started_s
        return total_s / TIMED_STEPS


def _make_fleet(size: FleetSize, seed: int) -> LoopbackFleet:
    """Return a fleet with its load."""
    count = len(size.domains)
    domains = {
        domain: size.vms // count + (place < size.vms % count)
        for place, domain in enumerate(size.domains)
    }
    fleet = LoopbackFleet(domains, size.targets, seed)
    fleet.load_evenly(size.requests, COST)
    accounts = [f'account-{number}' for number in range(size.accounts)]
    for vm in fleet.vms.values():
        for account in fleet.rng.sample(accounts, min(24, size.accounts)):
            vm.account_use.record(account, 40_000)
    return fleet


async def _watch(size: FleetSize, fleet: LoadFleet) -> dict[str, Any]:
    """Return calls, bytes and ages of a fleet."""
    await fleet.run(SETTLE_S)
    fleet.calls.clear()
    ages = []
    for _ in range(round(WATCH_S / SAMPLE_S)):
        await fleet.run(SAMPLE_S)
        ages += [vm.load_view.fleet_age_s for vm in fleet.vms.values()]
    if not fleet.calls:
        return {'vms': size.vms, 'calls_per_s': 0}
    collector = fleet.holders('a')[0]
    reporter = f'a-{size.vms // len(size.domains) - 1}'
    return {
        'vms': size.vms,
        'domains': len(size.domains),
        'targets': size.targets,
        'calls_per_s': round(_count(fleet) / WATCH_S),
        'reports_of_a_vm_per_s': _count(fleet, caller=reporter) / WATCH_S,
        'mean_bytes_per_s': round(2 * _bytes(fleet) / WATCH_S / size.vms),
        'bytes_of_a_vm_per_s': round(_bytes(fleet, reporter) / WATCH_S),
        'collector_answers_per_s': round(
            _count(fleet, callee=collector) / WATCH_S
        ),
        'collector_calls_per_s': round(
            _count(fleet, caller=collector) / WATCH_S
        ),
        'collector_bytes_per_s': round(_bytes(fleet, collector) / WATCH_S),
        'mean_age_s': _round_age(statistics.fmean(ages)),
        'greatest_age_s': _round_age(max(ages)),
    }


def _round_age(age_s: float) -> float | None:
    """Return an age, None if a VM has no view."""
    return round(age_s, 2) if math.isfinite(age_s) else None


def _count(
    fleet: LoadFleet, caller: str = '', callee: str = '', path: str = ''
) -> int:
    """Return the number of calls, of one caller, callee or path if given."""
    return sum(
        caller in {'', call.caller}
        and callee in {'', call.callee}
        and path in {'', call.path}
        for call in fleet.calls
    )


def _bytes(fleet: LoadFleet, vm: str = '') -> int:
    """Return the bytes of all calls, or those that one VM takes part in."""
    return sum(
        call.sent_bytes + call.received_bytes + HEAD_BYTES
        for call in fleet.calls
        if vm in {'', call.caller, call.callee}
    )


def _time_steps(
    fleet: LoopbackFleet, vm: VirtualVm, answering: VirtualVm, calls: int
) -> CallTime:
    """
    Return the processor time of a VM's step and of each call it makes.

    :param calls: calls of one step.
    """
    server = LoopbackServer(answering.peers.handle_request)
    fleet.pool = ConnectionPool(SystemClock())
    fleet.address = server.address
    caller_s = asyncio.run(fleet.time_steps(vm, answering))
    fleet.address = ''
    server.stop()
    return CallTime(caller_s, server.thread_s / TIMED_STEPS / calls)


def _time_empty_call() -> CallTime:
    """Return the processor time of a call without content."""
    peers = Peers(ConnectionPool(SystemClock()), SystemClock(), None)
    server = LoopbackServer(peers.handle_request)

    async def make_calls() -> float:
        pool = ConnectionPool(SystemClock())
        started_s = time.thread_time()
        for _ in range(TIMED_STEPS):
            await call_json(
                pool, server.address, JsonCall('GET', CLOCK_PATH), TIMEOUT_S
            )
        return time.thread_time() - started_s

    caller_s = asyncio.run(make_calls())
    server.stop()
    return CallTime(caller_s / TIMED_STEPS, server.thread_s / TIMED_STEPS)


def _time(size: FleetSize, fleet: LoopbackFleet) -> dict[str, float]:
    """Return the shares of a core that the exchange takes."""
    collector = fleet.vms[fleet.holders('a')[0]]
    other = fleet.vms[fleet.holders('b')[0]]
    reporter = fleet.vms[f'a-{size.vms // len(size.domains) - 1}']
    partners = len(size.domains) - 1
    reports = _count(fleet, path=REPORTS_PATH) / WATCH_S
    sums = _count(fleet, path=SUMS_PATH) / WATCH_S
    answered = _count(fleet, callee=collector.vm) / WATCH_S
    steps = _count(fleet, caller=collector.vm) / WATCH_S / partners
    report = _time_steps(fleet, reporter, collector, 1)
    step = _time_steps(fleet, collector, other, partners)
    all_s = reports * (report.caller_s + report.callee_s)
    all_s += sums * (step.caller_s / partners + step.callee_s)
    return {
        'report_caller_us': round(1e6 * report.caller_s),
        'report_callee_us': round(1e6 * report.callee_s),
        'step_us': round(1e6 * step.caller_s),
        'sums_callee_us': round(1e6 * step.callee_s),
        'mean_core_percent': round(100 * all_s / size.vms, 2),
        'collector_core_percent': round(
            100 * (answered * report.callee_s + steps * step.caller_s), 1
        ),
    }


def _measure(size: FleetSize, seed: int) -> dict[str, Any]:
    """Return the figures of one fleet."""
    fleet = _make_fleet(size, seed)
    result = asyncio.run(_watch(size, fleet))
    if fleet.calls:
        result.update(_time(size, fleet))
    return result


def _holds(figures: dict[str, Any]) -> bool:
    """Return whether the figures of a fleet are in the bounds."""
    if not figures['calls_per_s']:
        return True
    bytes_allowed = MAX_BYTES_PER_S
    if figures['vms'] <= 79:
        bytes_allowed = MAX_BYTES_PER_S_AT_79
    return (
        figures['mean_bytes_per_s'] <= bytes_allowed
        and figures['mean_core_percent'] <= MAX_CORE_PERCENT
        and (figures['greatest_age_s'] or 0) < MAX_FLEET_AGE_S
    )


def run(seed: int) -> tuple[dict[str, Any], bool]:
    """Return the figures of all sizes, and whether they are in the bounds."""
    configure_logs('critical')
    empty = _time_empty_call()
    fleets = [_measure(size, seed) for size in SIZES]
    result = {
        'empty_call_caller_us': round(1e6 * empty.caller_s),
        'empty_call_callee_us': round(1e6 * empty.callee_s),
        'fleets': fleets,
    }
    return result, all(map(_holds, fleets))
