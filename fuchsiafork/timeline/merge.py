"""Merges the events of many processes in order, in bounded memory."""

import dataclasses
import heapq

from fuchsiafork.kernel.events import Event

# Filter option -> event fields that it is compared with.
FILTER_FIELDS = {
    'request': ('request_id', 'request'),
    'account': ('account',),
    'version': ('version', 'old', 'new'),
    'target': ('target',),
}


@dataclasses.dataclass(frozen=True, slots=True)
class EventFilter:
    """
    Selects events by field values; an empty value selects all.

    :ivar request: request id.
    """

    request: str = ''
    account: str = ''
    version: str = ''
    target: str = ''

    def matches(self, event: Event) -> bool:
        """Return whether an event matches all non-empty options."""
        for option, names in FILTER_FIELDS.items():
            wanted = getattr(self, option)
            values = {str(event.fields.get(name, '')) for name in names}
            if wanted and wanted not in values:
                return False
        return True


class Merger:
    """
    Buffers events until earlier ones of other processes have arrived.

    :ivar dropped_events: number of events dropped from a full buffer.
    """

    def __init__(self, limit: int, hold_s: float) -> None:
        """Keep at most ``limit`` events, each for ``hold_s`` seconds."""
        self.dropped_events = 0
        self._limit = limit
        self._hold_s = hold_s
        self._sequence_number = 0
        self._heap: list[tuple[object, int, float, Event]] = []

    def add(self, event: Event, now: float) -> None:
        """Add an event; drop the oldest one if the buffer is full."""
        self._sequence_number += 1
        row = (event.stamp, self._sequence_number, now, event)
        heapq.heappush(self._heap, row)
        if len(self._heap) > self._limit:
            heapq.heappop(self._heap)
            self.dropped_events += 1

    def release(self, now: float) -> list[Event]:
        """
        Remove and return, in order, the events that were held long enough.

        Events that arrived later but have an earlier stamp are included.
        """
        latest_arrival = now - self._hold_s
        due = [row for row in self._heap if row[2] <= latest_arrival]
        if not due:
            return []
        last = max(due)
        released = []
        while self._heap and self._heap[0] <= last:
            released.append(heapq.heappop(self._heap)[-1])
        return released
