"""Stand-in of a faulty target whose answers are large and never end."""

import asyncio
import contextlib

from standins.platform_targets import PlatformTarget

DRIP_S = 0.5


class DrippingTarget(PlatformTarget):
    """A target that sends many bytes at once, and a few for ever after."""

    def __init__(
        self,
        target_id: str,
        service: str,
        head: tuple[str, ...],
        start: bytes,
        drip: bytes,
    ) -> None:
        """
        Create a target that doesn't listen yet.

        :param head: status line and headers of its answers, but for those
            that name the request.
        :param start: bytes that follow the head.
        :param drip: bytes that are sent each half second from then on.
        """
        super().__init__(target_id, service, 'a')
        self._head = head
        self._start = start
        self._drip = drip
        self._address = ''
        self._listener: asyncio.Server | None = None
        self._calls: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """IP:PORT, once started."""
        return self._address

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._accept, '127.0.0.1')
        host, port = self._listener.sockets[0].getsockname()
        self._address = f'{host}:{port}'

    def stop(self) -> None:
        """Stop listening and end the answers."""
        if self._listener is not None:
            self._listener.close()
        for call in self._calls:
            call.cancel()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request."""
        call = asyncio.create_task(self._send(reader, writer))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    async def _send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request, and close the connection in any case."""
        errors = (ConnectionError, asyncio.IncompleteReadError)
        try:
            with contextlib.suppress(*errors):
                await self._drip_answer(reader, writer)
        finally:
            writer.transport.abort()

    async def _drip_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """
        Send bytes until the caller closes the connection.

        :raises ConnectionError: once it has closed it.
        """
        request = await reader.readuntil(b'\r\n\r\n')
        writer.write(self._encode_head(request) + self._start)
        await writer.drain()
        while not writer.is_closing():
            writer.write(self._drip)
            await writer.drain()
            await asyncio.sleep(DRIP_S)

    def _encode_head(self, request: bytes) -> bytes:
        """Return the head of the answer to a request."""
        name = 'x-attempt-id'
        lines = request.decode('latin-1').split('\r\n')
        marks = [line for line in lines if line.lower().startswith(name)]
        fields = (*self._head, *marks, 'x-response-seal: m', '', '')
        return '\r\n'.join(fields).encode()


__all__ = ('DrippingTarget',)
