"""When grants may be raised after the store came back from a copy."""

import math

from fuchsiafork.kernel import Clock
from fuchsiafork.prepaid.ledger import Ledger

# Times after a return of the store from a copy in which no grant is raised.
# All live holders write what they know within the first one, unless they are
# cut off; a holder that doesn't write until the second one has ended or is cut
# off, and what others have read of it counts.
MIN_RETURN_WAIT_S = 1.0
MAX_RETURN_WAIT_S = 5.0


class StoreEra:
    """
    The era of the store, and whether its record is complete again.

    :ivar number: number of the store's returns from a copy.
    """

    def __init__(self, clock: Clock) -> None:
        """Start before the era is known."""
        self.number = 0
        self._clock = clock
        self._started_at = clock.now()
        self._returned_at = -math.inf

    def start(self, number: int, *, first: bool) -> None:
        """
        Set the number of the era.

        :param first: whether the process has read no record before.
        """
        if number != self.number and not first:
            self._returned_at = self._clock.now()
        self.number = number

    def is_settled(self, ledger: Ledger, live_holders: list[str]) -> bool:
        """Return whether the holders have written since the store returned."""
        now = self._clock.now()
        if now - self._returned_at < MIN_RETURN_WAIT_S:
            return False
        waited_s = now - max(self._returned_at, self._started_at)
        return waited_s >= MAX_RETURN_WAIT_S or all(
            ledger.holders[name].era == self.number for name in live_holders
        )


__all__ = ('StoreEra',)
