"""Targets that load versions, and the lease records of their groups."""

import dataclasses
import json
import math
from typing import Any

from fuchsiafork.kernel import Clock

# An orderer writes its record anew while it loads; after this long without a
# write another one may take the group.
LEASE_S = 15.0
RENEW_S = 5.0


@dataclasses.dataclass(slots=True)
class LoadTarget:
    """
    A target and the version that it should have.

    :ivar group: targets of which one loads at once.
    :ivar version: version that it serves, by the last read-back.
    :ivar wanted: version that it should serve.
    :ivar artifact: name of the weights or build of that version.
    """

    name: str
    group: str
    version: str
    wanted_version: str
    artifact: str = ''

    @property
    def settled(self) -> bool:
        """Whether it serves what it should."""
        return self.version == self.wanted_version


@dataclasses.dataclass(slots=True)
class Attempt:
    """
    This keeper's try to load a version on a target.

    :ivar fence: revision of the record ``orders/<target>`` that names the
        order, 0 before it is written.
    :ivar due: local clock time of the next step, seconds.
    :ivar written: when the last write of the group's record was sent.
    :ivar renewed: send time of its last confirmed write.
    :ivar revision: revision of that write.
    :ivar ordered: when the order was last sent.
    """

    target: str
    group: str
    order: str
    begun: float
    due: float = 0.0
    fence: int = 0
    written: float = -math.inf
    renewed: float = -math.inf
    revision: int = 0
    ordered: float = -math.inf


class Leases:
    """Decides who holds a group, without comparing clocks."""

    def __init__(self, clock: Clock) -> None:
        """Start without having seen a record."""
        self._clock = clock
        # Group -> revision of its record and when that was first seen.
        self._seen: dict[str, tuple[int, float]] = {}

    def holds(self, attempt: Attempt) -> bool:
        """Return whether an attempt's group is its own beyond doubt."""
        return self._clock.now() - attempt.renewed < LEASE_S

    def is_free(
        self,
        group: str,
        revision: int,
        record: dict[str, Any],
    ) -> bool:
        """
        Return whether no other orderer holds a group.

        A record has lapsed once it was seen unchanged for the lease.
        """
        if not record:
            return True
        now = self._clock.now()
        known = self._seen.get(group)
        if known is None or known[0] != revision:
            self._seen[group] = (revision, now)
            return False
        return now - known[1] >= LEASE_S


def encode_order(attempt: Attempt, version: str, wall: float) -> bytes:
    """Return the record that names an order."""
    record = {
        'order': attempt.order,
        'target': attempt.target,
        'version': version,
        'written': wall,
    }
    return json.dumps(record).encode()


def decode_order(value: bytes | None) -> dict[str, Any]:
    """Return an order's record, empty if there is none."""
    try:
        record = json.loads(value or b'{}')
    except ValueError:
        return {}
    return record if isinstance(record, dict) else {}
