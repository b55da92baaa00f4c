"""
Planned stops under load.

Real processes on loopback: every VM's router and keeper get SIGTERM, one VM
after another, and are started again, while callers keep sending plans,
orders and lookups. A caller behaves as one behind the platform's balancer:
it sends to VMs whose router says that it is ready. What ran is counted from
the stand-ins.
"""

import collections
import dataclasses
import json
import random
import signal
import threading
import time
from typing import Any

import urllib3

from standins.deployment import (
    CallerClient,
    apply_sections,
    base_sections,
    is_complete_answer,
)
from standins.engine_types import EngineSettings
from standins.fleet import ProcessFleet, Targets, Vm, make_vms

CALLERS = 9
PLAN_TOKENS = 60
# A third of the run for each VM; a program that is slower is killed.
STOP_BOUND_S = 8.0
_KILLED = -9
_BALANCER_S = 0.5
_OK = 200


@dataclasses.dataclass(slots=True)
class Tally:
    """What callers saw; rows of refusals are run state and request."""

    answered: int = 0
    cut: list[str] = dataclasses.field(default_factory=list)
    refusals: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    codes: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )


class Balancer:
    """The platform's load balancer: knows which routers are ready."""

    def __init__(self, vms: list[Vm]) -> None:
        """Regard every VM as ready."""
        self._vms = vms
        self._ready = list(vms)
        self._pool = urllib3.PoolManager(retries=False, timeout=1)
        self.stopping = threading.Event()
        self._thread = threading.Thread(target=self._check, daemon=True)
        self._thread.start()

    def pick(self, chance: random.Random) -> Vm:
        """Return a VM for a new request."""
        return chance.choice(self._ready or self._vms)

    def _check(self) -> None:
        """Ask for readiness until stopped."""
        while not self.stopping.wait(_BALANCER_S):
            self._ready = [vm for vm in self._vms if self._is_ready(vm)]

    def _is_ready(self, vm: Vm) -> bool:
        """Return whether a VM's router says that it is ready."""
        url = f'http://{vm.router_admin}/readyz'
        try:
            return self._pool.request('GET', url).status == _OK
        except urllib3.exceptions.HTTPError:
            return False


class Caller:
    """Sends one request after another."""

    def __init__(self, number: int, seed: int, balancer: Balancer) -> None:
        """Send plans, orders or lookups, by the number."""
        self.tally = Tally()
        self._number = number
        self._chance = random.Random(f'{seed}-{number}')
        self._balancer = balancer
        self._client = CallerClient('bakers')
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def join(self) -> None:
        """Wait until the last request has ended."""
        self._thread.join(40)

    def _run(self) -> None:
        """Send requests until the balancer stops."""
        count = 0
        while not self._balancer.stopping.is_set():
            count += 1
            name = f'c{self._number}-{count}'
            url = self._balancer.pick(self._chance).url
            try:
                answer = self._send(url, name)
            except urllib3.exceptions.HTTPError as error:
                self.tally.cut.append(f'{name}: {error!r}')
            else:
                self._note(name, answer)
            time.sleep(self._chance.uniform(0.01, 0.1))

    def _send(self, url: str, name: str) -> urllib3.BaseHTTPResponse:
        """Return the answer of the next request."""
        kind = self._number % 3
        if kind == 0:
            tokens = self._chance.randint(PLAN_TOKENS, PLAN_TOKENS * 4)
            return self._client.chat(url, name, tokens)
        if kind == 1:
            return self._client.order(url, name, {'sacks': 1})
        return self._client.chat(url, name, PLAN_TOKENS // 6)

    def _note(self, name: str, answer: urllib3.BaseHTTPResponse) -> None:
        """Take an answer or a refusal into the tally."""
        if answer.status == _OK:
            self.tally.answered += 1
            tokens = answer.data.count(b'"content"')
            if self._number % 3 != 1 and not is_complete_answer(
                answer.data, tokens
            ):
                self.tally.cut.append(f'{name}: truncated')
            return
        error = json.loads(answer.data).get('error', {})
        named = answer.headers.get('X-Request-Id', '')
        request = name if self._number % 3 == 1 else named
        self.tally.refusals.append((error.get('run_state', ''), request))
        self.tally.codes[error.get('code', 0)] += 1


def run(seed: int) -> tuple[dict[str, Any], bool]:
    """Return the figures, and whether no request was cut or lied about."""
    targets = Targets()
    settings = EngineSettings(capacity=16, step_s=0.01)
    for name in ('engine-1', 'engine-2'):
        targets.add_engine(name, 'a', settings=settings)
    targets.add_service('orders-1', 'a')
    fleet = ProcessFleet(make_vms(['a'], 3))
    sections = base_sections(targets, {'bakers': 10_000_000})
    try:
        fleet.start()
        apply_sections(fleet.store.url, sections)
        return _measure(fleet, targets, seed)
    finally:
        fleet.stop()
        targets.stop()


def _measure(
    fleet: ProcessFleet,
    targets: Targets,
    seed: int,
) -> tuple[dict[str, Any], bool]:
    """Return the figures of a fleet that was started."""
    fleet.wait_ready()
    balancer = Balancer(fleet.vms)
    callers = [Caller(number, seed, balancer) for number in range(CALLERS)]
    time.sleep(1)
    stops = [_restart(fleet, vm) for vm in fleet.vms]
    balancer.stopping.set()
    for caller in callers:
        caller.join()
    tallies = [caller.tally for caller in callers]
    cut = [row for tally in tallies for row in tally.cut]
    untrue = sum(
        _is_untrue(targets, *row) for tally in tallies for row in tally.refusals
    )
    codes = sum((tally.codes for tally in tallies), collections.Counter())
    statuses = [status for _, status in stops]
    longest = max(seconds for seconds, _ in stops)
    result = {
        'requests': sum(tally.answered for tally in tallies),
        'in_flight_cut': len(cut),
        'cut': cut[:3],
        'refused': sum(codes.values()),
        'refused_by_code': dict(codes),
        'refused_untruly': untrue,
        'longest_stop_s': round(longest, 2),
        'exit_statuses': [one for pair in statuses for one in pair],
    }
    clean = all(pair == (0, 0) for pair in statuses)
    return result, clean and not cut and not untrue


def _restart(fleet: ProcessFleet, vm: Vm) -> tuple[float, tuple[int, int]]:
    """Return the seconds and the exit statuses of a VM's planned stop."""
    began = time.monotonic()
    programs = ('router', 'keeper')
    for program in programs:
        fleet.signal(vm, program, signal.SIGTERM)
    router, keeper = (_wait_end(fleet, vm, program) for program in programs)
    seconds = time.monotonic() - began
    fleet.start_keeper(vm)
    fleet.start_router(vm)
    fleet.wait_ready()
    return seconds, (router, keeper)


def _wait_end(fleet: ProcessFleet, vm: Vm, program: str) -> int:
    """Return the exit status; a program over the bound is killed."""
    process = fleet.processes[f'{vm.name}/{program}']
    deadline = time.monotonic() + STOP_BOUND_S
    while process.poll() is None and time.monotonic() < deadline:
        time.sleep(0.05)
    if process.poll() is None:
        process.kill()
        process.wait()
        return _KILLED
    return int(process.returncode)


def _is_untrue(targets: Targets, run_state: str, request: str) -> bool:
    """Return whether a refusal's run state contradicts the stand-ins."""
    given = any(
        record_id.partition('.r')[0] == request or record_id == request
        for engine in targets.engines.values()
        for record_id in engine.model.records
    ) or any(service.keys[request] for service in targets.services.values())
    if run_state == 'not_run':
        return given
    return run_state == 'run' and not given
