"""
Virtual time, network and store that drive pure nodes in one thread.

The network delivers typed messages after a random delay and can drop,
duplicate and cut them. The store answers the operations of an outbox after a
delay and can be down, slow, or lose the answer of a write that took effect.
"""

import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any, Protocol

from fuchsiafork.kernel import Clock, Outbox
from fuchsiafork.kernel import outbox as effects
from fuchsiafork.kernel.outbox import store_failure
from standins.store_model import StoreModel


class VirtualClock(Clock):
    """A clock that stands still until it is advanced."""

    def __init__(self, wall: float = 1_800_000_000) -> None:
        """Start at 0 s since boot and the given Unix time."""
        self._now = 0.0
        self._boot = wall

    def now(self) -> float:
        """Return seconds since the start."""
        return self._now

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return self._boot + self._now

    def advance(self, seconds: float) -> None:
        """Move time on."""
        self._now += seconds

    def advance_to(self, moment: float) -> None:
        """Move time on to a moment, never back."""
        self._now = max(self._now, moment)


class Scheduler:
    """Runs callbacks in the order of virtual time."""

    def __init__(self, clock: VirtualClock) -> None:
        """Start with nothing to run."""
        self.clock = clock
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay in seconds."""
        due = self.clock.now() + delay
        heapq.heappush(self._heap, (due, next(self._order), callback))

    def run_until(self, moment: float) -> None:
        """Run what is due up to a moment, and set the clock to it."""
        while self._heap and self._heap[0][0] <= moment:
            due, _, callback = heapq.heappop(self._heap)
            self.clock.advance_to(due)
            callback()
        self.clock.advance_to(moment)


@dataclasses.dataclass(slots=True)
class Faults:
    """
    What may go wrong with messages and store calls.

    :ivar drop: probability that a message is lost.
    :ivar duplicate: probability that a message arrives twice.
    :ivar delay_s: least and greatest delay of a message.
    :ivar store_delay_s: least and greatest delay of a store answer.
    :ivar store_lost_answer: probability that an operation takes effect and
        its answer is lost.
    :ivar store_down: whether operations fail without effect.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    delay_s: tuple[float, float] = (0.0005, 0.003)
    store_delay_s: tuple[float, float] = (0.001, 0.005)
    store_lost_answer: float = 0.0
    store_down: bool = False


class Endpoint(Protocol):
    """A pure node on the virtual network."""

    outbox: Outbox

    def receive(self, message: Any, sender: str, destination: str) -> None:
        """Take a message that arrived."""

    def answer(self, message: effects.StoreAnswer) -> None:
        """Take the answer of a store operation."""

    def tick(self) -> None:
        """Do what is due by the clock."""


class VirtualNetwork:
    """Connects endpoints with each other and with the store."""

    def __init__(
        self,
        scheduler: Scheduler,
        store: StoreModel,
        chance: random.Random,
        faults: Faults | None = None,
    ) -> None:
        """Start without endpoints."""
        self.scheduler = scheduler
        self.store = store
        self.faults = faults or Faults()
        self.endpoints: dict[str, Endpoint] = {}
        self.domains: dict[str, str] = {}
        self.paused: set[str] = set()
        self.cut_pairs: set[frozenset[str]] = set()
        self.cut_from_store: set[str] = set()
        self._held: dict[str, list[Callable[[], None]]] = {}
        self._chance = chance

    def add(self, node: str, domain: str, endpoint: Endpoint) -> None:
        """Connect an endpoint under its node id."""
        self.endpoints[node] = endpoint
        self.domains[node] = domain

    def kill(self, node: str) -> None:
        """Disconnect an endpoint; what is on its way to it is lost."""
        self.endpoints.pop(node, None)
        self._held.pop(node, None)
        self.paused.discard(node)

    def pause(self, node: str) -> None:
        """Stop an endpoint; what arrives is held until it goes on."""
        self.paused.add(node)

    def resume(self, node: str) -> None:
        """Let a paused endpoint go on with what has arrived."""
        self.paused.discard(node)
        for delivery in self._held.pop(node, []):
            delivery()

    def isolate(self, domain: str, *, from_store: bool = True) -> None:
        """Cut a failure domain off from all others."""
        for other in set(self.domains.values()) - {domain}:
            self.cut_pairs.add(frozenset((domain, other)))
        if from_store:
            self.cut_from_store.add(domain)

    def heal(self) -> None:
        """End all cuts between domains and from the store."""
        self.cut_pairs.clear()
        self.cut_from_store.clear()

    def every(self, node: str, interval: float) -> None:
        """Tick an endpoint at an interval until it is killed."""
        endpoint = self.endpoints[node]

        def step() -> None:
            if self.endpoints.get(node) is not endpoint:
                return
            if node not in self.paused:
                endpoint.tick()
                self.flush(node)
            self.scheduler.call_later(interval, step)

        phase = self._chance.uniform(0, interval)
        self.scheduler.call_later(phase, step)

    def flush(self, node: str) -> None:
        """Carry out the effects that an endpoint has queued."""
        sends, operations = self.endpoints[node].outbox.drain()
        for send in sends:
            self._transmit(node, send)
        for operation in operations:
            self._operate(node, operation)

    def _transmit(self, node: str, send: effects.Send) -> None:
        """Schedule the arrival of a message, or lose it."""
        pair = frozenset((
            self.domains[node],
            self.domains.get(send.destination, ''),
        ))
        lost = self._chance.random() < self.faults.drop
        if pair in self.cut_pairs or lost:
            return
        copies = 2 if self._chance.random() < self.faults.duplicate else 1
        for _ in range(copies):
            delay = self._chance.uniform(*self.faults.delay_s)
            self.scheduler.call_later(
                delay,
                functools.partial(self._arrive, node, send),
            )

    def _arrive(self, node: str, send: effects.Send) -> None:
        """Hand a message to its endpoint, or hold it while it is paused."""
        target = self.endpoints.get(send.destination)
        if target is None:
            return
        if send.destination in self.paused:
            self._hold(send.destination, self._arrive, node, send)
            return
        target.receive(send.message, send.sender or node, send.destination)
        self.flush(send.destination)

    def _operate(self, node: str, operation: effects.StoreOperation) -> None:
        """Schedule a store operation and its answer."""
        delay = self._chance.uniform(*self.faults.store_delay_s)
        self.scheduler.call_later(
            delay / 2,
            functools.partial(self._take_effect, node, operation, delay / 2),
        )

    def _take_effect(
        self,
        node: str,
        operation: effects.StoreOperation,
        delay: float,
    ) -> None:
        """Apply an operation and schedule its answer."""
        domain = self.domains[node]
        if self.faults.store_down or domain in self.cut_from_store:
            answer: effects.StoreAnswer = store_failure(
                operation, unknown=False
            )
        else:
            answer = apply_operation(operation, self.store)
            if self._chance.random() < self.faults.store_lost_answer:
                answer = store_failure(operation, unknown=True)
        self.scheduler.call_later(
            delay,
            functools.partial(self._answer, node, answer),
        )

    def _answer(self, node: str, answer: effects.StoreAnswer) -> None:
        """Hand a store answer to the node that asked."""
        if node in self.paused:
            self._hold(node, self._answer, node, answer)
        elif node in self.endpoints:
            self.endpoints[node].answer(answer)
            self.flush(node)

    def _hold(
        self, node: str, deliver: Callable[..., None], *given: Any
    ) -> None:
        """Keep a delivery until its node is resumed."""
        held = self._held.setdefault(node, [])
        held.append(functools.partial(deliver, *given))


@functools.singledispatch
def apply_operation(
    operation: Any,
    store: StoreModel,
) -> effects.StoreAnswer:
    """Return the store's answer to an operation."""
    raise TypeError(f'unknown operation {operation!r}')


@apply_operation.register
def _(operation: effects.ReadKey, store: StoreModel) -> effects.StoreAnswer:
    revision, value = store.read(operation.key)
    return effects.KeyRead(operation.tag, operation.key, revision, value)


@apply_operation.register
def _(operation: effects.ListKeys, store: StoreModel) -> effects.StoreAnswer:
    rows = tuple(store.list_prefix(operation.prefix))
    return effects.KeysListed(operation.tag, operation.prefix, rows)


@apply_operation.register
def _(
    operation: effects.CompareAndSwap,
    store: StoreModel,
) -> effects.StoreAnswer:
    succeeded, revision = store.swap(
        operation.key,
        operation.expected_revision,
        operation.value,
    )
    return effects.SwapDone(
        operation.tag,
        operation.key,
        succeeded,
        revision,
    )
