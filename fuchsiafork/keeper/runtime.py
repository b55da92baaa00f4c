"""Connects a keeper's node to links, the store and the clock."""

import asyncio
import concurrent.futures
from collections.abc import Callable
from typing import Any, Protocol

from fuchsiafork.keeper.node import KeeperNode
from fuchsiafork.kernel import Context, outbox
from fuchsiafork.links import LinkHub
from fuchsiafork.messages import Envelope

TICK_INTERVAL_S = 0.1
MAX_STORE_CALLS_IN_FLIGHT = 64
STORE_THREADS = 8


class StoreExecutor(Protocol):
    """Executes store operations with blocking calls."""

    def execute(
        self,
        operation: outbox.StoreOperation,
    ) -> outbox.StoreAnswer:
        """Return the answer to an operation."""


class KeeperRuntime:
    """
    Delivers messages to a node and performs the effects in its outbox.

    Everything but the store calls runs in one event loop, so the node needs
    no locks.

    :ivar local_receivers: functions that receive the messages sent to
        destinations inside this process, such as the engine adapter.
    """

    def __init__(
        self,
        context: Context,
        node: KeeperNode,
        hub: LinkHub,
        store: StoreExecutor,
    ) -> None:
        """Connect a node to its link hub and store."""
        self.node = node
        self._context = context
        self._hub = hub
        self._store = store
        self._executor = concurrent.futures.ThreadPoolExecutor(
            STORE_THREADS,
            thread_name_prefix='store',
        )
        self.local_receivers: dict[str, Callable[[Any], None]] = {}
        self._in_flight = 0
        self._call_tasks: set[asyncio.Task[None]] = set()

    def receive(self, envelope: Envelope) -> None:
        """Pass a message from a link to the node."""
        self.node.receive(
            envelope.message,
            envelope.sender,
            envelope.destination,
        )
        self.flush()

    def run_action(self, action: Callable[[], None]) -> None:
        """Run an action on the node's systems and perform its effects."""
        action()
        self.flush()

    async def run(self, stopped: Callable[[], bool]) -> None:
        """Tick the node until stopped."""
        while not stopped():
            self.node.tick()
            self.flush()
            await asyncio.sleep(TICK_INTERVAL_S)

    def close(self) -> None:
        """Shut down the thread pool and cancel the calls not yet started."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def flush(self) -> None:
        """Perform all effects; messages to this node are delivered at once."""
        own = self._context.identity.node
        sends, operations = self._context.outbox.drain()
        while sends or operations:
            for operation in operations:
                self._start_call(operation)
            for send in sends:
                if send.destination in self.local_receivers:
                    self.local_receivers[send.destination](send.message)
                elif send.destination == own:
                    sender = send.sender or own
                    self.node.receive(send.message, sender, own)
                else:
                    self._transmit(send)
            sends, operations = self._context.outbox.drain()

    def _transmit(self, send: outbox.Send) -> None:
        """Send a message on the link to the next hop of its destination."""
        hop = self.node.membership.next_hop(send.destination)
        sender = send.sender or self._context.identity.node
        self._hub.forward(
            hop or send.destination,
            send.destination,
            send.message,
            sender,
        )

    def _start_call(self, operation: outbox.StoreOperation) -> None:
        """Start a store operation, or fail it if too many are in flight."""
        if self._in_flight >= MAX_STORE_CALLS_IN_FLIGHT:
            self.node.answer(outbox.store_failure(operation, unknown=False))
            return
        self._in_flight += 1
        task = asyncio.create_task(self._call(operation))
        self._call_tasks.add(task)
        task.add_done_callback(self._call_tasks.discard)

    async def _call(self, operation: outbox.StoreOperation) -> None:
        """Execute a store operation in a thread and deliver its answer."""
        loop = asyncio.get_running_loop()
        try:
            answer = await loop.run_in_executor(
                self._executor,
                self._store.execute,
                operation,
            )
        finally:
            self._in_flight -= 1
        self.node.answer(answer)
        self.flush()
