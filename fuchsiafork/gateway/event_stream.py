"""Splits event streams into complete events and counts them."""

import re

from fuchsiafork.router.stream import EventSplitter

_EVENT_ID = re.compile(rb'^id:[ ]?(\S+)[ ]*\r?$', re.MULTILINE)
_EVENT_END = re.compile(rb'\r?\n\r?\n')
# A line of an event that is no comment.
_FIELD = re.compile(rb'^[^:\r\n]', re.MULTILINE)


class OversizedEventError(Exception):
    """An event exceeds the size limit, or the bytes are no events."""


class EventStreamParser:
    """
    Splits a stream into complete events and tracks the last one.

    :ivar last_id: id of the last event returned, empty if none had one.
    :ivar event_count: number of events returned, without comments.
    """

    def __init__(self) -> None:
        """Start before the first event."""
        self.last_id = ''
        self.event_count = 0
        self._splitter = EventSplitter()

    def feed(self, chunk: bytes) -> bytes:
        """
        Return the events that a chunk completes.

        :raises OversizedEventError: if no event ends within the size limit.
        """
        events = self._splitter.feed(chunk)
        if self._splitter.split:
            raise OversizedEventError('an event exceeds the size limit')
        if events:
            self.event_count += sum(
                bool(_FIELD.search(event)) for event in _EVENT_END.split(events)
            )
            ids = _EVENT_ID.findall(events)
            if ids:
                self.last_id = ids[-1].decode('latin-1')
        return events

    def discard_partial_event(self) -> bytes:
        """Discard and return the buffered start of an incomplete event."""
        return self._splitter.drain()
