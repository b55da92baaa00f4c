"""
Draws that a holder has given, so that unanswered ones can be cancelled.

A VM that got no answer to a draw doesn't know whether it was given. Without a
cancellation the tokens would count as spent until the end of the budget.
"""

import collections
import dataclasses

from fuchsiafork.kernel import Clock

# How long a draw can be cancelled after it was given, and how long a
# cancellation is remembered that came before its draw.
RECORD_TTL_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class DrawRecord:
    """
    Tokens transferred to another VM for one draw.

    :ivar recorded_at: time of the transfer, seconds.
    """

    account: str
    tokens: int
    recorded_at: float


class DrawRecords:
    """Recent draws and cancellations of one holder, by the draw's id."""

    def __init__(self, clock: Clock) -> None:
        """Start without draws."""
        self._clock = clock
        self._draws: collections.OrderedDict[str, DrawRecord] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._draws)

    def record(self, draw_id: str, account: str, tokens: int) -> bool:
        """Record a given draw; return False if it was cancelled before."""
        self._remove_expired()
        if draw_id in self._draws:
            return False
        now = self._clock.now()
        self._draws[draw_id] = DrawRecord(account, tokens, now)
        return True

    def cancel(self, draw_id: str) -> DrawRecord | None:
        """Cancel a draw; return it if it was given and not yet cancelled."""
        self._remove_expired()
        given = self._draws.pop(draw_id, None)
        self._draws[draw_id] = DrawRecord('', 0, self._clock.now())
        return given if given is not None and given.tokens else None

    def _remove_expired(self) -> None:
        """Remove old records."""
        oldest_kept = self._clock.now() - RECORD_TTL_S
        while self._draws:
            oldest = next(iter(self._draws.values()))
            if oldest.recorded_at >= oldest_kept:
                return
            self._draws.popitem(last=False)


__all__ = ('DrawRecord', 'DrawRecords')
