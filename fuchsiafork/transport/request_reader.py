"""Reads the requests of one connection, one bounded step after the other."""

import dataclasses
from collections.abc import Callable
from typing import Any

import h11

from fuchsiafork.transport.caller_request import CallerLimits, CallerRequest
from fuchsiafork.transport.chunked_body import (
    BodyLimitError,
    ChunkDecoder,
    ChunkError,
)
from fuchsiafork.transport.line_scanner import BareLineEndError, LineScanner

# A step with more header fields, or more bytes of chunks, is costly.
LIGHT_FIELDS = 100
LIGHT_CHUNK_BYTES = 4096
# Content to come that is worth large reads.
BULK_BYTES = 65_536
# Bytes of chunks that one step decodes.
STEP_BYTES = 16_384
# Parsed header fields that take as long as this many chunks, or bytes of
# chunks.
_CHUNKS_PER_UNIT = 8
_CHUNK_BYTES_PER_UNIT = 1024
_BAD_REQUEST = 400
_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431
_LAST_CHUNK = b'0\r\n'
# The first byte that a request line may begin with; h11 refuses others at once.
_FIRST_PRINTABLE = 0x21


class UnreadableError(Exception):
    """
    A request can't be read.

    :ivar status: status of the refusal.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Keep status and reason."""
        super().__init__(reason)
        self.status = status


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRead:
    """
    The head of a request was read.

    :ivar size: its bytes.
    :ivar fields: number of header fields.
    :ivar length: announced size of the body, None if it comes in chunks.
    :ivar method: method of the request.
    """

    size: int
    fields: int
    length: int | None
    method: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BodyRead:
    """
    A part of the body was read.

    :ivar size: bytes of the body so far.
    """

    size: int


class RequestReader:
    """
    Turns received bytes into requests.

    h11 gets whole heads and parts of bodies only. It validates all of them;
    what it accepts beyond that is refused here: line feeds without a carriage
    return, two kinds of framing in one request, chunks in HTTP/1.0. The fields
    of a large head are kept as received until the body is whole, since they
    take some twenty times the memory as objects.

    :ivar units: work done so far, in units of a ``TurnQueue``.
    """

    def __init__(
        self, parser: h11.Connection, limits: Callable[[], CallerLimits]
    ) -> None:
        """
        Start before the first request.

        :param parser: is also told of the responses, by its user.
        """
        self.units = 0
        self._parser = parser
        self._limits = limits
        self._buffer = bytearray()
        self._scanner = LineScanner()
        # Size of the whole head, or trailer section, at the buffer's start.
        self._section_size = 0
        self._raw_head = b''
        self._head: h11.Request | None = None
        self._fields = 0
        self._body = bytearray()
        self._left = 0
        self._decoder: ChunkDecoder | None = None

    @property
    def unread_bytes(self) -> int:
        """Bytes that were received and belong to no step yet."""
        return len(self._buffer)

    @property
    def kept_bytes(self) -> int:
        """Bytes of the head that are kept, and those that were not read."""
        return len(self._raw_head) + len(self._buffer)

    @property
    def awaits_bulk(self) -> bool:
        """Whether a large part of a body of known length is still to come."""
        return self._left > BULK_BYTES

    def receive(self, data: memoryview) -> None:
        """Keep received bytes; those of a body of known length are read."""
        if self._left and not self._buffer:
            data = data[self._take_content(data) :]
        self._buffer += data

    def discard(self) -> None:
        """Forget all that was received."""
        self._buffer.clear()
        self._body = bytearray()
        self._head, self._raw_head = None, b''

    def is_costly(self) -> bool:
        """
        Return whether the next step takes long.

        :raises UnreadableError: if the next head can't be read.
        """
        if self._parser.their_state is h11.IDLE:
            return self._has_section(self._limits().header_bytes) and (
                self._buffer.count(b'\n', 0, self._section_size) > LIGHT_FIELDS
            )
        if self._parser.their_state is not h11.SEND_BODY:
            return False
        if self._decoder is not None and not self._decoder.ended:
            return len(self._buffer) > LIGHT_CHUNK_BYTES
        # The fields are parsed again at the end of the body.
        return self._head is None and not self._left

    def read(self) -> HeadRead | BodyRead | CallerRequest | None:
        """
        Take the next step; return its outcome, None if bytes are missing.

        :raises UnreadableError: if the request must be refused.
        """
        state = self._parser.their_state
        if state is h11.IDLE:
            return self._read_head()
        if state is not h11.SEND_BODY:
            return None
        if self._decoder is not None:
            return self._read_chunks(self._decoder)
        if self._left:
            return self._read_content()
        return self._finish()

    def _read_head(self) -> HeadRead | None:
        """Read the head of a request."""
        limits = self._limits()
        if not self._has_section(limits.header_bytes):
            return None
        raw = self._take_section()
        self._parser.receive_data(raw)
        head = self._next_event()
        if not isinstance(head, h11.Request):
            raise UnreadableError(_BAD_REQUEST, 'no request')
        length = _body_length(head)
        if length is not None and length > limits.body_bytes:
            raise UnreadableError(_TOO_LARGE, 'the body is over the bound')
        self._fields = len(head.headers)
        self.units += self._fields
        if self._fields <= LIGHT_FIELDS:
            self._head = head
        else:
            self._raw_head = raw
        self._left = length or 0
        self._decoder = None
        if length is None:
            self._decoder = ChunkDecoder(limits.body_bytes)
        return HeadRead(len(raw), self._fields, length, head.method)

    def _read_content(self) -> BodyRead | None:
        """Read a part of a body whose length is known."""
        if not self._buffer:
            return None
        taken = self._take_content(bytes(self._buffer[: self._left]))
        del self._buffer[:taken]
        return BodyRead(len(self._body))

    def _take_content(self, data: bytes | memoryview) -> int:
        """Keep the start of some bytes as content; return its size."""
        content = data[: self._left]
        self._left -= len(content)
        self._keep(content)
        return len(content)

    def _read_chunks(
        self, decoder: ChunkDecoder
    ) -> BodyRead | CallerRequest | None:
        """Read some chunks, or the trailer section after the last one."""
        if decoder.ended:
            return self._read_trailer()
        chunks = decoder.chunks
        size = len(self._buffer)
        try:
            content = decoder.decode(self._buffer, STEP_BYTES)
        except ChunkError as error:
            raise UnreadableError(_BAD_REQUEST, str(error)) from None
        except BodyLimitError as error:
            raise UnreadableError(_TOO_LARGE, str(error)) from None
        consumed = size - len(self._buffer)
        self.units += (decoder.chunks - chunks) // _CHUNKS_PER_UNIT
        self.units += consumed // _CHUNK_BYTES_PER_UNIT
        if not consumed:
            return None
        if content:
            self._keep(content)
        return BodyRead(len(self._body))

    def _read_trailer(self) -> CallerRequest | None:
        """Read the section after the last chunk, which is not passed on."""
        if not self._has_section(self._limits().header_bytes):
            return None
        self._parser.receive_data(_LAST_CHUNK + self._take_section())
        return self._finish()

    def _keep(self, content: bytes | memoryview) -> None:
        """Keep a part of the body."""
        framed: Any = content
        if self._decoder is not None:
            size_line = b'%x\r\n' % len(content)
            framed = b''.join((size_line, content, b'\r\n'))
        self._parser.receive_data(framed)
        if not isinstance(self._next_event(), h11.Data):
            raise UnreadableError(_BAD_REQUEST, 'no part of a body')
        self._body += content

    def _finish(self) -> CallerRequest:
        """Return the whole request."""
        if not isinstance(self._next_event(), h11.EndOfMessage):
            raise UnreadableError(_BAD_REQUEST, 'no end of the body')
        head, raw = self._head, self._raw_head
        if head is None:
            head = _parse_again(raw)
            self.units += self._fields
        request = CallerRequest(
            method=head.method.decode('latin-1'),
            target=head.target.decode('latin-1'),
            headers=tuple(
                (name.decode('latin-1'), value.decode('latin-1'))
                for name, value in head.headers
            ),
            body=bytes(self._body),
        )
        self._head, self._raw_head = None, b''
        self._body = bytearray()
        return request

    def _has_section(self, max_bytes: int) -> bool:
        """
        Return whether a whole section of lines was received.

        :raises UnreadableError: if it is too large or has bare line ends.
        """
        if self._section_size:
            return True
        self._require_printable()
        try:
            self._section_size = self._scanner.find_end(self._buffer)
        except BareLineEndError as error:
            raise UnreadableError(_BAD_REQUEST, str(error)) from None
        if (self._section_size or len(self._buffer)) > max_bytes:
            raise UnreadableError(
                _HEADERS_TOO_LARGE, 'the headers are over the bound'
            )
        return self._section_size > 0

    def _require_printable(self) -> None:
        """
        Check that the first byte may begin a line.

        :raises UnreadableError: if it may not, for example a TLS handshake.
        """
        first = self._buffer[0] if self._buffer else _FIRST_PRINTABLE
        begins = self._parser.their_state is h11.IDLE
        if begins and first < _FIRST_PRINTABLE:
            raise UnreadableError(_BAD_REQUEST, 'illegal request line')

    def _take_section(self) -> bytes:
        """Remove the section at the start of the buffer and return it."""
        size, self._section_size = self._section_size, 0
        section = bytes(memoryview(self._buffer)[:size])
        del self._buffer[:size]
        return section

    def _next_event(self) -> Any:
        """
        Return the parser's next event.

        :raises UnreadableError: if it refuses what it got.
        """
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint or _BAD_REQUEST
            raise UnreadableError(status, str(error)) from None


def _body_length(head: h11.Request) -> int | None:
    """
    Return the announced size of a body, None if it comes in chunks.

    :raises UnreadableError: if the framing is ambiguous (RFC 9112, 6.1).
    """
    length: int | None = None
    chunked = False
    for name, value in head.headers:
        if name == b'content-length':
            length = int(value)
        elif name == b'transfer-encoding':
            chunked = True
    if not chunked:
        return length or 0
    if length is not None:
        raise UnreadableError(_BAD_REQUEST, 'two kinds of framing')
    if head.http_version < b'1.1':
        raise UnreadableError(_BAD_REQUEST, 'chunks in HTTP/1.0')
    return None


def _parse_again(raw: bytes) -> h11.Request:
    """Return a head that was parsed before."""
    parser = h11.Connection(h11.SERVER, len(raw))
    parser.receive_data(raw)
    head = parser.next_event()
    if not isinstance(head, h11.Request):
        raise UnreadableError(_BAD_REQUEST, 'no request')
    return head


__all__ = (
    'LIGHT_FIELDS',
    'BodyRead',
    'HeadRead',
    'RequestReader',
    'UnreadableError',
)
