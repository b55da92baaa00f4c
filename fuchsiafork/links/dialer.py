"""Opens links to other processes and reconnects them when they break."""

import asyncio
import contextlib
import random

from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from fuchsiafork.kernel import FuchsiaforkError
from fuchsiafork.links.hub import MAX_FRAME_BYTES, LinkHub

MIN_RECONNECT_DELAY_S = 0.1
MAX_RECONNECT_DELAY_S = 2.0
OPEN_TIMEOUT_S = 2.0
# A paused process keeps its connections open, so pings detect it. The timeout
# equals the one after which the membership considers a keeper lost; a shorter
# one closes links of busy processes.
PING_INTERVAL_S = 1.0
PING_TIMEOUT_S = 2.0
# The peer of an unresponsive link does not confirm the close either.
CLOSE_TIMEOUT_S = 0.5

_FAILURES = (OSError, WebSocketException, FuchsiaforkError, TimeoutError)


class Dialer:
    """Keeps a link open to each of a set of addresses."""

    def __init__(
        self,
        hub: LinkHub,
        rng: random.Random,
        ping_interval_s: float = PING_INTERVAL_S,
    ) -> None:
        """Open links for the hub; close links that miss a ping timeout."""
        self._hub = hub
        self._ping_interval_s = ping_interval_s
        self._rng = rng
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def add_address(self, address: str) -> None:
        """Keep a link open to an address, ``ip:port``."""
        if address and address not in self._tasks:
            self._tasks[address] = asyncio.create_task(
                self._maintain_link(address),
            )

    def remove_address(self, address: str) -> None:
        """Close the link to an address and stop reconnecting it."""
        task = self._tasks.pop(address, None)
        if task is not None:
            task.cancel()

    def stop(self) -> None:
        """Close all links."""
        for address in tuple(self._tasks):
            self.remove_address(address)

    @property
    def addresses(self) -> frozenset[str]:
        """The addresses to which links are kept open."""
        return frozenset(self._tasks)

    async def _maintain_link(self, address: str) -> None:
        """Open the link, and reconnect with backoff whenever it breaks."""
        delay = MIN_RECONNECT_DELAY_S
        while True:
            with contextlib.suppress(*_FAILURES):
                async with connect(
                    f'ws://{address}',
                    compression=None,
                    max_size=MAX_FRAME_BYTES,
                    open_timeout=OPEN_TIMEOUT_S,
                    ping_interval=self._ping_interval_s,
                    ping_timeout=PING_TIMEOUT_S,
                    close_timeout=CLOSE_TIMEOUT_S,
                    proxy=None,
                ) as connection:
                    delay = MIN_RECONNECT_DELAY_S
                    await self._hub.run(connection)
            # Jitter prevents a recovering failure domain from opening all
            # its links at the same instant.
            await asyncio.sleep(delay * self._rng.uniform(0.5, 1.5))
            delay = min(2 * delay, MAX_RECONNECT_DELAY_S)
