"""The states of a target, and the sources that tell of them."""

import dataclasses
import enum
import math


class Availability(enum.Enum):
    """
    Whether a target takes requests.

    ACCEPTING it does; PAUSED not before a time; LEAVING not again before
    another start of it; GONE its entry was removed or replaced.
    """

    ACCEPTING = 'accepting'
    PAUSED = 'paused'
    LEAVING = 'leaving'
    GONE = 'gone'


class Source(enum.Enum):
    """Who tells of a target."""

    REGISTRY = 'registry'
    ANSWER = 'answer'
    REFUSAL = 'refusal'
    CONNECTION = 'connection'
    LIMIT = 'limit'


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """
    The state of a target.

    :ivar source: who told of it.
    :ivar since: time at which it was told, seconds; -inf if at no time.
    :ivar until: end of a pause, seconds; inf if none is known.
    """

    availability: Availability
    source: Source = Source.REGISTRY
    since: float = -math.inf
    until: float = math.inf

    @property
    def accepting(self) -> bool:
        """Whether the target takes requests."""
        return self.availability is Availability.ACCEPTING

    @property
    def final(self) -> bool:
        """Whether only another start of the target can end the state."""
        return self.availability in {Availability.LEAVING, Availability.GONE}


__all__ = ('Availability', 'Source', 'Status')
