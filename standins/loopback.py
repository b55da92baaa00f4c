"""HTTP server on loopback for asyncio stand-ins."""

import asyncio
import functools

from fuchsiafork.transport.caller import (
    CallerConnection,
    CallerLimits,
    CallerServer,
    Serve,
)

_LIMITS = CallerLimits(65_536, 8_388_608, 5.0, 60.0)


class LoopbackServer:
    """
    Serves HTTP on a free port.

    :ivar address: IP:PORT, once started.
    """

    def __init__(
        self,
        serve: Serve,
        connection: type[CallerConnection] = CallerConnection,
    ) -> None:
        """Answer requests with ``serve``."""
        self.address = ''
        self.shared = CallerServer(serve, _refuse, lambda: _LIMITS)
        self._connection = connection
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            functools.partial(self._connection, self.shared),
            '127.0.0.1',
            0,
        )
        host, port = self._listener.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def break_connections(self) -> None:
        """Abort all open connections."""
        for connection in tuple(self.shared.connections):
            connection.abort()

    def stop(self) -> None:
        """Close the socket and the connections."""
        self.break_connections()
        if self._listener is not None:
            self._listener.close()


class LoopbackService:
    """
    Base of a stand-in with an HTTP server.

    :ivar server: the HTTP server.
    """

    def __init__(
        self,
        serve: Serve,
        connection: type[CallerConnection] = CallerConnection,
    ) -> None:
        """Answer requests with ``serve``."""
        self.server = LoopbackServer(serve, connection)

    @property
    def address(self) -> str:
        """IP:PORT, once started."""
        return self.server.address

    async def start(self) -> None:
        """Listen on a free port."""
        await self.server.start()

    def stop(self) -> None:
        """Close the socket and the connections."""
        self.server.stop()


def _refuse(status: int, reason: str, caller: CallerConnection) -> None:
    """Answer a request that can't be parsed."""
    caller.answer(status, [], reason.encode())
