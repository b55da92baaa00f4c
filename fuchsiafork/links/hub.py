"""Registry of open links, and sending and receiving of their frames."""

import asyncio
import contextlib
import dataclasses
import hmac
from collections.abc import Callable

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from fuchsiafork.kernel import HybridClock, Identity
from fuchsiafork.kernel.errors import (
    FuchsiaforkError,
    MessageFormatError,
    UnauthorizedError,
)
from fuchsiafork.messages import Envelope, Hello, decode, encode

SEND_QUEUE_FRAMES = 1024
HELLO_TIMEOUT_S = 5.0
MAX_FRAME_BYTES = 4 << 20


@dataclasses.dataclass(slots=True)
class PeerLink:
    """
    An open link to a peer.

    :ivar hello: hello message that the peer sent.
    :ivar queue: frames to be sent.
    """

    hello: Hello
    connection: Connection
    queue: asyncio.Queue[bytes]


@dataclasses.dataclass(slots=True)
class LinkCounters:
    """Counts of frames and bytes, and of dropped and invalid frames."""

    frames_in: int = 0
    frames_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    dropped: int = 0
    invalid: int = 0


class LinkHub:
    """Runs links, whether this process or the peer opened them."""

    def __init__(
        self,
        identity: Identity,
        hello: Hello,
        clock: HybridClock,
        receive: Callable[[Envelope], None],
    ) -> None:
        """Send ``hello`` on each link; pass messages to ``receive``."""
        self.links: dict[str, PeerLink] = {}
        self.counters = LinkCounters()
        self.on_links_changed: Callable[[], None] = lambda: None
        self._identity = identity
        self._hello = hello
        self._clock = clock
        self._receive = receive

    def send(self, next_hop: str, destination: str, message: object) -> None:
        """Queue a message of this process on the link to ``next_hop``."""
        self.forward(next_hop, destination, message, self._identity.node)

    def forward(
        self,
        next_hop: str,
        destination: str,
        message: object,
        sender: str,
    ) -> None:
        """Queue a message, possibly one of another process, on a link."""
        link = self.links.get(next_hop)
        if link is None:
            self.counters.dropped += 1
            return
        frame = encode(sender, destination, self._clock.tick(), message)
        try:
            link.queue.put_nowait(frame)
        except asyncio.QueueFull:
            # A peer that reads too slowly is treated as lost. The link is
            # reconnected, and resent messages replace the lost ones.
            self.counters.dropped += 1
            self._abort_link(link)

    async def run(self, connection: Connection) -> None:
        """Serve one connection until it closes."""
        await self._send_hello(connection)
        peer = await self._receive_hello(connection)
        queue: asyncio.Queue[bytes] = asyncio.Queue(SEND_QUEUE_FRAMES)
        link = PeerLink(peer, connection, queue)
        self.links[peer.node] = link
        self.on_links_changed()
        sender = asyncio.create_task(self._send_frames(link))
        try:
            await self._read_frames(link)
        finally:
            sender.cancel()
            self._remove_link(link)

    def _remove_link(self, link: PeerLink) -> None:
        """Remove a link unless a newer one to the same node replaced it."""
        if self.links.get(link.hello.node) is link:
            self.links.pop(link.hello.node)
        self.on_links_changed()

    def _abort_link(self, link: PeerLink) -> None:
        """Close a link without waiting for the peer."""
        self._remove_link(link)
        transport = link.connection.transport
        transport.abort()

    async def _send_hello(self, connection: Connection) -> None:
        """Send the hello message of this process."""
        stamp = self._clock.tick()
        frame = encode(self._identity.node, '', stamp, self._hello)
        await connection.send(frame)

    async def _receive_hello(self, connection: Connection) -> Hello:
        """
        Return the hello message of the peer.

        :raises UnauthorizedError: if the peer's token is not the shared one.
        """
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            frame = await connection.recv(decode=False)
        envelope = decode(frame)
        hello = envelope.message
        if not isinstance(hello, Hello):
            raise MessageFormatError(f'expected Hello, got {envelope.kind!r}')
        expected, received = self._hello.token.encode(), hello.token.encode()
        if not hmac.compare_digest(expected, received):
            raise UnauthorizedError(f'wrong link token from {hello.node!r}')
        self._clock.merge(envelope.stamp)
        return hello

    async def _send_frames(self, link: PeerLink) -> None:
        """Send queued frames until the link closes."""
        with contextlib.suppress(ConnectionClosed):
            while True:
                frame = await link.queue.get()
                await link.connection.send(frame)
                self.counters.frames_out += 1
                self.counters.bytes_out += len(frame)

    async def _read_frames(self, link: PeerLink) -> None:
        """Process received frames until the link closes."""
        with contextlib.suppress(ConnectionClosed):
            while True:
                frame = await link.connection.recv(decode=False)
                self.counters.frames_in += 1
                self.counters.bytes_in += len(frame)
                self._process_frame(frame)

    def _process_frame(self, frame: bytes) -> None:
        """Decode a frame and deliver its message; drop an invalid one."""
        try:
            envelope = decode(frame)
        except FuchsiaforkError:
            self.counters.invalid += 1
            return
        self._clock.merge(envelope.stamp)
        if envelope.message is None:
            self.counters.invalid += 1
        else:
            self._receive(envelope)
