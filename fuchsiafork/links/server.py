"""Accepts links from other processes."""

import asyncio
import contextlib

from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from fuchsiafork.kernel import FuchsiaforkError
from fuchsiafork.links.hub import MAX_FRAME_BYTES, LinkHub


class LinkServer:
    """A listening socket whose connections are run by a link hub."""

    def __init__(self, hub: LinkHub) -> None:
        """Pass accepted connections to a hub."""
        self._hub = hub
        self._server: Server | None = None

    @property
    def port(self) -> int:
        """The listening port, 0 before the start."""
        if self._server is None:
            return 0
        return next(iter(self._server.sockets)).getsockname()[1]

    async def start(self, host: str, port: int) -> None:
        """Start listening; port 0 selects a free port."""
        self._server = await serve(
            self._serve,
            host,
            port,
            compression=None,
            max_size=MAX_FRAME_BYTES,
        )

    async def stop(self) -> None:
        """Close the listening socket and all accepted links."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _serve(self, connection: ServerConnection) -> None:
        """Run a link; a rejected handshake closes the connection silently."""
        rejections = (FuchsiaforkError, ConnectionClosed, asyncio.TimeoutError)
        with contextlib.suppress(*rejections):
            await self._hub.run(connection)
