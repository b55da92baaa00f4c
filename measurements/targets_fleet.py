"""A fleet of routers, keepers and targets, with faults, on virtual time."""

import dataclasses
import datetime as dt
import functools
import itertools
import random
from typing import Any

from fuchsiafork import messages
from fuchsiafork.configuration import Document
from fuchsiafork.kernel import Identity
from measurements.targets_load import (
    Site,
    Workload,
    make_document,
    settings_of,
)
from measurements.targets_nodes import (
    POLL_S,
    ChoiceFactory,
    KeeperEnd,
    RouterEnd,
)
from standins.engine_model import EngineModel
from standins.store_model import StoreModel
from standins.virtual import Faults, Scheduler, VirtualClock, VirtualNetwork

KEEPER_TICK_S = 0.05
ROUTER_TICK_S = 0.05
_ATTACH_S = 0.25
# Age from which a keeper is in the list of VMs that others start with; two
# that start together find each other by way of older ones.
VM_LIST_LAG_S = 3.0
_LINK_SILENCE_S = 2.0


class Fleet:
    """Everything at one site."""

    def __init__(
        self,
        site: Site,
        seed: int,
        choice: ChoiceFactory | None = None,
    ) -> None:
        """Start all processes and targets."""
        self.site = site
        self.chance = random.Random(seed)
        self.scheduler = Scheduler(VirtualClock())
        self.clock = self.scheduler.clock
        self.document: Document = make_document(site)
        self.late_s = 0.0
        self.routers: dict[str, RouterEnd] = {}
        self.keepers: dict[str, KeeperEnd] = {}
        self.gone: list[RouterEnd] = []
        self.network = VirtualNetwork(
            self.scheduler,
            StoreModel(self.clock.now),
            random.Random(seed + 1),
            Faults(drop=0.0005, duplicate=0.01),
        )
        self.engines = {
            name: EngineModel(
                name,
                self.clock.now,
                random.Random(f'{seed}{name}'),
                settings_of(name),
                section.version,
            )
            for name, section in self.document.targets.items()
        }
        self._choice = choice
        self._starts = 0
        self._started: dict[str, float] = {}
        self._paused_at: dict[str, float] = {}
        self._start_all()

    def start_keeper(self, node: str) -> None:
        """Start a keeper with a new incarnation."""
        self._starts += 1
        identity = self._identity(node)
        chance = random.Random(self._starts)
        choice = self._choice(chance) if self._choice else None
        keeper = KeeperEnd(
            identity,
            self.scheduler,
            chance,
            self.document,
            choice,
        )
        self.keepers[node] = keeper
        self.network.add(node, identity.domain, keeper)
        self.network.tick_every(node, KEEPER_TICK_S)
        self._started[node] = self.clock.now()
        self._introduce()
        self.scheduler.call_later(VM_LIST_LAG_S, self._introduce)

    def start_router(self, node: str) -> None:
        """Start a router."""
        router = RouterEnd(
            node,
            node[0],
            self.scheduler,
            self.document,
            self.engines,
        )
        self.routers[node] = router
        self.network.add(node, node[0], router)
        self.network.tick_every(node, ROUTER_TICK_S)

    def kill(self, node: str) -> None:
        """End a process without warning."""
        self.network.kill(node)
        self._paused_at.pop(node, None)
        self.keepers.pop(node, None)
        router = self.routers.pop(node, None)
        if router is not None:
            router.abandon(self.chance)
            self.gone.append(router)

    def pause(self, node: str, seconds: float) -> None:
        """Stop a process for a time."""
        self.network.pause(node)
        self._paused_at[node] = self.clock.now()
        self.scheduler.call_later(
            seconds,
            functools.partial(self._resume, node),
        )

    def drain(self, target: str, seconds: float) -> None:
        """
        Announce by configuration that a target leaves after a time.

        A time that was announced before stands.
        """
        section = self.document.targets[target]
        if section.drain_at is not None:
            return
        drain_at = dt.datetime.fromtimestamp(
            self.clock.wall() + seconds,
            dt.UTC,
        )
        section = section.model_copy(update={'drain_at': drain_at})
        self.configure({**self.document.targets, target: section})
        self.scheduler.call_later(
            seconds,
            functools.partial(self._leave, target, drain_at),
        )

    def restore(self, target: str, down_s: float) -> None:
        """Put another target under an address and take it into use."""
        self.engines[target].replace(down_s)
        section = self.document.targets[target].model_copy(
            update={'drain_at': None},
        )
        self.configure({**self.document.targets, target: section})

    def configure(self, targets: dict[str, Any]) -> None:
        """Bring a configuration into force everywhere."""
        self.document = self.document.model_copy(update={'targets': targets})
        for keeper in self.keepers.values():
            keeper.dispatch.configure(self.document)

    def run_until(self, moment: float) -> None:
        """Let everything run."""
        self.scheduler.run_until(moment)

    def submit(self, workload: Workload, domain: str = '') -> None:
        """Hand the next request to a live router, of a domain if given."""
        live = [
            node
            for node in self.routers
            if node not in self.network.paused and node.startswith(domain)
        ]
        if live:
            node = self.chance.choice(live)
            self.routers[node].submit(workload.next_call())
            self.network.flush(node)

    def _leave(self, target: str, drain_at: dt.datetime) -> None:
        """Count work from now on, unless the drain was called off."""
        if self.document.targets[target].drain_at == drain_at:
            self.engines[target].leave(announced=False)

    def _start_all(self) -> None:
        """Start the processes and what connects them."""
        for domain, count in zip(
            self.site.domains,
            self.site.vms,
            strict=True,
        ):
            for number in range(count):
                self.start_keeper(f'{domain}-{number}/keeper')
                self.start_router(f'{domain}-{number}/router')
        self._introduce()
        self._attach()
        self._poll()

    def _introduce(self) -> None:
        """Let keepers find those that are in the list of VMs."""
        listed_by = self.clock.now() - VM_LIST_LAG_S
        for first, second in itertools.permutations(self.keepers, 2):
            members = self.keepers[first].membership.members
            listed = 0 < self._started[second] <= listed_by
            if second in members or first in self.network.paused:
                continue
            if listed or not self._started[second]:
                beat = self._first_heartbeat(second)
                self.keepers[first].receive(beat, second, first)

    def _identity(self, node: str) -> Identity:
        """Return the identity of a process that starts now."""
        vm = node.partition('/')[0]
        return Identity(node, node[0], vm, f'i{self._starts}')

    def _first_heartbeat(self, node: str) -> messages.Heartbeat:
        """Return the heartbeat by which peers are known at the start."""
        return messages.Heartbeat(
            node=node,
            domain=node[0],
            incarnation='i0',
            revision=0,
            leaving=False,
            verdicts=0,
            routers=(),
            address=node,
            stamp=0,
        )

    def _resume(self, node: str) -> None:
        """Let a process go on, if it was not killed."""
        if self._paused_at.pop(node, None) is not None:
            self.network.resume(node)

    def _is_silent(self, node: str) -> bool:
        """Return whether a process was paused past the link's patience."""
        since = self._paused_at.get(node, self.clock.now())
        return self.clock.now() - since >= _LINK_SILENCE_S

    def _attach(self) -> None:
        """Link each router to the keeper of its VM, or to another one."""
        for keeper in self.keepers.values():
            keeper.membership.local_routers.clear()
        for node, router in self.routers.items():
            own = node.replace('router', 'keeper')
            usable = [
                name
                for name in (own, *sorted(self.keepers))
                if name in self.keepers
                and name[0] == node[0]
                and not self._is_silent(name)
            ]
            router.keeper = usable[0] if usable else ''
            if usable and not self._is_silent(node):
                membership = self.keepers[usable[0]].membership
                membership.local_routers.add(node)
        self.scheduler.call_later(_ATTACH_S, self._attach)

    def _poll(self) -> None:
        """Let each keeper ask the targets that it owns for their load."""
        for node, keeper in self.keepers.items():
            if node not in self.network.paused:
                for target in keeper.dispatch.targets:
                    self._ask_load(node, target)
        self.scheduler.call_later(POLL_S, self._poll)

    def _ask_load(self, node: str, target: str) -> None:
        """Read a target's report and cache events for a keeper."""
        engine = self.engines[target]
        report = engine.report()
        reachable = not engine.is_down
        load = messages.LoadReport(
            target=target,
            identity=report.identity if reachable else '',
            version=report.version,
            ready=report.ready,
            running=report.running,
            capacity=report.capacity,
            taken_at=self.clock.now(),
        )
        found: list[Any] = [load]
        found.extend(
            messages.CacheEvents(target, *dataclasses.astuple(batch))
            for batch in (engine.cache.events() if reachable else ())
        )
        delay = 0.002 + self.chance.random() * self.late_s
        for message in found:
            self.scheduler.call_later(
                delay,
                functools.partial(self._deliver, node, message),
            )

    def _deliver(self, node: str, message: Any) -> None:
        """Hand a keeper what it read from a target."""
        if node in self.keepers and node not in self.network.paused:
            self.keepers[node].receive(message, '', node)
            self.network.flush(node)
