"""Listens for connections of callers, operators and other VMs."""

import asyncio
import functools
import socket
from typing import Any

from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.transport.caller import CallerConnection, CallerServer
from fuchsiafork.transport.caller_guard import CallerGuard

# Connections waiting to be accepted.
LISTEN_BACKLOG = 512
# Connections that are accepted in one turn of the event loop. The bound on
# connections may be passed by as many until the turn ends.
ACCEPTS_PER_TURN = 32
# Least time between two lines on connections that were ended.
LOG_INTERVAL_S = 1.0


async def listen(address: str, server: CallerServer) -> asyncio.Server:
    """
    Serve the connections to an address.

    :param address: IP:PORT.
    """
    host, _, port = address.rpartition(':')
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, int(port)))
    except OSError:
        sock.close()
        raise
    sock.settimeout(0)
    loop = asyncio.get_running_loop()
    # asyncio accepts as many connections in a turn as its backlog.
    listener = await loop.create_server(
        functools.partial(CallerConnection, server),
        sock=sock,
        backlog=ACCEPTS_PER_TURN,
    )
    sock.listen(LISTEN_BACKLOG)
    return listener


class ShedReport:
    """Counts and logs connections that were ended for lack of resources."""

    def __init__(
        self, guard: CallerGuard, metrics: GatewayMetrics, log: Any
    ) -> None:
        """Start with nothing to report."""
        self._guard = guard
        self._metrics = metrics
        self._log = log
        self._ended: dict[tuple[str, str], int] = {}
        self._logged_at = 0.0

    def update(self, now: float) -> None:
        """Count what was ended since the last call, and log it."""
        for key, count in self._guard.pop_counts().items():
            reason, stage = key
            self._metrics.shed_connections.labels(reason, stage).inc(count)
            self._ended[key] = self._ended.get(key, 0) + count
        if self._ended and now - self._logged_at >= LOG_INTERVAL_S:
            self._write_line(now)

    def _write_line(self, now: float) -> None:
        """Log what was ended since the last line."""
        resources = self._guard.resources
        self._logged_at = now
        self._log.warning(
            'callers_shed',
            ended=','.join(
                f'{reason}/{stage}:{count}'
                for (reason, stage), count in sorted(self._ended.items())
            ),
            connections=resources.connections,
            most_connections=resources.limits.connections,
            kept_bytes=resources.used,
            most_bytes=resources.limits.memory_bytes,
        )
        self._ended.clear()


__all__ = ('ShedReport', 'listen')
