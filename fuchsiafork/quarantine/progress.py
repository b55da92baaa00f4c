"""How far answers had got, and up to where that shows a part to be harmless."""

import dataclasses
import math

# An event arrives some time before the end of its target is seen, and a target
# that is about to end may be faster or slower than another one. A stream shows
# its parts to be harmless only up to this share of its own length,
LEAD_SHARE = 2 / 3
# less these margins.
LEAD_EVENTS = 3
LEAD_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """
    How far the answer of one target to one request had got.

    Only what that target sent counts: a resumed stream starts anew.

    :ivar events: events of the stream, 0 for an answer of another kind.
    :ivar seconds: time since the request was sent.
    """

    events: int = 0
    seconds: float = 0.0

    def covers(self, other: 'Progress') -> bool:
        """Return whether another answer had got no further."""
        return self.events >= other.events and self.seconds >= other.seconds

    def join(self, other: 'Progress') -> 'Progress':
        """Return the further one of both in events, and in time."""
        return Progress(
            max(self.events, other.events), max(self.seconds, other.seconds)
        )


# Before the first event.
START = Progress()
UNLIMITED_EVENTS = 2**31 - 1
# Covers the end of a target at any place of an answer.
EVERYTHING = Progress(events=UNLIMITED_EVENTS, seconds=math.inf)


def proven_by_whole_answer(events: int) -> Progress:
    """
    Return up to where an answer shows that its parts are harmless.

    Its target has sent the answer to its end, and lives on. A longer answer
    may still end a target, at a place that this one didn't reach.

    :param events: events of the answer, 0 for one that is no stream.
    """
    return Progress(events, math.inf)


def proven_by_event(progress: Progress) -> Progress:
    """
    Return up to where a stream that goes on shows its parts to be harmless.

    An event shows that the target lived when it wrote it, and so has passed
    the places that lie well before.
    """
    events = int(progress.events * LEAD_SHARE) - LEAD_EVENTS
    return Progress(events, progress.seconds * LEAD_SHARE - LEAD_S)


__all__ = (
    'EVERYTHING',
    'START',
    'UNLIMITED_EVENTS',
    'Progress',
    'proven_by_event',
    'proven_by_whole_answer',
)
