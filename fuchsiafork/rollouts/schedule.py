"""Computes the share of a route's requests that a new version may get."""

import dataclasses
import math

# An unproven version may be bad, so this bounds the share of requests that a
# bad version can fail.
UNPROVEN_SHARE = 0.05
# Requests sent to the new version regardless of credit. Without them a route
# with little traffic would take minutes to get its first observation.
INITIAL_REQUESTS = 3
MAX_UNPROVEN_IN_FLIGHT = 4
# Evidence of 10 to 1 against the version holds its share at the share of an
# unproven version: neither proofs nor the time-based ramp raise it.
LOG_STOP_RAMP = math.log(10)
# Parts of the time from start to deadline between which an unproven version's
# share ramps up. The ramp ends before the deadline, so that all traffic has
# moved by then.
_RAMP_START = 2 / 3
RAMP_END = 0.97
# With this many trials not yet compared, an unproven version gets no share
# until the ramp ends: trials need requests of the old version to be compared
# with, and a growing share leaves fewer of those.
MAX_OPEN_TRIALS = 4
# Bounds the burst of requests after a time in which the version was not
# available.
_MAX_CREDIT = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """
    Inputs of the allowed share.

    :ivar elapsed: elapsed part of the time from start to deadline.
    :ivar proof_ratio: evidence that the version is good, as a multiple of
        the evidence that proves it; at least 1 for a proven version.
    :ivar log_evidence: greatest evidence against the version, in the fleet
        or in one failure domain.
    """

    elapsed: float
    proof_ratio: float
    log_evidence: float


def allowed_share(progress: Progress) -> float:
    """
    Return the largest allowed share.

    Each whole multiple of the proof ratio doubles the share. In the last third
    of the time the share of an unproven version ramps up to 1, because unproven
    does not mean bad.
    """
    doublings = max(0, math.floor(min(progress.proof_ratio, 10)))
    share = min(1.0, UNPROVEN_SHARE * 2**doublings)
    if progress.log_evidence >= LOG_STOP_RAMP:
        return min(share, UNPROVEN_SHARE)
    ramp = (progress.elapsed - _RAMP_START) / (RAMP_END - _RAMP_START)
    ramp = min(1.0, max(0.0, ramp))
    return max(share, UNPROVEN_SHARE + (1 - UNPROVEN_SHARE) * ramp)


class Credit:
    """Distributes a share evenly over the requests of a route."""

    def __init__(self) -> None:
        """Start without credit."""
        self._earned = 0.0

    def allows(self, threshold: float) -> bool:
        """Return whether the credit reaches a threshold."""
        return self._earned >= threshold

    def earn(self, share: float) -> None:
        """Add the share in force for one request of the route."""
        self._earned = min(_MAX_CREDIT, self._earned + share)

    def spend(self) -> None:
        """Deduct one request that was sent to the version."""
        self._earned -= 1
