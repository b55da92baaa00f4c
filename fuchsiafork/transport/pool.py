"""Keeps connections to targets open between calls."""

import re

from fuchsiafork.kernel import Clock
from fuchsiafork.transport.target import TargetConnection, connect

CONNECT_TIMEOUT_S = 0.3
# A connection whose server doesn't say how long it stays open while idle.
UNTOLD_IDLE_S = 3.0
# The server may close a connection while a request is on its way to it.
IDLE_MARGIN_S = 0.7
# A call that may not be repeated goes out only on a connection that has
# answered this recently, since one may fall silent without a reset.
SOUND_S = 0.4
MOST_IDLE = 16

_TIMEOUT = re.compile(r'timeout=(\d+)')


class ConnectionPool:
    """Idle connections by address."""

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._idle: dict[str, list[TargetConnection]] = {}

    async def take(self, address: str, *, sound: bool) -> TargetConnection:
        """
        Return a connection to an address.

        :param sound: whether it must be new or have answered just now.
        :raises ConnectError: if none can be made.
        """
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            age = self._clock.now() - connection.idle_since
            if connection.open and age < self._limit(connection, sound=sound):
                return connection
            connection.close()
        return await connect(address, CONNECT_TIMEOUT_S)

    def give_back(self, address: str, connection: TargetConnection) -> None:
        """Keep a connection whose call is over, if it is in order."""
        idle = self._idle.setdefault(address, [])
        if not connection.reusable or len(idle) >= MOST_IDLE:
            connection.close()
            return
        connection.idle_since = self._clock.now()
        idle.append(connection)

    def sweep(self) -> None:
        """Close connections that were idle for too long."""
        now = self._clock.now()
        for address, idle in tuple(self._idle.items()):
            kept = []
            for connection in idle:
                limit = self._limit(connection, sound=False)
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

    def _limit(self, connection: TargetConnection, *, sound: bool) -> float:
        """Return the idle seconds up to which a connection is used."""
        if sound:
            return min(SOUND_S, connection.idle_limit_s)
        return connection.idle_limit_s


def idle_limit_s(keep_alive: str) -> float:
    """Return how long a server keeps a connection, by its answer's header."""
    found = _TIMEOUT.search(keep_alive)
    told = float(found.group(1)) if found else UNTOLD_IDLE_S
    return max(0.0, told - IDLE_MARGIN_S)
