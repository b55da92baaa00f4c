"""Stand-in of a target in trouble that sends bytes without end."""

import asyncio
import contextlib
from typing import Any

_BLOCK_BYTES = 65_536


class EndlessTarget:
    """
    A target that starts an answer and repeats a block until it is closed.

    :ivar sent_bytes: bytes sent in all.
    :ivar open_connections: connections on which it is still sending.
    """

    def __init__(
        self, target_id: str, service: str, start: bytes, block: bytes
    ) -> None:
        """
        Create a target that doesn't listen yet.

        :param start: first bytes of each answer.
        :param block: bytes that are repeated without end after it.
        """
        self.target_id = target_id
        self.sent_bytes = 0
        self.open_connections = 0
        self._service = service
        self._start = start
        self._blocks = block * max(1, _BLOCK_BYTES // len(block))
        self._listener: asyncio.Server | None = None

    @property
    def entry(self) -> dict[str, Any]:
        """The entry that the target has in the store."""
        if self._listener is None:
            raise RuntimeError('the target does not listen')
        host, port = self._listener.sockets[0].getsockname()
        return {
            'service': self._service,
            'address': f'{host}:{port}',
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldLeftMs': 0,
            'seq': 1,
        }

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, '127.0.0.1', 0)

    def stop(self) -> None:
        """Stop listening; the caller closes its connections."""
        if self._listener is not None:
            self._listener.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send bytes until the caller closes the connection."""
        self.open_connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self._start)
            while not writer.is_closing():
                writer.write(self._blocks)
                await writer.drain()
                self.sent_bytes += len(self._blocks)
                # Lets the gateway of the same process run.
                await asyncio.sleep(0)
        self.open_connections -= 1
        writer.close()
