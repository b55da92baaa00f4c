"""Orders events of many processes in bounded memory."""

import dataclasses
import heapq

from fuchsiafork.kernel.events import Event

# Field of an event -> the option that selects by it.
FILTER_FIELDS = {
    'request': ('request_id', 'request'),
    'account': ('account',),
    'version': ('version', 'old', 'new'),
    'target': ('target',),
}


@dataclasses.dataclass(frozen=True, slots=True)
class EventFilter:
    """
    Which events are wanted; an empty value selects all.

    :ivar request: request id.
    """

    request: str = ''
    account: str = ''
    version: str = ''
    target: str = ''

    def matches(self, event: Event) -> bool:
        """Return whether an event has all the wanted values."""
        for option, names in FILTER_FIELDS.items():
            wanted = getattr(self, option)
            values = {str(event.fields.get(name, '')) for name in names}
            if wanted and wanted not in values:
                return False
        return True


class Merger:
    """
    Holds events back until earlier ones from elsewhere have come.

    :ivar dropped: events left out because the buffer was full.
    """

    def __init__(self, limit: int, hold_s: float) -> None:
        """Keep at most ``limit`` events, each for ``hold_s`` seconds."""
        self.dropped = 0
        self._limit = limit
        self._hold_s = hold_s
        self._numbers = 0
        self._heap: list[tuple[object, int, float, Event]] = []

    def add(self, event: Event, now: float) -> None:
        """Take an event; the oldest one goes when the buffer is full."""
        self._numbers += 1
        row = (event.stamp, self._numbers, now, event)
        heapq.heappush(self._heap, row)
        if len(self._heap) > self._limit:
            heapq.heappop(self._heap)
            self.dropped += 1

    def release(self, now: float) -> list[Event]:
        """
        Return, in order, the events that have been held long enough.

        An event that came later but is earlier by its stamp goes along.
        """
        horizon = now - self._hold_s
        ripe = [row for row in self._heap if row[2] <= horizon]
        if not ripe:
            return []
        last = max(ripe)
        released = []
        while self._heap and self._heap[0] <= last:
            released.append(heapq.heappop(self._heap)[-1])
        return released
