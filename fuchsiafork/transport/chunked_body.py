"""Decodes request bodies in chunks, strictly and at a bounded cost."""

import re

# Bytes that the size lines of a body may have beyond one hexadecimal digit for
# each four bits: chunk extensions, leading zeros and spaces. Each such line is
# decoded by itself, at some ten times the cost of a short one.
MAX_OVERHEAD_BYTES = 16_384
# Longest size line: a size of 20 digits and an extension.
MAX_LINE_BYTES = 4096

_CRLF = b'\r\n'
# As h11 reads size lines, without control characters in extensions.
_SIZE_LINE = re.compile(
    rb'([0-9A-Fa-f]{1,20})(;[\t\x20-\x7e\x80-\xff]*)?[ \t]*\r\n'
)
# A size line of a small chunk without anything else.
_PLAIN_SIZE_LINE = re.compile(rb'([1-9A-Fa-f][0-9A-Fa-f]?)\r\n')
# Largest chunk whose size is one hexadecimal digit.
_MAX_DIGIT = 15
_BITS_PER_DIGIT = 4
# Largest chunks that are compared all at once, and how many make it worth it.
_MAX_EVEN = 64
_MIN_EVEN = 16
# Sizes by how size lines usually have them; looking them up takes half of the
# time of the regular expression.
_SIZES = {
    spelling % size: size
    for size in range(1, 4096)
    for spelling in (b'%x', b'%X')
}
_MAX_KNOWN_LINE = 5
# Chunks that are decoded one by one before quicker ways are tried again.
_MAX_IN_ROW = 32


class ChunkError(Exception):
    """A body in chunks is malformed."""


class BodyLimitError(Exception):
    """A body in chunks exceeds the limit."""


def _one_of(digit: int) -> bytes:
    """Return a pattern for a hexadecimal digit in both cases."""
    return b'[%x%X]' % (digit, digit)


def _short_chunks() -> tuple[re.Pattern[bytes], re.Pattern[bytes]]:
    """
    Return patterns for chunks of up to 15 bytes.

    Many small chunks are decoded in two passes of the regular expression
    engine, some 8 times as fast as one by one.

    :return: a pattern that matches as many chunks as follow one another, and
        one that matches a chunk and captures its content.
    """
    sizes = range(1, _MAX_DIGIT + 1)
    whole = (b'%s\r\n.{%d}\r\n' % (_one_of(size), size) for size in sizes)
    contents = (b'(?<=%s\r\n).{%d}' % (_one_of(size), size) for size in sizes)
    return (
        re.compile(b'(?s)(?:%s)+' % b'|'.join(whole)),
        re.compile(b'(?s)[1-9A-Fa-f]\r\n(%s)\r\n' % b'|'.join(contents)),
    )


_SHORT_RUN, _SHORT_CHUNK = _short_chunks()


class ChunkDecoder:
    """
    Decodes the chunks of one body up to its last, empty one.

    :ivar ended: whether the last chunk's size line was read; the trailer
        section follows it.
    :ivar chunks: number of chunks that were decoded, parts of chunks included.
    """

    def __init__(self, max_bytes: int) -> None:
        """
        Start before the first chunk.

        :param max_bytes: largest size of the content.
        """
        self.ended = False
        self.chunks = 0
        self._max_bytes = max_bytes
        self._size = 0
        self._overhead = 0
        # Bytes of the current chunk that are still to come, None between two
        # chunks; 0 if only its line end is missing.
        self._left: int | None = None

    def decode(self, buffer: bytearray, max_bytes: int) -> bytes:
        """
        Remove framing from the start of a buffer and return the content.

        What is incomplete stays in the buffer.

        :param max_bytes: bytes of the buffer to look at in this call.
        :raises ChunkError: if the framing is malformed.
        :raises BodyLimitError: if the content is larger than allowed.
        """
        data = bytes(memoryview(buffer)[:max_bytes])
        contents: list[bytes] = []
        position, end = 0, -1
        while position < len(data) and position != end and not self.ended:
            end = position
            position = self._step(data, position, contents)
        del buffer[:position]
        return b''.join(contents)

    def _step(self, data: bytes, start: int, contents: list[bytes]) -> int:
        """Decode what begins at a position; return where it ends."""
        if self._left:
            return self._take_content(data, start, contents)
        if self._left is not None:
            return self._take_line_end(data, start)
        for take in (self._take_even, self._take_short, self._take_whole):
            end = take(data, start, contents)
            if end > start:
                return end
        return self._take_size_line(data, start)

    def _take_even(self, data: bytes, start: int, contents: list[bytes]) -> int:
        """
        Decode small chunks whose size lines are all the same.

        Compares each byte of the framing in all chunks at once.
        """
        line = _PLAIN_SIZE_LINE.match(data, start)
        if line is None:
            return start
        size = int(line[1], 16)
        ahead = line.end() - start
        step = ahead + size + len(_CRLF)
        count = (len(data) - start) // step
        if size > _MAX_EVEN:
            return start
        framing = list(enumerate(line[0]))
        framing += [(step - 2, _CRLF[0]), (step - 1, _CRLF[1])]
        for offset, byte in framing:
            if count < _MIN_EVEN:
                return start
            column = data[start + offset : start + count * step : step]
            count -= len(column.lstrip(bytes((byte,))))
        if count < _MIN_EVEN:
            return start
        content = bytearray(size * count)
        end = start + count * step
        for offset in range(size):
            content[offset::size] = data[start + ahead + offset : end : step]
        self._count(len(content), count)
        contents.append(bytes(content))
        return end

    def _take_short(
        self, data: bytes, start: int, contents: list[bytes]
    ) -> int:
        """Decode chunks of up to 15 bytes that follow one another."""
        run = _SHORT_RUN.match(data, start)
        if run is None:
            return start
        found = _SHORT_CHUNK.findall(data, run.start(), run.end())
        content = b''.join(found)
        self._count(len(content), len(found))
        contents.append(content)
        return run.end()

    def _take_whole(
        self, data: bytes, start: int, contents: list[bytes]
    ) -> int:
        """
        Decode some chunks of any size one by one, as far as they are whole.

        :raises ChunkError: if one is longer than its size.
        """
        position = start
        before = len(contents)
        total = 0
        for _ in range(_MAX_IN_ROW):
            content_at, size = self._read_size(data, position)
            end = content_at + size
            after = data[end : end + len(_CRLF)]
            if not size or len(after) < len(_CRLF):
                break
            if after != _CRLF:
                raise ChunkError('a chunk is longer than its size')
            contents.append(data[content_at:end])
            position = end + len(_CRLF)
            total += size
        self._count(total, len(contents) - before)
        return position

    def _read_size(self, data: bytes, start: int) -> tuple[int, int]:
        """Return where a chunk's content begins, and its size, 0 if unknown."""
        line_end = data.find(_CRLF, start, start + _MAX_KNOWN_LINE)
        if line_end > start:
            size = _SIZES.get(data[start:line_end], 0)
            if size:
                return line_end + len(_CRLF), size
        line = _SIZE_LINE.match(data, start)
        if line is None:
            return start, 0
        size = int(line[1], 16)
        if line.end() + size + len(_CRLF) <= len(data):
            self._count_overhead(line.end() - start, size)
        return line.end(), size

    def _take_size_line(self, data: bytes, start: int) -> int:
        """
        Read the size of a chunk.

        :raises ChunkError: if it can't be read.
        """
        line = _SIZE_LINE.match(data, start)
        if line is None:
            self._require_line_to_come(data, start)
            return start
        size = int(line[1], 16)
        self._count_overhead(line.end() - start, size)
        self._count(size, 1)
        if size:
            self._left = size
        else:
            self.ended = True
        return line.end()

    def _take_content(
        self, data: bytes, start: int, contents: list[bytes]
    ) -> int:
        """Take content of the current chunk."""
        left = self._left or 0
        content = data[start : start + left]
        contents.append(content)
        self._left = left - len(content)
        return start + len(content)

    def _take_line_end(self, data: bytes, start: int) -> int:
        """
        Read the line end after the content of a chunk.

        :raises ChunkError: if something else follows.
        """
        found = data[start : start + len(_CRLF)]
        if not _CRLF.startswith(found):
            raise ChunkError('a chunk is longer than its size')
        if len(found) < len(_CRLF):
            return start
        self._left = None
        return start + len(_CRLF)

    def _require_line_to_come(self, data: bytes, start: int) -> None:
        """
        Check that bytes may be the start of a size line.

        :raises ChunkError: if they aren't.
        """
        line = data[start : start + MAX_LINE_BYTES]
        incomplete = line.removesuffix(b'\r') + _CRLF
        valid = _SIZE_LINE.fullmatch(incomplete) is not None
        if not valid or len(line) == MAX_LINE_BYTES:
            raise ChunkError('the size of a chunk can not be read')

    def _count(self, size: int, chunks: int) -> None:
        """
        Count content that was received or announced.

        :raises BodyLimitError: if it is larger than allowed.
        """
        self.chunks += chunks
        self._size += size
        if self._size > self._max_bytes:
            raise BodyLimitError('the body exceeds the limit')

    def _count_overhead(self, length: int, size: int) -> None:
        """
        Count what a size line has beyond the digits that it needs.

        :param length: length of the line with its end.
        :raises ChunkError: if all lines together have too much.
        """
        digits = max(1, (size.bit_length() + 3) // _BITS_PER_DIGIT)
        self._overhead += length - digits - len(_CRLF)
        if self._overhead > MAX_OVERHEAD_BYTES:
            raise ChunkError('too many chunk extensions')


__all__ = ('BodyLimitError', 'ChunkDecoder', 'ChunkError')
