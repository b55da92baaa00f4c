"""Messages, bytes and key-value calls of pure keepers in virtual time."""

import dataclasses
import itertools
import random
from collections.abc import Iterator
from typing import Any

from fuchsiafork import messages
from fuchsiafork.budgets import ReservationTracker
from fuchsiafork.keeper.composition import Systems, make_systems
from fuchsiafork.keeper.node import KeeperNode
from fuchsiafork.kernel import Outbox
from fuchsiafork.membership import KEY_OWNER
from measurements.capacity_fit import Point, Series
from measurements.capacity_nodes import (
    TICK_S,
    CountingNetwork,
    make_context,
)
from measurements.capacity_state import budget_document
from standins.store_model import StoreModel
from standins.virtual import Scheduler, VirtualClock

DOMAINS = tuple(f'delta-{letter}' for letter in 'abcdef')
_WARM_S = 6.0
_RUN_S = 5.0
_TOKENS = 300
# Enough for each of the 16 ledger records to hold some.
_IDLE_BUDGETS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Routed:
    """A router's message for a home, on the link to its keeper."""

    message: Any


class KeeperPoint:
    """A keeper on the virtual network."""

    def __init__(self, node: KeeperNode) -> None:
        """Pass everything to a node."""
        self.node = node
        self.outbox = node.outbox

    def receive(self, message: Any, sender: str, destination: str) -> None:
        """Take a message."""
        self.node.receive(message, sender, destination)

    def answer(self, message: Any) -> None:
        """Take a store answer."""
        self.node.answer(message)

    def tick(self) -> None:
        """Run the systems."""
        self.node.tick()


class RouterPoint:
    """A router that reserves, and settles a second later."""

    def __init__(self, fleet: 'VirtualFleet', vm: str, domain: str) -> None:
        """Start without requests."""
        context = make_context(vm, domain, fleet.clock)
        self.outbox = Outbox()
        self.reservation_tracker = ReservationTracker(
            dataclasses.replace(context, outbox=self.outbox),
        )
        self.name = f'{vm}/router'
        self.vm = vm
        self.served = 0
        self._fleet = fleet

    def call(self, number: int, budget: str) -> None:
        """Reserve for a request through the keeper of this VM."""
        reserve = messages.Reserve(
            request_id=f'{self.vm}.router.1a2b3c4d-{number}',
            budget=budget,
            account=budget,
            tokens=2 * _TOKENS,
            deadline_s=120,
            exclude_vm=self.vm,
        )
        self._fleet.ask(self, reserve)

    def receive(self, message: Any, sender: str, destination: str) -> None:
        """Take an answer."""
        if not isinstance(message, messages.Reserved):
            self.reservation_tracker.handle(message, sender)
            return
        now = self._fleet.clock.now()
        if self.reservation_tracker.accept_reservation(
            message, message.budget, now
        ):
            self.reservation_tracker.start(message.request_id, 'engine-1')
            self.served += 1
            self._fleet.scheduler.call_later(
                1,
                lambda: self._settle(message.request_id),
            )

    def answer(self, message: Any) -> None:
        """Routers call no store."""

    def tick(self) -> None:
        """Repeat settlements."""
        self.reservation_tracker.tick()

    def _settle(self, request_id: str) -> None:
        """End a request."""
        self.reservation_tracker.settle(request_id, _TOKENS)
        self._fleet.flush(self)


class VirtualFleet:
    """Whole keepers of six failure domains, and a router for each."""

    def __init__(self, per_domain: int, budgets: int, seed: int) -> None:
        """Start all keepers with links to each other."""
        self.clock = VirtualClock()
        self.scheduler = Scheduler(self.clock)
        self.chance = random.Random(seed)
        self.network = CountingNetwork(
            self.scheduler,
            StoreModel(self.clock.now),
            self.chance,
        )
        self.network.reset()
        self.keepers: dict[str, Systems] = {}
        self.routers: list[RouterPoint] = []
        for domain, number in itertools.product(DOMAINS, range(per_domain)):
            self._start(f'{domain}-{number:03}', domain, budgets)
        for one, other in itertools.permutations(self.keepers.values(), 2):
            own = one.context.identity
            other.membership.add_member(
                messages.RosterRow(
                    own.node,
                    own.domain,
                    own.incarnation,
                    '10.20.30.40:7000',
                ),
            )
        self.scheduler.run_until(_WARM_S)
        self.network.reset()

    def ask(self, router: RouterPoint, message: Any) -> None:
        """Hand a router's message to the keeper of its VM."""
        node = f'{router.vm}/keeper'
        self.network.endpoints[node].receive(message, router.name, KEY_OWNER)
        self.network.flush(node)

    def flush(self, router: RouterPoint) -> None:
        """Send what a router has queued through the keeper of its VM."""
        sends, _ = router.outbox.drain()
        for send in sends:
            self.ask(router, send.message)

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.scheduler.run_until(self.clock.now() + seconds)

    def load(self, rate: float, accounts: int, seconds: float) -> None:
        """Have random routers ask for random accounts at a rate."""
        for number in range(int(rate * seconds)):
            router = self.chance.choice(self.routers)
            budget = f'account-{self.chance.randrange(accounts):06}'
            self.scheduler.call_later(
                self.chance.uniform(0, seconds),
                lambda router=router, number=number, budget=budget: (  # type: ignore[misc]
                    router.call(number, budget)
                ),
            )

    def _start(self, vm: str, domain: str, budgets: int) -> None:
        """Start the keeper and the router of a VM."""
        context = make_context(vm, domain, self.clock)
        systems = make_systems(context, '10.20.30.40:7000')
        node = KeeperNode(context, systems.membership, systems.named_systems())
        name = context.identity.node
        systems.membership.local_routers = {f'{vm}/router'}
        systems.membership.local_admins = {'10.20.30.40:7001'}
        systems.configure(budget_document(budgets))
        self.keepers[name] = systems
        self.network.add(name, domain, KeeperPoint(node))
        self.network.tick_every(name, TICK_S)
        router = RouterPoint(self, vm, domain)
        self.network.add(router.name, domain, router)
        self.routers.append(router)


def link_series(seed: int) -> Iterator[Series]:
    """Yield the series of idle and of loaded fleets."""
    idle = [_idle(size, seed) for size in (2, 4, 6)]
    names = (
        ('idle_messages', 'messages/s and heartbeat peer'),
        ('idle_bytes', 'bytes/s and heartbeat peer'),
        ('idle_reads', 'reads/s and keeper'),
    )
    for place, (name, unit) in enumerate(names):
        yield Series(name, unit, tuple(row[place] for row in idle))
    loaded = [_loaded(size, seed) for size in (6, 18, 54)]
    load_names = (
        ('load_swaps', 'swaps/s and account'),
        ('load_swap_bytes', 'bytes/swap and account'),
        ('load_reads', 'reads/s and account'),
    )
    for place, (name, unit) in enumerate(load_names):
        yield Series(name, unit, tuple(row[place] for row in loaded))
    hot = [_hot(rate, seed) for rate in (5, 20, 60)]
    yield Series('hot_swaps', 'swaps/request', tuple(row[0] for row in hot))
    yield Series('hot_reads', 'reads/request', tuple(row[1] for row in hot))


def _idle(per_domain: int, seed: int) -> tuple[Point, ...]:
    """Return figures a second: of each keeper by peers, reads in all."""
    fleet = VirtualFleet(per_domain, _IDLE_BUDGETS, seed)
    fleet.run(_RUN_S)
    count = len(fleet.keepers)
    # Heartbeats go to the domain and to two keepers of each other one.
    peers = per_domain - 1 + 2 * (len(DOMAINS) - 1)
    network = fleet.network
    share = count * _RUN_S
    reads = network.operations['ReadKey ledger']
    return (
        (peers, network.frames.total() / share),
        (peers, network.frame_bytes.total() / share),
        (count, reads / _RUN_S),
    )


def _loaded(accounts: int, seed: int) -> tuple[Point, ...]:
    """Return swaps a second, bytes a swap and reads a second."""
    fleet = VirtualFleet(2, accounts, seed)
    fleet.load(accounts, accounts, _RUN_S)
    fleet.run(_RUN_S)
    operations = fleet.network.operations
    swaps = operations['CompareAndSwap ledger']
    return (
        (accounts, swaps / _RUN_S),
        (accounts, fleet.network.value_bytes / max(1, swaps)),
        (accounts, operations['ReadKey ledger'] / _RUN_S),
    )


def _hot(rate: int, seed: int) -> tuple[Point, Point]:
    """Return swaps and reads a second of one account used everywhere."""
    fleet = VirtualFleet(2, 1, seed)
    fleet.load(rate, 1, _RUN_S)
    fleet.run(_RUN_S)
    operations = fleet.network.operations
    return (
        (rate, operations['CompareAndSwap ledger'] / _RUN_S),
        (rate, operations['ReadKey ledger'] / _RUN_S),
    )
