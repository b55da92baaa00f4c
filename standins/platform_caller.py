"""HTTP caller of the platform that also reports truncated answers."""

import asyncio
import dataclasses

import h11

from fuchsiafork.transport.header_encoding import encode_headers


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """
    The answer that a caller received.

    :ivar complete: whether the answer was received to its end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """
    One request of a caller.

    :ivar extra_headers: further headers, with underscores for hyphens.
    """

    path: str
    host: str = 'shop.example'
    method: str = 'POST'
    body: bytes = b'{}'
    key: str = ''
    request_id: str = 'r-1'
    deadline_ms: str = '5000'
    extra_headers: dict[str, str] = dataclasses.field(default_factory=dict)

    def request_head(self) -> h11.Request:
        """Return the request line and the headers."""
        pairs = [
            ('host', self.host),
            ('x-attempt-id', self.request_id),
            ('x-deadline-ms', self.deadline_ms),
            ('content-length', str(len(self.body))),
        ]
        if self.key:
            pairs.append(('authorization', f'Bearer {self.key}'))
        for name, text in self.extra_headers.items():
            pairs.append((name.replace('_', '-'), text))
        return h11.Request(
            method=self.method,
            target=self.path,
            headers=encode_headers(pairs),
        )


async def call_once(port: int, call: Call) -> Reply:
    """Send a request on a new connection and return the answer."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    parser = h11.Connection(h11.CLIENT)
    events = (call.request_head(), h11.Data(call.body), h11.EndOfMessage())
    try:
        for event in events:
            writer.write(parser.send(event) or b'')
        return await _read_reply(reader, parser)
    finally:
        writer.close()


async def _read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next bytes, empty at the end or after a reset."""
    try:
        return await reader.read(65_536)
    except ConnectionError:
        return b''


async def _read_reply(
    reader: asyncio.StreamReader,
    parser: h11.Connection,
) -> Reply:
    """Return an answer, also a truncated one."""
    status = 0
    headers: dict[str, str] = {}
    body = bytearray()
    while True:
        try:
            event = parser.next_event()
        except h11.RemoteProtocolError:
            return Reply(status, headers, bytes(body), complete=False)
        if event is h11.NEED_DATA:
            parser.receive_data(await _read_chunk(reader))
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = {
                name.decode('latin-1'): text.decode('latin-1')
                for name, text in event.headers
            }
        elif isinstance(event, h11.Data):
            body += event.data
        else:
            is_complete = isinstance(event, h11.EndOfMessage)
            return Reply(status, headers, bytes(body), complete=is_complete)
