"""Connects the router's worker threads to its keeper."""

import asyncio
import concurrent.futures
import random
import threading
from collections.abc import Callable
from typing import Any

from fuchsiafork import messages
from fuchsiafork.kernel import Context, HybridClock
from fuchsiafork.links import Dialer, LinkHub
from fuchsiafork.router.configuration import LINKED_KEEPER
from fuchsiafork.router.node import RouterNode

TICK_INTERVAL_S = 0.1


class KeeperClient:
    """Runs the router's node in an event loop in a separate thread."""

    def __init__(
        self,
        context: Context,
        node: RouterNode,
        clock: HybridClock,
        hello: messages.Hello,
        keepers: tuple[str, ...],
    ) -> None:
        """Link with ``keepers``, given as addresses, the own VM's first."""
        self.node = node
        self.hub = LinkHub(context.identity, hello, clock, self._receive)
        self._context = context
        self._keepers = keepers
        self._loop = asyncio.new_event_loop()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the event loop."""
        self._thread.start()

    def stop(self) -> None:
        """Close the links and end the event loop."""
        self._stopping = True
        self._thread.join(timeout=2)

    def request_reply(
        self, message: Any, destination: str, timeout_s: float
    ) -> Any:
        """Return the reply to a message, or None after the time-out."""
        waiter: concurrent.futures.Future[Any] = concurrent.futures.Future()
        self.call(
            lambda: self.node.request_reply(
                message, destination, waiter.set_result
            ),
        )
        try:
            return waiter.result(timeout_s)
        except (TimeoutError, concurrent.futures.CancelledError):
            self.call(lambda: self.node.cancel_wait(message))
            return None

    def send_message(self, message: Any, destination: str) -> None:
        """Send a message without waiting for a reply."""
        self.call(lambda: self.node.send_message(message, destination))

    @property
    def linked(self) -> bool:
        """Whether a keeper is linked."""
        return bool(self._choose_keeper())

    def call(self, action: Callable[[], Any]) -> None:
        """Run an action in the event loop, then send queued messages."""
        self._loop.call_soon_threadsafe(self._act, action)

    def _act(self, action: Callable[[], Any]) -> None:
        """Run an action and send the messages that it queued."""
        action()
        self._flush()

    def _run(self) -> None:
        """Run the event loop until `stop` is called."""
        self._loop.run_until_complete(self._serve())

    async def _serve(self) -> None:
        """Open the links and call the node's periodic work."""
        seed = self._context.random.getrandbits(64)
        dialer = Dialer(self.hub, random.Random(seed))
        for address in self._keepers:
            dialer.add_address(address)
        while not self._stopping:
            self.node.tick()
            self._flush()
            await asyncio.sleep(TICK_INTERVAL_S)
        dialer.stop()

    def _receive(self, envelope: messages.Envelope) -> None:
        """Handle a message from a keeper."""
        self.node.receive(
            envelope.message,
            envelope.sender,
            envelope.destination,
        )
        self._flush()

    def _flush(self) -> None:
        """Send queued messages through the first keeper that is linked."""
        sends, _ = self._context.outbox.drain()
        linked_keeper = self._choose_keeper()
        for send in sends:
            to_keeper = send.destination == LINKED_KEEPER
            destination = linked_keeper if to_keeper else send.destination
            if linked_keeper:
                self.hub.send(linked_keeper, destination, send.message)

    def _choose_keeper(self) -> str:
        """Return a linked keeper, preferably the own VM's, or ''."""
        own = f'{self._context.identity.vm}/keeper'
        if own in self.hub.links:
            return own
        return min(self.hub.links, default='')
