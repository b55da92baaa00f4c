"""Opens links to other processes and opens them again when they break."""

import asyncio
import contextlib
import random

from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from fuchsiafork.kernel import FuchsiaforkError
from fuchsiafork.links.hub import MAX_FRAME_BYTES, LinkHub

FIRST_DELAY_S = 0.1
LAST_DELAY_S = 2.0
OPEN_TIMEOUT_S = 2.0
# A paused process keeps its connections open. The time-out is that of a
# silent keeper in the membership; a shorter one closes links of busy ones.
PING_INTERVAL_S = 1.0
PING_TIMEOUT_S = 2.0
# The other side of a silent link does not confirm the close either.
CLOSE_TIMEOUT_S = 0.5

_FAILURES = (OSError, WebSocketException, FuchsiaforkError, TimeoutError)


class Dialer:
    """Keeps a link open to each wanted address."""

    def __init__(
        self,
        hub: LinkHub,
        chance: random.Random,
        ping_interval_s: float = PING_INTERVAL_S,
    ) -> None:
        """Open links for the hub and close those that are silent."""
        self._hub = hub
        self._ping_interval_s = ping_interval_s
        self._chance = chance
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def want(self, address: str) -> None:
        """Keep a link open to an address, ``ip:port``."""
        if address and address not in self._tasks:
            self._tasks[address] = asyncio.create_task(self._keep(address))

    def unwant(self, address: str) -> None:
        """Close the link to an address and open it no more."""
        task = self._tasks.pop(address, None)
        if task is not None:
            task.cancel()

    def stop(self) -> None:
        """Close all links."""
        for address in tuple(self._tasks):
            self.unwant(address)

    @property
    def wanted(self) -> frozenset[str]:
        """The addresses that links are kept open to."""
        return frozenset(self._tasks)

    async def _keep(self, address: str) -> None:
        """Open the link again whenever it breaks."""
        delay = FIRST_DELAY_S
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
                    delay = FIRST_DELAY_S
                    await self._hub.run(connection)
            # Jitter keeps a whole failure domain that comes back from
            # opening all its links in the same instant.
            await asyncio.sleep(delay * self._chance.uniform(0.5, 1.5))
            delay = min(2 * delay, LAST_DELAY_S)
