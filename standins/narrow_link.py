"""A TCP proxy on loopback with a limited bandwidth."""

import asyncio
import contextlib

from standins.link_proxies import LinkProxy

_CHUNK_BYTES = 16_384


class NarrowLink(LinkProxy):
    """
    Path from one VM to a destination whose answers share a bandwidth.

    :ivar received_bytes: bytes that the destination has sent to the VM.
    """

    def __init__(self, destination: str, bytes_per_s: float) -> None:
        """Create a proxy to ``ip:port`` that doesn't listen yet."""
        super().__init__(destination)
        self.received_bytes = 0
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward data in one direction at the pace of the link."""
        answers = writer in self._writers
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if answers:
                    await self._transfer(len(chunk))
                writer.write(chunk)
                await writer.drain()
        writer.close()

    async def _transfer(self, size: int) -> None:
        """Wait until the link has carried some more bytes."""
        self.received_bytes += size
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self._bytes_per_s
        await asyncio.sleep(self._free_at - now)
