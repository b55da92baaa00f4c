"""The targets of all services, and what this process has seen of them."""

import dataclasses
import math

# A target that refused or lost a connection is left alone for this long at
# first; the time doubles with each further failure.
PAUSE_S = 0.5
LONGEST_PAUSE_S = 4.0
# Weight of the newest answer in the share of failures.
FAILURE_WEIGHT = 0.25
# Time in which an entry that lapsed while the store was away comes back.
RETURN_S = 1.8


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """
    One replica, as it registered itself.

    :ivar address: IP:PORT.
    :ivar leaving: whether it wants no new requests.
    :ivar born_ms: Unix milliseconds of its start, 0 if it doesn't say.
    """

    target_id: str
    service: str
    address: str
    domain: str
    version: str
    slots: int
    leaving: bool = False
    born_ms: int = 0


@dataclasses.dataclass(slots=True)
class TargetRow:
    """
    A target with the load and the failures that this process has seen.

    :ivar in_flight: requests of this process at the target.
    :ivar failing: share of failed answers, exponentially weighted.
    :ivar avoid_until: time before which it gets no request, seconds.
    :ivar remove_at: time at which it is forgotten unless its entry is back.
    """

    target: Target
    in_flight: int = 0
    failing: float = 0.0
    pauses: int = 0
    avoid_until: float = -math.inf
    remove_at: float | None = None

    def note_answer(self, *, failed: bool) -> None:
        """Count an answer."""
        self.failing += FAILURE_WEIGHT * (failed - self.failing)
        if not failed:
            self.pauses = 0

    def note_unreachable(self, now: float) -> None:
        """Leave the target alone for a while."""
        if now < self.avoid_until:
            return
        pause = min(LONGEST_PAUSE_S, PAUSE_S * 2**self.pauses)
        self.pauses = min(self.pauses + 1, 8)
        self.avoid_until = now + pause


class TargetTable:
    """Rows by target id."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[str, TargetRow] = {}

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self._rows)

    def rows(self) -> tuple[TargetRow, ...]:
        """Return the rows of all targets."""
        return tuple(self._rows.values())

    def get(self, target_id: str) -> TargetRow | None:
        """Return the row of a target."""
        return self._rows.get(target_id)

    def put(self, target: Target) -> None:
        """Add a target or take over what changed; a new start is a new one."""
        row = self._rows.get(target.target_id)
        if row is None or _is_restarted(row.target, target):
            self._rows[target.target_id] = TargetRow(target)
        else:
            row.target = target
            row.remove_at = None

    def ids(self) -> tuple[str, ...]:
        """Return the ids of all targets."""
        return tuple(self._rows)

    def remove(self, target_id: str, now: float | None = None) -> None:
        """
        Forget a target.

        :param now: the time, if its entry may be back soon; the target is
            then forgotten only if it isn't.
        """
        row = self._rows.get(target_id)
        if row is None:
            return
        if now is None or row.target.leaving:
            self._rows.pop(target_id)
        elif row.remove_at is None:
            row.remove_at = now + RETURN_S

    def expire(self, now: float) -> list[str]:
        """Return the targets whose entries did not come back in time."""
        gone = [
            target_id
            for target_id, row in self._rows.items()
            if row.remove_at is not None and now >= row.remove_at
        ]
        for target_id in gone:
            self._rows.pop(target_id)
        return gone

    def of_service(self, service: str) -> list[TargetRow]:
        """Return the targets of a service that take new requests."""
        return [
            row
            for row in self._rows.values()
            if row.target.service == service and not row.target.leaving
        ]


def _is_restarted(old: Target, new: Target) -> bool:
    """Return whether a target has started anew under its id."""
    return (old.born_ms, old.address) != (new.born_ms, new.address)
