"""Finds the end of a section of header lines, and refuses bare line ends."""

import re

_SECTION_END = b'\r\n\r\n'
_LINE_END = b'\r\n'
_BARE_LINE_FEED = re.compile(rb'(?<!\r)\n')


class BareLineEndError(Exception):
    """A line ends with a line feed alone, which h11 would accept."""


class LineScanner:
    """Looks at each byte of a growing buffer once."""

    def __init__(self) -> None:
        """Start at the beginning of a section."""
        self._scanned = 0

    def find_end(self, buffer: bytearray) -> int:
        """
        Return the size of the section with its empty line, 0 if incomplete.

        :param buffer: starts with the section.
        :raises BareLineEndError: if a line feed follows no carriage return.
        """
        if buffer.startswith(_LINE_END):
            return len(_LINE_END)
        start = max(0, self._scanned - len(_SECTION_END) + 1)
        end = buffer.find(_SECTION_END, start)
        stop = len(buffer) if end < 0 else end + len(_SECTION_END)
        if _BARE_LINE_FEED.search(buffer, start, stop):
            raise BareLineEndError('a line ends with a line feed alone')
        if end < 0:
            self._scanned = len(buffer)
            return 0
        self._scanned = 0
        return stop


__all__ = ('BareLineEndError', 'LineScanner')
