"""Bounded ring of events, the source of the time line."""

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
    Something that happened in one process.

    :ivar number: count of the event in its process, from 1.
    :ivar kind: name of the event, in snake case.
    :ivar fields: details, such as ``request_id`` or ``account``.
    """

    number: int
    stamp: Stamp
    kind: str
    fields: dict[str, Any]


class EventRing:
    """The last events of a process, oldest dropped first."""

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
        """Return the event after adding it to the ring."""
        event = Event(next(self._numbers), self._clock.tick(), kind, fields)
        self._ring.append(event)
        if self._log is not None:
            self._log(kind, **fields)
        return event

    def since(self, number: int) -> list[Event]:
        """Return the events kept that are newer than ``number``."""
        return [event for event in tuple(self._ring) if event.number > number]
