"""A fleet of VMs that reserve prepaid tokens, in virtual time."""

import asyncio
import contextlib
import dataclasses
import functools
import json
import operator
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, cast
from unittest import mock

from fuchsiafork.gateway.peers import Peers
from fuchsiafork.gateway.prepaid_tokens import PrepaidTokens
from fuchsiafork.gateway.token_draws import TokenDraws
from fuchsiafork.gateway.token_peers import TokenPeers
from fuchsiafork.kernel.errors import (
    BudgetExhaustedError,
    BudgetUnreachableError,
)
from fuchsiafork.platform.store import PlatformStore
from fuchsiafork.prepaid import (
    FleetTime,
    HolderSlots,
    Ledger,
    Occupant,
    Reservation,
    TokenAllocator,
)
from fuchsiafork.prepaid.holder_slots import SLOTS_PER_DOMAIN, Slot
from fuchsiafork.transport.caller import CallerConnection, CallerRequest
from fuchsiafork.transport.client_connection import BrokenAnswerError
from fuchsiafork.transport.json_call import JsonAnswer, JsonCall
from fuchsiafork.transport.pool import ConnectionPool
from standins.token_store import LedgerStore, StoreClient
from standins.virtual import VirtualClock

# One way between two VMs, seconds.
LEAST_TRAVEL_S = 0.0005
MOST_TRAVEL_S = 0.002
# Bandwidths of the holders' links, Mbit/s.
HOLDER_LINKS_MBPS = (10.0, 30.0, 100.0)
SETTLING_S = 0.1
# Time in which a killed process is started again.
RESTART_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """
    A request of a client account.

    :ivar at: time of its arrival, seconds.
    :ivar tokens: upper bound of its cost.
    :ivar cost: tokens that it uses.
    :ivar hold_s: seconds from its reservation to its settlement.
    :ivar limit_s: seconds until its deadline.
    """

    at: float
    account: str
    domain: str
    tokens: int
    cost: int
    hold_s: float
    limit_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """
    What became of a request.

    :ivar error: why it was refused, None if it was served.
    :ivar waited_s: seconds until its reservation or refusal.
    :ivar left: tokens of the account that were neither spent nor reserved by
        an open request when it was refused.
    :ivar held: part of these in grants of live VMs.
    """

    request: TokenRequest
    error: BudgetUnreachableError | BudgetExhaustedError | None
    waited_s: float
    left: int
    held: int

    @property
    def served(self) -> bool:
        """Whether its tokens were reserved."""
        return self.error is None

    @property
    def unreachable(self) -> bool:
        """Whether it was refused although the account could cover it."""
        return self.error is not None and self.left >= self.request.tokens


class _AnsweredCall:
    """Stands for the connection of a call between VMs."""

    def __init__(self) -> None:
        """Start without an answer."""
        self.status = 0
        self.body = b''

    def answer(self, status: int, headers: Any, body: bytes) -> None:
        """Keep the answer."""
        self.status, self.body = status, body


class TokenVm:
    """
    One VM and its process.

    :ivar calls: calls of other VMs that it answered, by path.
    :ivar silent: whether it answers no other VM.
    """

    def __init__(
        self, name: str, domain: str, fleet: 'TokenFleet', link_mbps: float
    ) -> None:
        """Start without a process."""
        self.name = name
        self.domain = domain
        self.address = f'{name}:1'
        self.silent = False
        self.calls: dict[str, int] = {}
        self._fleet = fleet
        self._link_mbps = link_mbps
        self._starts = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.open: dict[int, Reservation] = {}

    def start(self) -> None:
        """Start a process."""
        self._starts += 1
        fleet, clock, log = self._fleet, self._fleet.clock, mock.Mock()
        self.log = log
        self.allocator = TokenAllocator(
            f'{self.name}#{self._starts}', self.address, clock, FleetTime(clock)
        )
        self.slots = HolderSlots(self.name, self.domain)
        self.peers = Peers(cast(ConnectionPool, self), clock, log)
        token_peers = TokenPeers(self.allocator, self.peers, clock, log)
        rng = random.Random(fleet.rng.random())
        self.draws = TokenDraws(
            self.name, self.allocator, self.slots, token_peers, clock, rng, log
        )
        self.tokens = PrepaidTokens(
            self.allocator,
            token_peers,
            cast(PlatformStore, StoreClient(fleet.store, self._link_mbps)),
            clock,
            rng,
            log,
            self.draws,
        )
        token_peers.set_allot(self.tokens.allot)
        self.slots.replace(fleet.slots)
        self.allocator.holding = self.name in fleet.holders
        self.tokens.set_prepaid(dict(fleet.prepaid))
        self._tasks = [
            asyncio.create_task(self.tokens.run()),
            asyncio.create_task(self.draws.run()),
        ]

    def kill(self) -> None:
        """
        End the process.

        Its open requests count as spent in full.
        """
        for task in self._tasks:
            task.cancel()
        for reservation in self.open.values():
            self._fleet.spent[reservation.account] += reservation.tokens
        self.open.clear()

    async def serve(self, request: TokenRequest) -> None:
        """Serve a request, or refuse it."""
        fleet = self._fleet
        started_at = fleet.clock.now()
        error: BudgetUnreachableError | BudgetExhaustedError | None = None
        reservation = None
        try:
            reservation = await self.tokens.reserve(
                request.account, request.tokens, request.limit_s
            )
        except (BudgetUnreachableError, BudgetExhaustedError) as exc:
            error = exc
        waited_s = fleet.clock.now() - started_at
        left, held = fleet.left(request.account), fleet.held(request.account)
        fleet.outcomes.append(Outcome(request, error, waited_s, left, held))
        if reservation is None:
            return
        allocator = self.allocator
        self.open[id(reservation)] = reservation
        fleet.check(request.account)
        await asyncio.sleep(request.hold_s)
        if self.open.pop(id(reservation), None) is None:
            return
        fleet.spent[request.account] += request.cost
        allocator.settle(reservation, request.cost)

    async def answer(self, call: JsonCall) -> JsonAnswer:
        """Answer a call of another VM."""
        self.calls[call.path] = self.calls.get(call.path, 0) + 1
        request = CallerRequest(
            call.method, call.path, (), json.dumps(call.body).encode()
        )
        caller = _AnsweredCall()
        await self.peers.handle_request(request, cast(CallerConnection, caller))
        body = json.loads(caller.body) if caller.body else {}
        return JsonAnswer(caller.status, body)


class TokenFleet:
    """
    VMs with one ledger, some of which hold the grants.

    :ivar prepaid: budgets by account.
    :ivar spent: tokens used by requests that have ended, by account.
    :ivar outcomes: what became of each request.
    :ivar exposures: shares that were recorded, see `record_exposure`.
    """

    def __init__(
        self,
        seed: int,
        clock: VirtualClock,
        prepaid: dict[str, int],
        vms_by_domain: dict[str, int],
        call_s: float,
    ) -> None:
        """
        Create the VMs; the first ones of each domain hold the grants.

        :param call_s: seconds of one call of the store.
        """
        self.rng = random.Random(seed)
        self.clock = clock
        self.prepaid = prepaid
        self.spent = dict.fromkeys(prepaid, 0)
        self.outcomes: list[Outcome] = []
        self.exposures: list[float] = []
        self.store = LedgerStore(call_s)
        self.vms: dict[str, TokenVm] = {}
        self.slots: list[Slot] = []
        for domain, count in vms_by_domain.items():
            for number in range(count):
                self._add_vm(domain, number)
        self.holders = [
            slot.occupant.vm for slot in self.slots if slot.occupant
        ]

    async def play(
        self,
        requests: Sequence[TokenRequest],
        events: Sequence[tuple[float, Callable[[], None]]] = (),
    ) -> None:
        """
        Serve requests from a started fleet.

        :param events: functions and the times at which they are called.
        """
        steps: list[tuple[float, Callable[[], Any]]] = [
            (request.at, functools.partial(self._serve, request))
            for request in requests
        ]
        steps += events
        steps.sort(key=operator.itemgetter(0))
        with self.running():
            for vm in self.vms.values():
                vm.start()
            tasks = set()
            for at, action in steps:
                await asyncio.sleep(max(0.0, at - self.clock.now()))
                work = action()
                if work is not None:
                    tasks.add(asyncio.create_task(work))
            await asyncio.gather(*tasks)
            await asyncio.sleep(SETTLING_S)
            for vm in self.vms.values():
                vm.kill()

    @contextlib.contextmanager
    def running(self) -> Any:
        """Carry the calls between the VMs."""
        with mock.patch('fuchsiafork.gateway.peers.call_json', self._call):
            yield

    def left(self, account: str) -> int:
        """Return the tokens neither spent nor reserved by open requests."""
        reserved = sum(
            reservation.tokens
            for vm in self.vms.values()
            for reservation in vm.open.values()
            if reservation.account == account
        )
        return self.prepaid[account] - self.spent[account] - reserved

    def held(self, account: str) -> int:
        """Return the unused tokens in the grants of live processes."""
        return sum(
            vm.allocator.summary(account).held for vm in self.vms.values()
        )

    def record_exposure(self) -> None:
        """
        Record what would be withheld if a holder were killed now.

        That is what it may spend until its next start but has not spent, of
        all accounts, as a share of what is left; the mean of all holders.
        """
        ledger = self.store.ledger()
        left = sum(self.left(account) for account in self.prepaid)
        withheld = sum(self._withheld(ledger, name) for name in ledger.holders)
        self.exposures.append(withheld / max(1, len(ledger.holders)) / left)

    def _withheld(self, ledger: Ledger, holder: str) -> int:
        """Return what a holder may spend and has not, of all accounts."""
        allocator = self.vms[holder.partition('#')[0]].allocator
        written_at = ledger.holders[holder].written_at.since_boot
        elapsed_s = self.clock.now() - written_at + RESTART_S
        withheld = 0
        for account, entry in ledger.accounts.items():
            share = entry.share(holder)
            spent = max(0, share.grant - allocator.summary(account).held)
            withheld += max(0, share.spendable(elapsed_s) - spent)
        return withheld

    def check(self, account: str) -> None:
        """
        Check that an account is not overspent.

        :raises AssertionError: if it is.
        """
        if self.left(account) < 0:
            raise AssertionError(f'{account} is overspent')

    def leave_store(self) -> None:
        """Let the store answer nobody."""
        self.store.away = True

    def return_store(self) -> None:
        """Let the store answer again; the watches of all VMs notice it."""
        self.store.away = False
        for vm in self.vms.values():
            vm.tokens.notify_store_answered()

    def _add_vm(self, domain: str, number: int) -> None:
        """Create a VM, with a slot if one is left."""
        name = f'{domain}-{number}'
        link_mbps = HOLDER_LINKS_MBPS[number % len(HOLDER_LINKS_MBPS)]
        self.vms[name] = TokenVm(name, domain, self, link_mbps)
        if number < SLOTS_PER_DOMAIN:
            occupant = Occupant(name, self.vms[name].address)
            self.slots.append(Slot(domain, number, 1, occupant))

    def _serve(self, request: TokenRequest) -> Coroutine[Any, Any, None]:
        """Serve a request on a VM of its domain."""
        candidates = [
            vm for vm in self.vms.values() if vm.domain == request.domain
        ]
        return self.rng.choice(candidates).serve(request)

    async def _call(
        self, pool: Any, address: str, call: JsonCall, timeout_s: float
    ) -> JsonAnswer:
        """
        Carry a call to another VM.

        :raises BrokenAnswerError: if no answer arrives in time.
        """
        vm = self.vms[address.partition(':')[0]]
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(vm, call)
        except TimeoutError as error:
            raise BrokenAnswerError(repr(error)) from None

    async def _exchange(self, vm: TokenVm, call: JsonCall) -> JsonAnswer:
        """Return a VM's answer to a call."""
        await self._travel()
        if vm.silent:
            await asyncio.Event().wait()
        answer = await vm.answer(call)
        await self._travel()
        return answer

    async def _travel(self) -> None:
        """Wait while a message travels."""
        await asyncio.sleep(self.rng.uniform(LEAST_TRAVEL_S, MOST_TRAVEL_S))


__all__ = ('Outcome', 'TokenFleet', 'TokenRequest', 'TokenVm')
