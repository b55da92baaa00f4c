"""The share of a route that a new version may get."""

import dataclasses
import math

# An unproven version may be bad, so this is the most that a bad one costs.
UNPROVEN_SHARE = 0.05
# Without them a sparse route would take minutes to its first observation.
FIRST_REQUESTS = 3
UNPROVEN_IN_FLIGHT = 4
# Evidence of 10 to 1 against the version stops a rise that only time asks.
LOG_DOUBT = math.log(10)
_RISE_FROM = 2 / 3
# The rise ends a little early, so that the deadline finds all traffic moved.
RISE_TO = 0.97
# While an unproven version rises, its trials must find requests of the old
# version to be compared with; otherwise evidence ends as the share grows.
OPEN_TRIALS = 4
# Credit of a version that was not available is not spent in one burst.
_CREDIT_BOUND = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """
    What a share follows from.

    :ivar elapsed: part of the time from start to deadline that has passed.
    :ivar proofs: how many times over the version is proven good.
    :ivar log_evidence: greatest evidence against the version, in the fleet
        or in one failure domain.
    """

    elapsed: float
    proofs: float
    log_evidence: float


def share_of(progress: Progress) -> float:
    """
    Return the largest allowed share.

    Each proof doubles the share. In the last third of the time the share of
    an unproven version rises to all, because unproven does not mean bad.
    """
    doublings = max(0, math.floor(min(progress.proofs, 10)))
    share = min(1.0, UNPROVEN_SHARE * 2**doublings)
    if progress.log_evidence >= LOG_DOUBT:
        return min(share, UNPROVEN_SHARE)
    rise = (progress.elapsed - _RISE_FROM) / (RISE_TO - _RISE_FROM)
    rise = min(1.0, max(0.0, rise))
    return max(share, UNPROVEN_SHARE + (1 - UNPROVEN_SHARE) * rise)


class Credit:
    """Spreads a share evenly over the requests of a route."""

    def __init__(self) -> None:
        """Start with nothing earned."""
        self._earned = 0.0

    def allows(self, draw: float) -> bool:
        """Return whether the next request may go to the version."""
        return self._earned >= draw

    def earn(self, share: float) -> None:
        """Add one request's share."""
        self._earned = min(_CREDIT_BOUND, self._earned + share)

    def spend(self) -> None:
        """Take off one request that went to the version."""
        self._earned -= 1
