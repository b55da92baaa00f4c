"""
Discrete-event simulation of time, network and store for nodes without I/O.

Everything runs in one thread. The network delivers messages after a random
delay; it can drop and duplicate them and be partitioned. The store answers the
operations of an outbox after a delay and can be down, slow, or lose the answer
of a write that took effect.
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
    """A clock that only moves when it is advanced."""

    def __init__(self, wall: float = 1_800_000_000) -> None:
        """Start at 0 s since boot and the given Unix time."""
        self._now = 0.0
        self._start_unix_time = wall

    def now(self) -> float:
        """Return seconds since the start."""
        return self._now

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return self._start_unix_time + self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by some seconds."""
        self._now += seconds

    def advance_to(self, moment: float) -> None:
        """Move the clock forward to a time; an earlier time has no effect."""
        self._now = max(self._now, moment)


class Scheduler:
    """Runs callbacks in the order of virtual time."""

    def __init__(self, clock: VirtualClock) -> None:
        """Start without callbacks."""
        self.clock = clock
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay in seconds."""
        due = self.clock.now() + delay
        heapq.heappush(self._heap, (due, next(self._order), callback))

    def run_until(self, moment: float) -> None:
        """Run the callbacks due up to a time, and set the clock to it."""
        while self._heap and self._heap[0][0] <= moment:
            due, _, callback = heapq.heappop(self._heap)
            self.clock.advance_to(due)
            callback()
        self.clock.advance_to(moment)


@dataclasses.dataclass(slots=True)
class Faults:
    """
    Faults injected into messages and store operations.

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
    """A node without I/O on the virtual network."""

    outbox: Outbox

    def receive(self, message: Any, sender: str, destination: str) -> None:
        """Handle a message."""

    def answer(self, message: effects.StoreAnswer) -> None:
        """Handle the answer of a store operation."""

    def tick(self) -> None:
        """Run the work that is due at the present time."""


class VirtualNetwork:
    """
    Connects endpoints with each other and with the store.

    :ivar partitioned_pairs: pairs of failure domains without connection.
    :ivar partitioned_from_store: failure domains without store connection.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        store: StoreModel,
        rng: random.Random,
        faults: Faults | None = None,
    ) -> None:
        """Start without endpoints."""
        self.scheduler = scheduler
        self.store = store
        self.faults = faults or Faults()
        self.endpoints: dict[str, Endpoint] = {}
        self.domains: dict[str, str] = {}
        self.paused: set[str] = set()
        self.partitioned_pairs: set[frozenset[str]] = set()
        self.partitioned_from_store: set[str] = set()
        self._queued_deliveries: dict[str, list[Callable[[], None]]] = {}
        self._rng = rng

    def add(self, node: str, domain: str, endpoint: Endpoint) -> None:
        """Connect an endpoint under its node id."""
        self.endpoints[node] = endpoint
        self.domains[node] = domain

    def kill(self, node: str) -> None:
        """Remove an endpoint; messages in transit to it are lost."""
        self.endpoints.pop(node, None)
        self._queued_deliveries.pop(node, None)
        self.paused.discard(node)

    def pause(self, node: str) -> None:
        """Pause an endpoint; its deliveries are queued until it is resumed."""
        self.paused.add(node)

    def resume(self, node: str) -> None:
        """Resume a paused endpoint and hand it the queued deliveries."""
        self.paused.discard(node)
        for delivery in self._queued_deliveries.pop(node, []):
            delivery()

    def isolate(self, domain: str, *, from_store: bool = True) -> None:
        """Partition a failure domain from all others."""
        for other in set(self.domains.values()) - {domain}:
            self.partitioned_pairs.add(frozenset((domain, other)))
        if from_store:
            self.partitioned_from_store.add(domain)

    def heal(self) -> None:
        """End all partitions between domains and from the store."""
        self.partitioned_pairs.clear()
        self.partitioned_from_store.clear()

    def tick_every(self, node: str, interval: float) -> None:
        """Tick an endpoint at an interval until it is killed."""
        endpoint = self.endpoints[node]

        def step() -> None:
            if self.endpoints.get(node) is not endpoint:
                return
            if node not in self.paused:
                endpoint.tick()
                self.flush(node)
            self.scheduler.call_later(interval, step)

        phase = self._rng.uniform(0, interval)
        self.scheduler.call_later(phase, step)

    def flush(self, node: str) -> None:
        """Send the messages and store operations in an endpoint's outbox."""
        sends, operations = self.endpoints[node].outbox.drain()
        for send in sends:
            self._transmit(node, send)
        for operation in operations:
            self._schedule_operation(node, operation)

    def _transmit(self, node: str, send: effects.Send) -> None:
        """Schedule the delivery of a message, or drop it."""
        pair = frozenset((
            self.domains[node],
            self.domains.get(send.destination, ''),
        ))
        dropped = self._rng.random() < self.faults.drop
        if pair in self.partitioned_pairs or dropped:
            return
        copies = 2 if self._rng.random() < self.faults.duplicate else 1
        for _ in range(copies):
            delay = self._rng.uniform(*self.faults.delay_s)
            self.scheduler.call_later(
                delay,
                functools.partial(self._deliver_message, node, send),
            )

    def _deliver_message(self, node: str, send: effects.Send) -> None:
        """Deliver a message, or queue it while its recipient is paused."""
        recipient = self.endpoints.get(send.destination)
        if recipient is None:
            return
        if send.destination in self.paused:
            self._queue_delivery(
                send.destination, self._deliver_message, node, send
            )
            return
        recipient.receive(send.message, send.sender or node, send.destination)
        self.flush(send.destination)

    def _schedule_operation(
        self, node: str, operation: effects.StoreOperation
    ) -> None:
        """Schedule a store operation and its answer."""
        delay = self._rng.uniform(*self.faults.store_delay_s)
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
        if self.faults.store_down or domain in self.partitioned_from_store:
            answer: effects.StoreAnswer = store_failure(
                operation, unknown=False
            )
        else:
            answer = apply_operation(operation, self.store)
            if self._rng.random() < self.faults.store_lost_answer:
                answer = store_failure(operation, unknown=True)
        self.scheduler.call_later(
            delay,
            functools.partial(self._deliver_answer, node, answer),
        )

    def _deliver_answer(self, node: str, answer: effects.StoreAnswer) -> None:
        """Deliver a store answer to the node that sent the operation."""
        if node in self.paused:
            self._queue_delivery(node, self._deliver_answer, node, answer)
        elif node in self.endpoints:
            self.endpoints[node].answer(answer)
            self.flush(node)

    def _queue_delivery(
        self, node: str, deliver: Callable[..., None], *args: Any
    ) -> None:
        """Queue a delivery until its node is resumed."""
        deliveries = self._queued_deliveries.setdefault(node, [])
        deliveries.append(functools.partial(deliver, *args))


@functools.singledispatch
def apply_operation(
    operation: Any,
    store: StoreModel,
) -> effects.StoreAnswer:
    """Apply an operation to the store and return its answer."""
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
