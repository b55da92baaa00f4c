"""Failure domains with keepers, routers, targets and callers."""

import collections
import functools
import itertools
import random
from typing import Any

from fuchsiafork import messages
from fuchsiafork.keeper import KeeperNode
from fuchsiafork.kernel import (
    Context,
    EventRing,
    HybridClock,
    Identity,
    Outbox,
    StrictInvariants,
)
from fuchsiafork.kernel.outbox import StoreAnswer, StoreOperation
from fuchsiafork.membership import MembershipSystem
from fuchsiafork.outcomes import OutcomeSystem
from fuchsiafork.router.request_ids import incarnation_of
from measurements.outcomes_callers import Caller, Operation, make_operation
from measurements.outcomes_fakes import FakeDispatch, FakeHolder, Ledger
from measurements.outcomes_router import Serve, VirtualRouter, carry
from measurements.outcomes_targets import StandInTarget, TargetFaults
from standins.store_model import StoreModel
from standins.virtual import (
    Faults,
    Scheduler,
    VirtualClock,
    VirtualNetwork,
    apply_operation,
    store_failure,
)

DOMAINS = ('a', 'b', 'c')
VMS_PER_DOMAIN = 3
_TICK_S = 0.1
_CLOSE_S = 1.0
_HURRIED_SHARE = 0.05


class LateStoreNetwork(VirtualNetwork):
    """
    A network on which a write can take effect after it was given up.

    :ivar late_share: share of the operations that this happens to.
    """

    late_share: float = 0

    def _schedule_operation(self, node: str, operation: StoreOperation) -> None:
        """Schedule a store operation, its answer, or a late effect."""
        if self.late_share and self._rng.random() < self.late_share:
            answer = store_failure(operation, unknown=True)
            self.scheduler.call_later(
                self._rng.uniform(0.01, 0.5),
                functools.partial(self._deliver_answer, node, answer),
            )
            self.scheduler.call_later(
                self._rng.uniform(0.5, 5),
                functools.partial(self._apply_late, operation),
            )
        else:
            super()._schedule_operation(node, operation)

    def _apply_late(self, operation: StoreOperation) -> None:
        """Let an operation take effect without an answer."""
        apply_operation(operation, self.store)


class Keeper:
    """A keeper's node as an endpoint that also takes routers' links."""

    def __init__(self, context: Context, node: KeeperNode) -> None:
        """Wrap a node."""
        self.context = context
        self.node = node
        self.outbox: Outbox = node.outbox

    def receive(self, message: Any, sender: str, destination: str) -> None:
        """Take a message that arrived."""
        carry(self.node, message, sender, destination)

    def answer(self, message: StoreAnswer) -> None:
        """Take the answer of a store operation."""
        self.node.answer(message)

    def tick(self) -> None:
        """Do what is due by the clock."""
        self.node.tick()


class World:
    """Everything that takes part in one run, in virtual time."""

    def __init__(
        self,
        seed: int,
        serve: Serve,
        *,
        faults: TargetFaults | None = None,
        keyed: bool = True,
    ) -> None:
        """Start all processes with full views of each other."""
        self.chance = random.Random(seed)
        self.clock = VirtualClock()
        self.scheduler = Scheduler(self.clock)
        self.store = StoreModel(self.clock.now)
        self.faults = Faults()
        self.network = LateStoreNetwork(
            self.scheduler,
            self.store,
            self.chance,
            self.faults,
        )
        self.ledger = Ledger()
        self.slots: dict[str, str] = {}
        self.keepers: dict[str, Keeper] = {}
        self.routers: dict[str, VirtualRouter] = {}
        self.operations: list[Operation] = []
        self.faults_made: collections.Counter[str] = collections.Counter()
        self.targets = _make_targets(self.chance, faults or TargetFaults())
        self._serve = serve
        self._keyed = keyed
        self._starts = itertools.count(1)
        vms = [
            (f'{domain}{number}', domain)
            for domain in DOMAINS
            for number in range(VMS_PER_DOMAIN)
        ]
        for vm, domain in vms:
            self.start_keeper(vm, domain)
        for vm, domain in vms:
            self.start_router(vm, domain)
        self.close_lost()

    def start_keeper(self, vm: str, domain: str) -> None:
        """Start a keeper that knows all others, and they it."""
        identity = self._identity(vm, 'keeper', domain)
        context = Context(
            identity=identity,
            clock=self.clock,
            random=self.chance,
            outbox=Outbox(),
            events=EventRing(HybridClock(identity.node, self.clock)),
            invariants=StrictInvariants(),
        )
        membership = MembershipSystem(context, '')
        node = KeeperNode(
            context,
            membership,
            (
                ('outcomes', OutcomeSystem(context, membership)),
                ('budgets', FakeHolder(context, self.ledger)),
                ('dispatch', FakeDispatch(context, self.targets, self.slots)),
            ),
        )
        keeper = Keeper(context, node)
        for other in self.keepers.values():
            _introduce(keeper, other)
            _introduce(other, keeper)
        self.keepers[identity.node] = keeper
        self._connect(identity, keeper)
        for router in self.routers.values():
            if not router.keeper and router.identity.domain == domain:
                self._attach(router)

    def start_router(self, vm: str, domain: str) -> None:
        """Start a router that is linked to a keeper."""
        identity = self._identity(vm, 'router', domain)
        router = VirtualRouter(
            identity,
            self.network,
            self.targets,
            self.chance,
            self._serve,
        )
        self.routers[identity.node] = router
        self._connect(identity, router)
        self._attach(router)

    def kill_router(self, node: str, restart_s: float) -> None:
        """Kill a router and start it again later."""
        router = self.routers.pop(node, None)
        if router is None:
            return
        self.network.kill(node)
        self._detach(node)
        router.kill()
        start = functools.partial(
            self.start_router,
            router.identity.vm,
            router.identity.domain,
        )
        self.scheduler.call_later(restart_s, start)

    def kill_keeper(self, node: str, restart_s: float) -> None:
        """Kill a keeper, move its routers, and start it again later."""
        keeper = self.keepers.pop(node, None)
        if keeper is None:
            return
        self.network.kill(node)
        for router in self.routers.values():
            if router.keeper == node:
                self._attach(router)
        identity = keeper.context.identity
        self.scheduler.call_later(
            restart_s,
            functools.partial(self.start_keeper, identity.vm, identity.domain),
        )

    def pause(self, node: str, seconds: float) -> None:
        """Stop a process for a while."""
        self.network.pause(node)
        self.scheduler.call_later(
            seconds,
            functools.partial(self.network.resume, node),
        )

    def call(self, number: int) -> None:
        """Start a caller with the next operation."""
        domain = self.chance.choice(DOMAINS)
        operation = make_operation(number, self.chance, domain)
        self.operations.append(operation)
        self._start_caller(operation)
        if operation.key and self.chance.random() < _HURRIED_SHARE:
            # An impatient caller asks again before the first answer.
            self.scheduler.call_later(
                self.chance.uniform(0, 3),
                functools.partial(self._start_caller, operation),
            )

    def close_lost(self) -> None:
        """Let the holders settle what no router holds, again and again."""
        routers = {router.start: router for router in self.routers.values()}
        self.ledger.close_lost(routers, self.targets)
        # The owner of a slot asks its router in the same way.
        for slot_id in tuple(self.slots):
            router = routers.get(incarnation_of(slot_id))
            if router and not router.holds(slot_id, messages.SlotReleased):
                self.slots.pop(slot_id)
                self.ledger.taken_back += 1
        self.scheduler.call_later(_CLOSE_S, self.close_lost)

    def _start_caller(self, operation: Operation) -> None:
        """Start a caller that drives an operation."""
        Caller(
            operation,
            self.scheduler,
            self._pick_router,
            self.chance,
            keyed=self._keyed,
        )

    def _pick_router(self, domain: str) -> VirtualRouter | None:
        """Return a live router, mostly of the caller's own domain."""
        routers = list(self.routers.values())
        near = [
            router for router in routers if router.identity.domain == domain
        ]
        if near and self.chance.random() < 0.8:
            routers = near
        return self.chance.choice(routers) if routers else None

    def _identity(self, vm: str, process: str, domain: str) -> Identity:
        """Return the identity of a new start of a process."""
        return Identity(f'{vm}/{process}', domain, vm, f'i{next(self._starts)}')

    def _connect(self, identity: Identity, endpoint: Any) -> None:
        """Put a process on the network."""
        self.network.add(identity.node, identity.domain, endpoint)
        self.network.tick_every(identity.node, _TICK_S)

    def _attach(self, router: VirtualRouter) -> None:
        """Link a router to its own VM's keeper, or another near one."""
        node = router.identity.node
        self._detach(node)
        near = [
            name
            for name, keeper in self.keepers.items()
            if keeper.context.identity.domain == router.identity.domain
        ]
        own = f'{router.identity.vm}/keeper'
        router.keeper = own if own in near else next(iter(near), '')
        if router.keeper:
            keeper = self.keepers[router.keeper]
            keeper.node.membership.local_routers.add(node)

    def _detach(self, router: str) -> None:
        """Close a router's link."""
        for keeper in self.keepers.values():
            keeper.node.membership.local_routers.discard(router)


def _introduce(keeper: Keeper, other: Keeper) -> None:
    """Tell a keeper about another one."""
    identity = other.context.identity
    keeper.node.membership.handle(
        messages.Heartbeat(
            node=identity.node,
            domain=identity.domain,
            incarnation=identity.incarnation,
            revision=0,
            leaving=False,
            verdicts=0,
            routers=tuple(sorted(other.node.membership.local_routers)),
            address='',
            stamp=0,
        ),
        identity.node,
    )


def _make_targets(
    chance: random.Random,
    faults: TargetFaults,
) -> dict[str, StandInTarget]:
    """Return three engines and three services in each failure domain."""
    names = itertools.product(('engine', 'service'), DOMAINS, range(3))
    targets = {}
    for kind, domain, number in names:
        name = f'{kind}-{domain}-{number}'
        targets[name] = StandInTarget(name, domain, chance, faults)
    return targets
