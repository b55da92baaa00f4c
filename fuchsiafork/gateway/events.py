"""Event streams: whole events, their ids and the tokens they hold."""

import re

from fuchsiafork.router.stream import EventSplitter

_ID = re.compile(rb'^id:[ ]?(\S+)[ ]*\r?$', re.MULTILINE)
_ENDS = re.compile(rb'\r?\n\r?\n')


class EventRelay:
    """
    Passes on whole events and remembers the last one.

    :ivar last_id: id of the last event that was passed on.
    :ivar count: events that were passed on.
    """

    def __init__(self) -> None:
        """Start before the first event."""
        self.last_id = ''
        self.count = 0
        self._splitter = EventSplitter()

    def feed(self, piece: bytes) -> bytes:
        """Return the whole events that a piece completes."""
        whole = self._splitter.feed(piece)
        if whole:
            self.count += len(_ENDS.findall(whole))
            ids = _ID.findall(whole)
            if ids:
                self.last_id = ids[-1].decode('latin-1')
        return whole

    def drain(self) -> bytes:
        """Return the start of an event that is held back."""
        return self._splitter.drain()
