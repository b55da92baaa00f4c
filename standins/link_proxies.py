"""
Forwarding sockets on loopback that can be shut, to cut links.

A shut gate keeps its connections and passes nothing on, as a network does
that drops packets; what waits in it arrives late when it opens again.
"""

import asyncio
import contextlib
import threading

_CHUNK_BYTES = 65536
_START_TIMEOUT_S = 5.0


class Gate:
    """One forwarding socket."""

    def __init__(self, target: str) -> None:
        """Forward to ``ip:port`` once served."""
        self.address = ''
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def switch(self, *, is_open: bool) -> None:
        """Open or shut the gate; runs in the event loop."""
        if is_open:
            self._open.set()
        else:
            self._open.clear()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Carry one connection until either side closes."""
        await self._open.wait()
        host, _, port = self._target.rpartition(':')
        with contextlib.suppress(OSError):
            far_reader, far_writer = await asyncio.open_connection(host, port)
            await asyncio.gather(
                self._pump(reader, far_writer),
                self._pump(far_reader, writer),
            )
        writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Pass on what arrives while the gate is open, until the end."""
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                await self._open.wait()
                writer.write(chunk)
                await writer.drain()
        writer.close()


class Gates:
    """All gates of a fleet, in one thread with an event loop."""

    def __init__(self) -> None:
        """Start the thread; there is no gate yet."""
        self._gates: dict[tuple[str, str], Gate] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever,
            name='gates',
            daemon=True,
        )
        self._thread.start()

    def address(self, source: str, target: str) -> str:
        """Return where a source reaches a target, ``ip:port`` each."""
        gate = self._gates.get((source, target))
        if gate is None:
            gate = self._gates[source, target] = Gate(target)
            started = asyncio.run_coroutine_threadsafe(gate.start(), self._loop)
            started.result(_START_TIMEOUT_S)
        return gate.address

    def switch(self, source: str, target: str, *, is_open: bool) -> None:
        """Open or shut the way from a source to a target."""
        gate = self._gates[source, target]
        self._loop.call_soon_threadsafe(
            lambda: gate.switch(is_open=is_open),
        )

    def stop(self) -> None:
        """Close everything."""
        ended = asyncio.run_coroutine_threadsafe(self._cancel(), self._loop)
        ended.result(_START_TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_START_TIMEOUT_S)

    async def _cancel(self) -> None:
        """End all connections and sockets."""
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
