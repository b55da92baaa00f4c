"""Callers on the platform, which see every byte of their answers."""

import asyncio
import dataclasses

import h11


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """
    What a caller got.

    :ivar complete: whether the answer ended as a whole one.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """
    One client attempt.

    :ivar extra: further headers, with underscores for hyphens.
    """

    path: str
    host: str = 'shop.example'
    method: str = 'POST'
    body: bytes = b'{}'
    key: str = ''
    request_id: str = 'r-1'
    deadline_ms: str = '5000'
    extra: dict[str, str] = dataclasses.field(default_factory=dict)

    def head(self) -> h11.Request:
        """Return the head of the request."""
        pairs = [
            ('host', self.host),
            ('x-attempt-id', self.request_id),
            ('x-deadline-ms', self.deadline_ms),
            ('content-length', str(len(self.body))),
        ]
        if self.key:
            pairs.append(('authorization', f'Bearer {self.key}'))
        for name, text in self.extra.items():
            pairs.append((name.replace('_', '-'), text))
        return h11.Request(
            method=self.method,
            target=self.path,
            headers=pairs,
        )


async def call_once(port: int, call: Call) -> Reply:
    """Return what a caller gets on a connection of its own."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    parser = h11.Connection(h11.CLIENT)
    events = (call.head(), h11.Data(call.body), h11.EndOfMessage())
    try:
        for event in events:
            writer.write(parser.send(event) or b'')
        return await _read_reply(reader, parser)
    finally:
        writer.close()


async def _read_some(reader: asyncio.StreamReader) -> bytes:
    """Return the next bytes, none at the end or after a reset."""
    try:
        return await reader.read(65_536)
    except ConnectionError:
        return b''


async def _read_reply(
    reader: asyncio.StreamReader,
    parser: h11.Connection,
) -> Reply:
    """Return an answer, also one that breaks off."""
    status = 0
    headers: dict[str, str] = {}
    taken = bytearray()
    while True:
        try:
            event = parser.next_event()
        except h11.RemoteProtocolError:
            return Reply(status, headers, bytes(taken), complete=False)
        if event is h11.NEED_DATA:
            parser.receive_data(await _read_some(reader))
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = {
                name.decode(): text.decode() for name, text in event.headers
            }
        elif isinstance(event, h11.Data):
            taken += event.data
        else:
            whole = isinstance(event, h11.EndOfMessage)
            return Reply(status, headers, bytes(taken), complete=whole)
