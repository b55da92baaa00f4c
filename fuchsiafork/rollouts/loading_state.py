"""State of loads on targets, and leases of target groups."""

import dataclasses
import json
import math
from typing import Any

from fuchsiafork.kernel import Clock

# The keeper that orders loads in a group renews its record during a load. After
# this long without a write another keeper may claim the group.
LEASE_DURATION_S = 15.0
RENEW_INTERVAL_S = 5.0


@dataclasses.dataclass(slots=True)
class LoadTarget:
    """
    A target and the version that it should have.

    :ivar group: group of targets, of which one loads at a time.
    :ivar version: version that it serves according to the last read-back.
    :ivar wanted_version: version that it should serve.
    :ivar artifact: name of the weights or build of the wanted version.
    """

    name: str
    group: str
    version: str
    wanted_version: str
    artifact: str = ''

    @property
    def is_current(self) -> bool:
        """Whether the target serves the wanted version."""
        return self.version == self.wanted_version


@dataclasses.dataclass(slots=True)
class LoadAttempt:
    """
    An attempt of this keeper to load a version on a target.

    :ivar fence: revision of the record ``orders/<target>`` that names the
        order, 0 before it is written.
    :ivar next_step_at: local clock time of the next step, seconds.
    :ivar written_at: time at which the last write of the group's record was
        sent.
    :ivar renewed_at: send time of the last confirmed write of the group's
        record.
    :ivar revision: revision of that write.
    :ivar ordered_at: time at which the order was last sent.
    """

    target: str
    group: str
    order: str
    started_at: float
    next_step_at: float = 0.0
    fence: int = 0
    written_at: float = -math.inf
    renewed_at: float = -math.inf
    revision: int = 0
    ordered_at: float = -math.inf


class Leases:
    """Decides who holds a group's lease without comparing clocks."""

    def __init__(self, clock: Clock) -> None:
        """Start without any known record."""
        self._clock = clock
        # Group -> revision of its record and local time when first seen.
        self._first_seen: dict[str, tuple[int, float]] = {}

    def holds(self, attempt: LoadAttempt) -> bool:
        """Return whether an attempt certainly holds its group's lease."""
        return self._clock.now() - attempt.renewed_at < LEASE_DURATION_S

    def is_free(
        self,
        group: str,
        revision: int,
        record: dict[str, Any],
    ) -> bool:
        """
        Return whether no other keeper holds a group's lease.

        A lease has expired once its record was seen unchanged for the lease
        duration.
        """
        if not record:
            return True
        now = self._clock.now()
        known = self._first_seen.get(group)
        if known is None or known[0] != revision:
            self._first_seen[group] = (revision, now)
            return False
        return now - known[1] >= LEASE_DURATION_S


def encode_order(attempt: LoadAttempt, version: str, wall: float) -> bytes:
    """Return the stored record of an order."""
    record = {
        'order': attempt.order,
        'target': attempt.target,
        'version': version,
        'written': wall,
    }
    return json.dumps(record).encode()


def decode_order(value: bytes | None) -> dict[str, Any]:
    """Return a stored order record, empty if missing or unreadable."""
    try:
        record = json.loads(value or b'{}')
    except ValueError:
        return {}
    return record if isinstance(record, dict) else {}
