"""A gateway's way to the store, on which the store can turn it away."""

import asyncio
import contextlib


class Way:
    """A proxy in front of the store for one gateway."""

    def __init__(self, site):
        self._site = site
        self._away = False
        self._writers = set()
        self._server = None

    @property
    def address(self):
        """IP:PORT that the gateway calls."""
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0
        )

    def turn_away(self):
        """Reset all channels from now on."""
        self._away = True
        for writer in tuple(self._writers):
            writer.transport.abort()

    def let_through(self):
        """Pass calls on again."""
        self._away = False

    async def _serve(self, reader, writer):
        if self._away:
            writer.transport.abort()
            return
        host, port = self._site.store.address.split(':')
        with contextlib.suppress(OSError):
            store_reader, store_writer = await asyncio.open_connection(
                host, int(port)
            )
            ends = {writer, store_writer}
            self._writers |= ends
            await asyncio.gather(
                self._pass_on(reader, store_writer),
                self._pass_on(store_reader, writer),
            )
            self._writers -= ends

    async def _pass_on(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
