"""VMs that exchange their load in virtual time, without a network."""

import collections
import dataclasses
import heapq
import itertools
import json
import random
from typing import Any

from fuchsiafork.balancing import AccountUse, LoadView, WorkCost
from fuchsiafork.balancing.load_messages import encode_report
from fuchsiafork.balancing.load_view import OutstandingWork
from fuchsiafork.gateway.fleet_view import FleetView
from fuchsiafork.gateway.load_calls import (
    CALL_TIMEOUT_S,
    SUMS_PATH,
    LoadCalls,
)
from fuchsiafork.gateway.load_exchange import (
    JITTER,
    SUMS_WAIT_S,
    LoadExchange,
    VmPlace,
)
from fuchsiafork.gateway.peers import (
    DEFAULT_LIMITS,
    CallLimits,
    Peers,
    PeerSilentError,
)
from fuchsiafork.gateway.targets import Target, TargetTable
from fuchsiafork.observability.logs import get_logger
from fuchsiafork.prepaid.holder_slots import (
    SLOTS_PER_DOMAIN,
    HolderSlots,
    Occupant,
    Slot,
)
from fuchsiafork.transport.json_call import JsonAnswer
from fuchsiafork.transport.pool import ConnectionPool
from standins.virtual import VirtualClock

_OK = 200
_NOT_FOUND = 404


@dataclasses.dataclass(frozen=True, slots=True)
class VirtualCall:
    """A call that was answered, and the sizes of its bodies."""

    at: float
    caller: str
    callee: str
    path: str
    sent_bytes: int
    received_bytes: int


class VirtualPeers(Peers):
    """The calls of one VM, which reach handlers of others at once."""

    def __init__(self, vm: str, fleet: 'LoadFleet') -> None:
        """Call the VMs of a fleet."""
        clock = fleet.clock
        super().__init__(ConnectionPool(clock), clock, get_logger('virtual'))
        self._vm = vm
        self._fleet = fleet

    async def call(
        self,
        address: str,
        path: str,
        body: Any,
        limits: CallLimits = DEFAULT_LIMITS,
    ) -> JsonAnswer:
        """Call another VM."""
        return await self._fleet.deliver(self._vm, address, path, body)

    async def answer(self, path: str, body: Any) -> JsonAnswer:
        """Answer a call of another VM."""
        handler = self._handlers.get(path)
        if handler is None:
            return JsonAnswer(_NOT_FOUND, {})
        content = json.dumps(body)
        answer = json.dumps(await handler(json.loads(content)))
        return JsonAnswer(_OK, json.loads(answer), len(content), len(answer))


class VirtualVm:
    """One VM with its own work."""

    def __init__(self, vm: str, domain: str, fleet: 'LoadFleet') -> None:
        """Start without work."""
        self.vm = vm
        self.domain = domain
        self.slots = HolderSlots(vm, domain)
        self.load_view = LoadView(fleet.clock)
        self.account_use = AccountUse(fleet.clock)
        self.peers = VirtualPeers(vm, fleet)
        self.works: list[OutstandingWork] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        log = get_logger('virtual')
        self.fleet_view = FleetView(
            self.load_view,
            self.account_use,
            fleet.targets,
            fleet.clock,
            log,
        )
        self.exchange = LoadExchange(
            VmPlace(vm, domain),
            self.slots,
            self.peers,
            LoadCalls(self.peers, fleet.clock, self._count, log),
            self.fleet_view,
            fleet.clock,
            fleet.rng,
        )

    def begin(self, lifetime: str, cost: WorkCost) -> OutstandingWork:
        """Send a request to a target."""
        work = self.load_view.begin(lifetime, cost)
        self.works.append(work)
        return work

    def report_body(self) -> list[Any]:
        """Return the body of a report of this VM."""
        return encode_report(self.fleet_view.report(self.vm))

    def _count(self, outcome: str) -> None:
        """Count the outcome of a call."""
        self.outcomes[outcome] += 1


class LoadFleet:
    """
    VMs in failure domains, three of each with a slot, and targets.

    Steps of the VMs and calls take no time, apart from calls that fail.

    :ivar calls: calls that were answered.
    :ivar dead: VMs that don't answer and do nothing.
    :ivar frozen: VMs that do so until they go on where they stood.
    :ivar slow: VMs whose answers come too late.
    :ivar cut: pairs of VMs or of failure domains that can't reach each other.
    """

    def __init__(
        self, domains: dict[str, int], target_count: int, seed: int = 1
    ) -> None:
        """
        Start all VMs.

        :param domains: number of VMs by failure domain.
        """
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.targets = TargetTable()
        self.vms: dict[str, VirtualVm] = {}
        self.calls: list[VirtualCall] = []
        self.dead: set[str] = set()
        self.frozen: set[str] = set()
        self.slow: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self._waited_s: dict[str, float] = {}
        self._due: list[tuple[float, int, VirtualVm]] = []
        self._order = itertools.count()
        self._slots: dict[tuple[str, int], Slot] = {}
        for number in range(target_count):
            target = Target(f'e-{number}', 'engine', '', 'a', '1', slots=8)
            self.targets.upsert(target, 0)
        for domain, count in domains.items():
            self._add_domain(domain, count)

    @property
    def lifetimes(self) -> list[str]:
        """Lifetimes of all targets."""
        return [state.target.lifetime for state in self.targets.states()]

    @property
    def live(self) -> list[VirtualVm]:
        """The VMs that run."""
        stopped = self.dead | self.frozen
        return [vm for name, vm in self.vms.items() if name not in stopped]

    @property
    def requests(self) -> int:
        """Requests of all live VMs at all targets."""
        return sum(
            load.requests
            for vm in self.live
            for load in vm.load_view.own_loads().values()
        )

    def requests_seen(self, vm: VirtualVm) -> int:
        """Return the requests of all VMs, as far as one knows."""
        loads = (vm.load_view.load(lifetime) for lifetime in self.lifetimes)
        return sum(load.requests for load in loads)

    def holders(self, domain: str) -> list[str]:
        """Return the VMs of a domain that hold slots, the collector first."""
        vm = next(iter(self.vms.values()))
        return [holder.vm for holder in vm.slots.holders('loads')[domain]]

    def add_vm(self, name: str, domain: str) -> VirtualVm:
        """Start a VM, or one in place of a former VM of this name."""
        vm = VirtualVm(name, domain, self)
        self.vms[name] = vm
        self.dead.discard(name)
        for slot in self._slots.values():
            vm.slots.update(slot)
        self._schedule(vm, self.rng.uniform(0, 0.5))
        return vm

    def set_slot(self, domain: str, number: int, name: str) -> None:
        """Let a VM occupy a slot; all VMs know it at once."""
        slot = Slot(domain, number, next(self._order), Occupant(name, name))
        self._slots[domain, number] = slot
        for vm in self.vms.values():
            vm.slots.update(slot)

    def slot_of(self, name: str) -> int:
        """Return the number of the slot that a VM occupies."""
        return next(
            slot.number
            for slot in self._slots.values()
            if slot.occupant and slot.occupant.vm == name
        )

    def load_evenly(self, requests: int, cost: WorkCost) -> None:
        """Let each VM send requests to random targets."""
        for vm in self.vms.values():
            for lifetime in self.rng.choices(self.lifetimes, k=requests):
                vm.begin(lifetime, cost)

    def renew(self, vm: VirtualVm) -> None:
        """End a quarter of a VM's requests, and let it send as many others."""
        cost = WorkCost(self.rng.randrange(9000), self.rng.randrange(400))
        ended = vm.works[: len(vm.works) // 4]
        for work in ended:
            work.end()
        vm.works = vm.works[len(ended) :]
        for lifetime in self.rng.choices(self.lifetimes, k=len(ended)):
            vm.begin(lifetime, cost)

    async def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        ends_at = self.clock.now() + seconds
        while self._due and self._due[0][0] <= ends_at:
            due_at, _, vm = heapq.heappop(self._due)
            self.clock.advance_to(due_at)
            await self._step(vm)
        self.clock.advance_to(ends_at)

    async def deliver(
        self, caller: str, callee: str, path: str, body: Any
    ) -> JsonAnswer:
        """
        Return the answer of a VM to another one's call.

        :raises PeerSilentError: if it can't be reached, or is too slow.
        """
        reached = not self._separated(caller, callee)
        vm = self.vms.get(callee)
        if vm is None or not reached or callee in self.dead | self.frozen:
            raise self._wait(caller, path)
        answer = await vm.peers.answer(path, body)
        if callee in self.slow:
            raise self._wait(caller, path)
        if answer.status == _OK:
            self.calls.append(
                VirtualCall(
                    self.clock.now(),
                    caller,
                    callee,
                    path,
                    answer.sent_bytes,
                    answer.received_bytes,
                )
            )
        return answer

    def _add_domain(self, domain: str, count: int) -> None:
        """Start the VMs of a domain, of which the first ones hold slots."""
        names = [f'{domain}-{number}' for number in range(count)]
        for number, name in enumerate(names[:SLOTS_PER_DOMAIN]):
            self.set_slot(domain, number, name)
        for name in names:
            self.add_vm(name, domain)

    def _separated(self, caller: str, callee: str) -> bool:
        """Return whether two VMs can't reach each other."""
        domains = {name: name.partition('-')[0] for name in (caller, callee)}
        pairs = (
            frozenset((caller, callee)),
            frozenset(domains.values()),
            frozenset((caller,)),
            frozenset((callee,)),
        )
        return any(pair in self.cut for pair in pairs)

    def _wait(self, caller: str, path: str) -> PeerSilentError:
        """Let a VM wait for an answer; sums are waited for briefly."""
        before_s = self._waited_s.get(caller, 0.0)
        self._waited_s[caller] = (
            max(before_s, SUMS_WAIT_S)
            if path == SUMS_PATH
            else before_s + CALL_TIMEOUT_S
        )
        return PeerSilentError('silent', sent=True)

    async def _step(self, vm: VirtualVm) -> None:
        """Let a VM make its calls unless it was stopped or replaced."""
        if vm.vm in self.dead or self.vms[vm.vm] is not vm:
            return
        if vm.vm in self.frozen:
            self._schedule(vm, CALL_TIMEOUT_S)
            return
        delay_s = await vm.exchange.step() * self.rng.uniform(*JITTER)
        self._schedule(vm, delay_s + self._waited_s.pop(vm.vm, 0))

    def _schedule(self, vm: VirtualVm, delay_s: float) -> None:
        """Let a VM make its next calls after some seconds."""
        due_at = self.clock.now() + delay_s
        heapq.heappush(self._due, (due_at, next(self._order), vm))
