"""The states of a target, and the sources of the reports on it."""

import dataclasses
import enum
import math


class Availability(enum.Enum):
    """
    Whether a target accepts requests.

    PAUSED: not before a time. LEAVING: not before it restarts. GONE: its entry
    was removed or replaced.
    """

    ACCEPTING = 'accepting'
    PAUSED = 'paused'
    LEAVING = 'leaving'
    GONE = 'gone'


class Source(enum.Enum):
    """Who reported on a target."""

    REGISTRY = 'registry'
    ANSWER = 'answer'
    REFUSAL = 'refusal'
    CONNECTION = 'connection'
    LIMIT = 'limit'


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """
    The state of a target.

    :ivar source: who reported it.
    :ivar since: time of the report, seconds; -inf if there is none.
    :ivar until: end of a pause, seconds; inf if none is known.
    """

    availability: Availability
    source: Source = Source.REGISTRY
    since: float = -math.inf
    until: float = math.inf

    @property
    def accepting(self) -> bool:
        """Whether the target accepts requests."""
        return self.availability is Availability.ACCEPTING


__all__ = ('Availability', 'Source', 'Status')
