"""A fleet in virtual time that moves several routes to new versions."""

import abc
import collections
import dataclasses
import datetime as dt
import functools
import random
from typing import Any

from fuchsiafork.configuration import (
    Document,
    Kind,
    Pool,
    Rollout,
    Version,
)
from fuchsiafork.configuration import Route as RouteSection
from fuchsiafork.dispatch import VersionPolicy
from fuchsiafork.kernel import (
    Context,
    EventRing,
    HybridClock,
    Identity,
    Outbox,
    StrictInvariants,
    rank,
)
from fuchsiafork.messages import Observation
from fuchsiafork.rollouts import RolloutSystem
from measurements.rollouts_targets import Route, Targets, Trouble
from standins.store_model import StoreModel
from standins.virtual import Scheduler, VirtualClock, VirtualNetwork

_TICK_S = 0.5
_GATEWAYS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """
    What happens in one fleet.

    :ivar cut: domain, start and end of a partition, if there is one.
    """

    domains: tuple[str, ...]
    vms: int
    routes: list[Route]
    troubles: list[Trouble]
    cut: tuple[str, float, float] | None
    seed: int

    @property
    def end(self) -> float:
        """Time at which the last route has been watched long enough."""
        return max(route.end for route in self.routes)


class NetworkPeers:
    """Peers of a node, as far as the virtual network reaches them."""

    def __init__(
        self,
        node: str,
        places: dict[str, str],
        network: VirtualNetwork,
    ) -> None:
        """Keep the peers of a node; ``places`` maps nodes to domains."""
        own = places[node]
        self._own = own
        self._places = places
        self._network = network
        self._near = [
            other
            for other, domain in places.items()
            if domain == own and other != node
        ]
        self._far = [
            other
            for domain in sorted(set(places.values()) - {own})
            for other in rank(
                node,
                [name for name, place in places.items() if place == domain],
            )[:_GATEWAYS]
        ]

    def same_domain(self) -> list[str]:
        """Return the other keepers of the domain."""
        return self._near

    def other_domains(self) -> list[str]:
        """Return the linked keepers of the other domains in reach."""
        cut = self._network.partitioned_pairs
        if not cut:
            return self._far
        return [
            node
            for node in self._far
            if frozenset((self._own, self._places[node])) not in cut
        ]


class Keeper:
    """A keeper that runs nothing but rollouts."""

    def __init__(
        self,
        context: Context,
        peers: NetworkPeers,
    ) -> None:
        """Compose the keeper."""
        self.outbox = context.outbox
        self.system = RolloutSystem(context, peers)

    def receive(self, message: Any, sender: str, destination: str) -> None:
        """Take a message."""
        self.system.handle(message, sender)

    def answer(self, message: Any) -> None:
        """Take a store answer."""
        self.system.handle(message, '')

    def tick(self) -> None:
        """Run the system."""
        self.system.tick()


class Traffic(abc.ABC):
    """Sends the requests of a plan's routes through policies."""

    def __init__(self, plan: Plan, clock: VirtualClock) -> None:
        """Prepare the targets."""
        self.plan = plan
        self.scheduler = Scheduler(clock)
        self._chance = random.Random(plan.seed)
        self._targets = Targets(clock.now, self._chance, plan.troubles)

    def begin(self) -> None:
        """Schedule the first request of each route."""
        for route in self.plan.routes:
            self._next(route)

    @abc.abstractmethod
    def policy(self, domain: str, route: Route) -> VersionPolicy:
        """Return the policy that owns a route's targets in a domain."""

    @abc.abstractmethod
    def settle(self, domain: str, route: Route) -> None:
        """Carry out the effects of a policy's step."""

    def _next(self, route: Route) -> None:
        """Schedule a route's next request."""
        wait = self._chance.expovariate(route.rate)
        if self.scheduler.clock.now() + wait < route.end:
            self.scheduler.call_later(
                wait,
                functools.partial(self._request, route),
            )

    def _request(self, route: Route) -> None:
        """Run one request."""
        self._next(route)
        domain = self._chance.choice(self.plan.domains)
        policy = self.policy(domain, route)
        version = policy.choose(route.name)
        policy.started(route.name, version)
        self.settle(domain, route)
        took, observation = self._targets.serve(
            route,
            domain,
            new=version == new_version(route),
        )
        self.scheduler.call_later(
            took,
            functools.partial(self._end, route, domain, version, observation),
        )

    def _end(
        self,
        route: Route,
        domain: str,
        version: str,
        observation: Observation,
    ) -> None:
        """Tell the policy how a request ended."""
        policy = self.policy(domain, route)
        policy.ended(route.name, version, observation)
        self.settle(domain, route)


class FleetTraffic(Traffic):
    """Traffic through keepers that talk over a virtual network."""

    def __init__(self, plan: Plan) -> None:
        """Start the keepers with the plan's configuration."""
        clock = VirtualClock()
        super().__init__(plan, clock)
        self.store = StoreModel(clock.now)
        self.network = VirtualNetwork(
            self.scheduler,
            self.store,
            random.Random(plan.seed + 1),
        )
        self.places = {
            f'vm-{number}/keeper': plan.domains[number % len(plan.domains)]
            for number in range(plan.vms)
        }
        self.keepers = {node: self._start(node) for node in self.places}
        self._owners: dict[tuple[str, str], str] = {}
        if plan.cut:
            domain, start, end = plan.cut
            self.scheduler.call_later(
                start,
                functools.partial(self.network.isolate, domain),
            )
            self.scheduler.call_later(end, self.network.heal)

    def policy(self, domain: str, route: Route) -> VersionPolicy:
        """Return the rollout system of the owner."""
        return self.keepers[self._owner(domain, route)].system

    def settle(self, domain: str, route: Route) -> None:
        """Send the owner's messages."""
        self.network.flush(self._owner(domain, route))

    def _owner(self, domain: str, route: Route) -> str:
        """Return the keeper that owns a route's targets in a domain."""
        place = (domain, route.name)
        if place not in self._owners:
            nodes = [
                node for node, home in self.places.items() if home == domain
            ]
            self._owners[place] = rank(route.name, nodes)[0]
        return self._owners[place]

    def _start(self, node: str) -> Keeper:
        """Return a keeper that has its configuration."""
        clock = self.scheduler.clock
        context = Context(
            identity=Identity(node, self.places[node], node[:4], 'i1'),
            clock=clock,
            random=random.Random(f'{self.plan.seed}{node}'),
            outbox=Outbox(),
            events=EventRing(HybridClock(node, clock), capacity=64),
            invariants=StrictInvariants(),
        )
        peers = NetworkPeers(node, self.places, self.network)
        keeper = Keeper(context, peers)
        keeper.system.configure(make_document(self.plan.routes, clock))
        self.network.add(node, self.places[node], keeper)
        self.network.tick_every(node, _TICK_S)
        return keeper


class BaselineTraffic(Traffic):
    """Traffic through a fixed schedule with a threshold on errors."""

    def __init__(self, plan: Plan) -> None:
        """Start with one policy for the whole fleet."""
        super().__init__(plan, VirtualClock())
        chance = random.Random(plan.seed + 2)
        self._policies = {
            route.name: FixedSchedule(route, self.scheduler.clock, chance)
            for route in plan.routes
        }

    def settle(self, domain: str, route: Route) -> None:
        """Do nothing: the schedule has no effects."""

    def policy(self, domain: str, route: Route) -> VersionPolicy:
        """Return the route's policy."""
        return self._policies[route.name]


class FixedSchedule:
    """5, 25, 50 and 100 percent in quarters of the time."""

    _STEPS = (0.05, 0.25, 0.5, 1.0)
    _THRESHOLD = 0.05
    _WINDOW_S = 60.0
    # A threshold on fewer requests would take back on single errors.
    _LEAST = 10

    def __init__(
        self,
        route: Route,
        clock: VirtualClock,
        chance: random.Random,
    ) -> None:
        """Start before the first step."""
        self._route = route
        self._clock = clock
        self._chance = chance
        self._recent: collections.deque[tuple[float, bool]]
        self._recent = collections.deque()
        self._taken_back = False

    def choose(self, route: str) -> str:
        """Return the new version with the step's share."""
        now = self._clock.now()
        plan = self._route
        part = (now - plan.start) / (plan.deadline - plan.start)
        if part < 0 or self._taken_back:
            return old_version(plan)
        step = min(int(part * len(self._STEPS)), len(self._STEPS) - 1)
        is_new = self._chance.random() < self._STEPS[step]
        return new_version(plan) if is_new else old_version(plan)

    def started(self, route: str, version: str) -> None:
        """Do nothing."""

    def ended(
        self,
        route: str,
        version: str,
        observation: Observation,
    ) -> None:
        """Take the version back over the threshold."""
        if version != new_version(self._route):
            return
        now = self._clock.now()
        self._recent.append((now, observation.failed))
        while self._recent[0][0] < now - self._WINDOW_S:
            self._recent.popleft()
        failed = sum(row[1] for row in self._recent)
        if len(self._recent) >= self._LEAST:
            share = failed / len(self._recent)
            self._taken_back |= share > self._THRESHOLD


def new_version(route: Route) -> str:
    """Return the name of a route's new version."""
    return f'{route.name}-new'


def old_version(route: Route) -> str:
    """Return the name of a route's old version."""
    return f'{route.name}-old'


def make_document(routes: list[Route], clock: VirtualClock) -> Document:
    """Return the configuration with a rollout for each route."""
    wall = clock.wall()

    def moment(seconds: float) -> dt.datetime:
        return dt.datetime.fromtimestamp(wall + seconds, dt.UTC)

    return Document(
        pools={'engines': Pool(owner='ops', kind=Kind.ENGINE)},
        versions={
            name: Version(owner='ops', pool='engines')
            for route in routes
            for name in (old_version(route), new_version(route))
        },
        routes={
            route.name: RouteSection(
                owner='ops',
                pool='engines',
                version=old_version(route),
            )
            for route in routes
        },
        rollouts={
            f'move-{route.name}': Rollout(
                owner='ops',
                route=route.name,
                old=old_version(route),
                new=new_version(route),
                start=moment(route.start),
                deadline=moment(route.deadline),
            )
            for route in routes
        },
    )
