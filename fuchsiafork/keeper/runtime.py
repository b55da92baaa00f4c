"""Runs a keeper's pure node on real links, store calls and ticks."""

import asyncio
import concurrent.futures
from collections.abc import Callable
from typing import Any, Protocol

from fuchsiafork.keeper.node import KeeperNode
from fuchsiafork.kernel import Context, outbox
from fuchsiafork.links import LinkHub
from fuchsiafork.messages import Envelope

TICK_INTERVAL_S = 0.1
STORE_CALLS_IN_FLIGHT = 64
STORE_THREADS = 8


class StoreExecutor(Protocol):
    """Carries out store operations, blocking."""

    def execute(
        self,
        operation: outbox.StoreOperation,
    ) -> outbox.StoreAnswer:
        """Return the answer of an operation."""


class KeeperRuntime:
    """
    Carries messages and effects between a node and the world.

    Everything but the store calls happens in one event loop, so the node
    needs no locks.
    """

    def __init__(
        self,
        context: Context,
        node: KeeperNode,
        hub: LinkHub,
        store: StoreExecutor,
    ) -> None:
        """Connect a node to its hub and store."""
        self.node = node
        self._context = context
        self._hub = hub
        self._store = store
        self._threads = concurrent.futures.ThreadPoolExecutor(
            STORE_THREADS,
            thread_name_prefix='store',
        )
        # Destinations inside this process, such as the engine adapter.
        self.local: dict[str, Callable[[Any], None]] = {}
        self._in_flight = 0
        self._calls: set[asyncio.Task[None]] = set()

    def receive(self, envelope: Envelope) -> None:
        """Take a message from a link."""
        self.node.receive(
            envelope.message,
            envelope.sender,
            envelope.destination,
        )
        self.flush()

    def act(self, action: Callable[[], None]) -> None:
        """Run an action on the node's systems and carry out its effects."""
        action()
        self.flush()

    async def run(self, stopped: Callable[[], bool]) -> None:
        """Tick until stopped."""
        while not stopped():
            self.node.tick()
            self.flush()
            await asyncio.sleep(TICK_INTERVAL_S)

    def close(self) -> None:
        """Release the threads."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def flush(self) -> None:
        """Carry out all effects; those for this node at once."""
        own = self._context.identity.node
        sends, operations = self._context.outbox.drain()
        while sends or operations:
            for operation in operations:
                self._start_call(operation)
            for send in sends:
                if send.destination in self.local:
                    self.local[send.destination](send.message)
                elif send.destination == own:
                    sender = send.sender or own
                    self.node.receive(send.message, sender, own)
                else:
                    self._transmit(send)
            sends, operations = self._context.outbox.drain()

    def _transmit(self, send: outbox.Send) -> None:
        """Put a message on the link towards its destination."""
        hop = self.node.membership.next_hop(send.destination)
        sender = send.sender or self._context.identity.node
        self._hub.forward(
            hop or send.destination,
            send.destination,
            send.message,
            sender,
        )

    def _start_call(self, operation: outbox.StoreOperation) -> None:
        """Start a store operation, or fail it when too many are open."""
        if self._in_flight >= STORE_CALLS_IN_FLIGHT:
            self.node.answer(outbox.store_failure(operation, unknown=False))
            return
        self._in_flight += 1
        task = asyncio.create_task(self._call(operation))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _call(self, operation: outbox.StoreOperation) -> None:
        """Carry out a store operation in a thread."""
        loop = asyncio.get_running_loop()
        try:
            answer = await loop.run_in_executor(
                self._threads,
                self._store.execute,
                operation,
            )
        finally:
            self._in_flight -= 1
        self.node.answer(answer)
        self.flush()
