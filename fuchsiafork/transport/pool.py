"""Pool of connections that are kept open between calls."""

import functools
import re
from collections.abc import Callable

from fuchsiafork.kernel import Clock
from fuchsiafork.transport.client_connection import ClientConnection, connect

CONNECT_TIMEOUT_S = 0.3
# Idle limit for servers that send no timeout in a Keep-Alive header.
DEFAULT_KEEP_ALIVE_S = 3.0
# Subtracted from the server's timeout, as the server could close a connection
# while a request is in transit to it.
IDLE_MARGIN_S = 0.7
# A call that must not be retried uses only a connection that has answered this
# recently, since a connection can stop working without a reset.
FRESH_S = 0.4
MAX_IDLE_PER_ADDRESS = 16
# Requests on one connection, whose ids are kept.
MAX_REQUESTS_PER_CONNECTION = 1000

_TIMEOUT = re.compile(r'timeout=(\d+)')


class ConnectionPool:
    """
    Idle connections by address.

    :ivar on_lost: called with the address of a server that ends an idle
        connection.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty pool."""
        self.on_lost: Callable[[str], None] | None = None
        self._clock = clock
        self._idle: dict[str, list[ClientConnection]] = {}

    async def acquire(
        self,
        address: str,
        *,
        require_fresh: bool,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> ClientConnection:
        """
        Return a connection to an address.

        :param require_fresh: whether it must be new or have answered within
            ``FRESH_S``.
        :param connect_timeout_s: seconds in which a new one must open.
        :raises ConnectError: if none can be opened.
        """
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            connection.on_lost = None
            age = self._clock.now() - connection.idle_since
            if connection.open and age < self._limit(
                connection,
                require_fresh=require_fresh,
            ):
                return connection
            connection.close()
        return await connect(address, connect_timeout_s)

    async def acquire_for(
        self, address: str, request_id: str, *, require_fresh: bool
    ) -> ClientConnection:
        """
        Return a connection on which no earlier answer can pass for a new one.

        It hasn't carried the request before, and nothing at all before a
        request without an id, whose answer can't be told from others.

        :param request_id: id of the request, empty if it has none.
        :param require_fresh: as for ``acquire``.
        :raises ConnectError: if none can be opened.
        """
        if not request_id:
            return await connect(address, CONNECT_TIMEOUT_S)
        connection = await self.acquire(address, require_fresh=require_fresh)
        if request_id in connection.request_ids:
            connection.close()
            connection = await connect(address, CONNECT_TIMEOUT_S)
        connection.request_ids.add(request_id)
        return connection

    def release(self, address: str, connection: ClientConnection) -> None:
        """Keep a connection after its call, or close it if it is unusable."""
        idle = self._idle.setdefault(address, [])
        reusable = (
            connection.reusable
            and len(connection.request_ids) < MAX_REQUESTS_PER_CONNECTION
        )
        if not reusable or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        connection.idle_since = self._clock.now()
        if self.on_lost is not None:
            connection.on_lost = functools.partial(self.on_lost, address)
        idle.append(connection)

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        now = self._clock.now()
        for address, idle in tuple(self._idle.items()):
            kept = []
            for connection in idle:
                limit = self._limit(connection, require_fresh=False)
                if connection.open and now - connection.idle_since < limit:
                    kept.append(connection)
                else:
                    connection.close()
            self._idle[address] = kept
            if not kept:
                self._idle.pop(address)

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def _limit(
        self, connection: ClientConnection, *, require_fresh: bool
    ) -> float:
        """Return the longest idle time after which a connection is used."""
        if require_fresh:
            return min(FRESH_S, connection.idle_limit_s)
        return connection.idle_limit_s


def idle_limit_s(keep_alive: str) -> float:
    """Return the idle limit for a Keep-Alive header, in seconds."""
    match = _TIMEOUT.search(keep_alive)
    timeout_s = float(match.group(1)) if match else DEFAULT_KEEP_ALIVE_S
    return max(0.0, timeout_s - IDLE_MARGIN_S)
