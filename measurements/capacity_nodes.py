"""Pure keepers whose messages pass the codec and are counted."""

import collections
import dataclasses
import math
import random
import time
from typing import Any

from fuchsiafork.configuration import Document
from fuchsiafork.keeper.composition import Systems, make_systems
from fuchsiafork.keeper.node import KeeperNode
from fuchsiafork.kernel import (
    Context,
    EventRing,
    HybridClock,
    Identity,
    Outbox,
    StrictInvariants,
)
from fuchsiafork.kernel import outbox as effects
from fuchsiafork.kernel.hlc import Stamp
from fuchsiafork.membership import Member
from fuchsiafork.messages import decode, encode
from standins.store_model import StoreModel
from standins.virtual import VirtualClock, VirtualNetwork, apply_operation

TICK_S = 0.1
# The least of some repeats is the least disturbed by other processes.
REPEATS = 3
_STAMP = Stamp(1_800_000_000_000, 0, 'delta-a-001/keeper')


def make_context(vm: str, domain: str, clock: VirtualClock) -> Context:
    """Return the surroundings of a keeper."""
    identity = Identity(f'{vm}/keeper', domain, vm, '1a2b3c4d')
    return Context(
        identity=identity,
        clock=clock,
        random=random.Random(vm),
        outbox=Outbox(),
        events=EventRing(HybridClock(identity.node, clock)),
        invariants=StrictInvariants(),
    )


def make_member(vm: str, domain: str) -> Member:
    """Return the row of a keeper that never falls silent."""
    return Member(
        node=f'{vm}/keeper',
        domain=domain,
        incarnation='1a2b3c4d',
        address='10.20.30.40:7000',
        revision=1,
        leaving=False,
        routers=(f'{vm}/router',),
        last_heard=math.inf,
        admins=('10.20.30.40:7001', '10.20.30.40:7002'),
    )


def add_members(systems: Systems, count: int, domain: str = 'delta-a') -> None:
    """Give a keeper live peers in a failure domain."""
    for number in range(1, count + 1):
        member = make_member(f'{domain}-{number:03}', domain)
        systems.membership.members[member.node] = member


class LoneKeeper:
    """One keeper with a store that answers at once."""

    def __init__(self, members: int = 0) -> None:
        """Start with live peers in its own failure domain."""
        self.clock = VirtualClock()
        self.store = StoreModel(self.clock.now)
        self.context = make_context('delta-a-000', 'delta-a', self.clock)
        self.systems = make_systems(self.context, '10.20.30.41:7000')
        self.node = KeeperNode(
            self.context,
            self.systems.membership,
            self.systems.named_systems(),
        )
        add_members(self.systems, members)
        self.sent: collections.Counter[str] = collections.Counter()

    def configure(self, document: Document) -> None:
        """Put a document in force."""
        self.systems.configure(document)

    def step(self) -> None:
        """Advance by a tick and answer what the store is asked."""
        self.clock.advance(TICK_S)
        self.node.tick()
        self.settle()

    def settle(self) -> None:
        """Answer the store's operations until there are none."""
        while True:
            sends, operations = self.context.outbox.drain()
            self.sent.update(type(send.message).__name__ for send in sends)
            if not operations:
                return
            for operation in operations:
                self.node.answer(apply_operation(operation, self.store))

    def tick_seconds(self, ticks: int, warm_ticks: int = 20) -> float:
        """Return the processor seconds of a tick, its store calls included."""
        for _ in range(warm_ticks):
            self.step()
        return min(self._tick_seconds(ticks) for _ in range(REPEATS))

    def _tick_seconds(self, ticks: int) -> float:
        """Return the processor seconds of a tick in a row of ticks."""
        started = time.process_time()
        for _ in range(ticks):
            self.step()
        return (time.process_time() - started) / ticks


class CountingNetwork(VirtualNetwork):
    """Passes each message between two nodes through the codec."""

    frames: collections.Counter[str]
    frame_bytes: collections.Counter[str]
    operations: collections.Counter[str]
    value_bytes: int

    def reset(self) -> None:
        """Count from now on."""
        self.frames = collections.Counter()
        self.frame_bytes = collections.Counter()
        self.operations = collections.Counter()
        self.value_bytes = 0

    def _transmit(self, node: str, send: effects.Send) -> None:
        """Encode and decode a message that leaves its process."""
        if send.destination == node:
            super()._transmit(node, send)
            return
        sender = send.sender or node
        frame = encode(sender, send.destination, _STAMP, send.message)
        kind = type(send.message).__name__
        self.frames[kind] += 1
        self.frame_bytes[kind] += len(frame)
        message = decode(frame).message
        super()._transmit(node, dataclasses.replace(send, message=message))

    def _schedule_operation(
        self, node: str, operation: effects.StoreOperation
    ) -> None:
        """Count a store operation by its kind and the start of its key."""
        key: Any = getattr(operation, 'key', getattr(operation, 'prefix', ''))
        kind = type(operation).__name__
        self.operations[f'{kind} {key.partition("/")[0]}'] += 1
        value = getattr(operation, 'value', None)
        self.value_bytes += len(value or b'')
        super()._schedule_operation(node, operation)
