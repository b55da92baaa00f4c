"""A model replica that streams events, and may crash and come back."""

import asyncio
import time

from harness import entry, read_request


class Replica:
    """
    One replica behind a fixed loopback address.

    :ivar arrivals: pairs of seconds and request id, in order.
    """

    def __init__(self, site, replica_id, service, zone, events=5, gap_s=0.02):
        self.site, self.replica_id = site, replica_id
        self.service, self.zone = service, zone
        self.events, self.gap_s = events, gap_s
        self.arrivals = []
        self.lives = 0
        self.crashes = 0
        self.port = 0
        self.up = False
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen, and register as a new lifetime."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.up = True
        self.lives += 1
        self.site.store.put(
            f'servers/{self.replica_id}',
            entry(self.service, f'127.0.0.1:{self.port}', self.zone),
        )

    def crash(self):
        """End at once: all channels are reset, and nobody listens."""
        self.up = False
        self.crashes += 1
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def restart_later(self, seconds):
        """Come back as a new lifetime."""
        await asyncio.sleep(seconds)
        await self.start()
        self.site.record(f'{self.replica_id} is back')

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not self.up:
                    return
                await self._answer(request, writer)
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, request, writer):
        first, headers, _ = request
        request_id = headers.get('x-attempt-id', '')
        if headers.get('x-expect-instance') != self.replica_id:
            writer.write(
                b'HTTP/1.1 421 Misdirected\r\nx-instance-id: '
                + self.replica_id.encode() + b'\r\ncontent-length: 0\r\n\r\n'
            )
            return
        self.arrivals.append((time.monotonic(), request_id))
        await self.run(request_id, headers, writer)

    async def run(self, request_id, headers, writer):
        """Stream the answer."""
        await asyncio.sleep(0.05)
        self.write_head(request_id, writer)
        for number in range(1, self.events + 1):
            self.write_event(number, writer)
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    def write_head(self, request_id, writer):
        """Write the head of an answer."""
        writer.write(
            'HTTP/1.1 200 OK\r\n'
            f'x-attempt-id: {request_id}\r\n'
            f'x-response-seal: seal-{request_id}\r\n'
            'content-type: text/event-stream\r\n'
            'transfer-encoding: chunked\r\n\r\n'.encode()
        )

    def write_event(self, number, writer):
        """Write one event of an answer."""
        event = f'id: {number}\ndata: {"x" * 55}\n\n'.encode()
        writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
