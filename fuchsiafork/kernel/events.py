"""Ring buffer of events, from which operators build a time line."""

import collections
import dataclasses
import itertools
from collections.abc import Callable
from typing import Any

from fuchsiafork.kernel.hlc import HybridClock, Stamp

DEFAULT_CAPACITY = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """
    An event in one process.

    :ivar number: sequence number in the process, from 1.
    :ivar stamp: hybrid logical time of the event.
    :ivar kind: name of the event, in snake case.
    :ivar fields: details, such as ``request_id`` or ``account``.
    """

    number: int
    stamp: Stamp
    kind: str
    fields: dict[str, Any]


class EventRing:
    """The most recent events of a process; the oldest are dropped first."""

    def __init__(
        self,
        clock: HybridClock,
        capacity: int = DEFAULT_CAPACITY,
        log: Callable[..., Any] | None = None,
    ) -> None:
        """Keep ``capacity`` events and pass each to ``log``, if given."""
        self._clock = clock
        self._numbers = itertools.count(1)
        self._ring: collections.deque[Event] = collections.deque(
            maxlen=capacity,
        )
        self._log = log

    def record(self, kind: str, **fields: Any) -> Event:
        """Add an event to the ring, log it and return it."""
        event = Event(next(self._numbers), self._clock.tick(), kind, fields)
        self._ring.append(event)
        if self._log is not None:
            self._log(kind, **fields)
        return event

    def since(self, number: int) -> list[Event]:
        """Return the buffered events with a number above ``number``."""
        return [event for event in tuple(self._ring) if event.number > number]
