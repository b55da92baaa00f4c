"""
TCP proxies on loopback that can stop forwarding, to simulate partitions.

A closed proxy keeps its connections but forwards nothing, like a network that
drops packets. Data received in the meantime is forwarded once it is reopened.
"""

import asyncio
import contextlib
import threading

_CHUNK_BYTES = 65536
_START_TIMEOUT_S = 5.0
_STOP_S = 0.05


class LinkProxy:
    """A TCP proxy to one destination."""

    def __init__(self, destination: str) -> None:
        """Create a proxy to ``ip:port`` that doesn't listen yet."""
        self.address = ''
        self._destination = destination
        self._is_open = asyncio.Event()
        self._is_open.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def set_open(self, *, is_open: bool) -> None:
        """Resume or stop forwarding; must be called in the event loop."""
        if is_open:
            self._is_open.set()
        else:
            self._is_open.clear()

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        self._is_open.set()
        for writer in self._writers:
            writer.transport.abort()
        # The tasks of the connections end in the next steps of the loop.
        await asyncio.sleep(_STOP_S)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one connection in both directions until it is closed."""
        self._writers.add(writer)
        try:
            await self._connect(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _connect(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Connect to the destination and forward."""
        await self._is_open.wait()
        host, _, port = self._destination.rpartition(':')
        with contextlib.suppress(OSError):
            remote_reader, remote_writer = await asyncio.open_connection(
                host, port
            )
            await asyncio.gather(
                self._forward(reader, remote_writer),
                self._forward(remote_reader, writer),
            )
        writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward data in one direction while the proxy is open."""
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                await self._is_open.wait()
                writer.write(chunk)
                await writer.drain()
        writer.close()


class LinkProxies:
    """The proxies of a fleet, run by an event loop in a thread."""

    def __init__(self) -> None:
        """Start the event loop thread, without proxies."""
        self._proxies: dict[tuple[str, str], LinkProxy] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever,
            name='gates',
            daemon=True,
        )
        self._thread.start()

    def address(self, source: str, destination: str) -> str:
        """
        Return the address of the proxy from a source to a destination.

        Starts the proxy at the first call. Addresses are ``ip:port``.
        """
        proxy = self._proxies.get((source, destination))
        if proxy is None:
            proxy = self._proxies[source, destination] = LinkProxy(destination)
            started = asyncio.run_coroutine_threadsafe(
                proxy.start(), self._loop
            )
            started.result(_START_TIMEOUT_S)
        return proxy.address

    def set_open(self, source: str, destination: str, *, is_open: bool) -> None:
        """Resume or stop forwarding from a source to a destination."""
        proxy = self._proxies[source, destination]
        self._loop.call_soon_threadsafe(
            lambda: proxy.set_open(is_open=is_open),
        )

    def stop(self) -> None:
        """Close all connections and stop the thread."""
        ended = asyncio.run_coroutine_threadsafe(self._cancel(), self._loop)
        ended.result(_START_TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_START_TIMEOUT_S)

    async def _cancel(self) -> None:
        """Cancel the tasks of all connections."""
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
