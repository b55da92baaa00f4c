"""The targets of all services, with the load and failures observed."""

import collections
import dataclasses
import math

from fuchsiafork.availability import AvailabilityRecord

# Weight of the newest attempt in the average of failures.
FAILURE_EWMA_WEIGHT = 0.25
# Records of removed targets, whose entries may come back with a copy of the
# store.
MAX_FORMER_RECORDS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """
    One replica of a service, as registered in the store.

    :ivar address: IP:PORT.
    :ivar leaving: whether the entry says that it accepts no new requests.
    :ivar started_unix_ms: start time in Unix milliseconds, 0 if unknown.
    """

    target_id: str
    service: str
    address: str
    domain: str
    version: str
    slots: int
    leaving: bool = False
    started_unix_ms: int = 0

    @property
    def lifetime(self) -> str:
        """Id of one start of the target."""
        return f'{self.target_id}@{self.started_unix_ms}'


@dataclasses.dataclass(slots=True)
class TargetState:
    """
    A target with the load and the failures observed by this process.

    :ivar availability: what is known of this start of the target.
    :ivar known_since: time at which this start of it became known, seconds.
    :ivar in_flight: requests from this process that the target is serving.
    :ivar failure_share: exponentially weighted share of attempts that failed
        through the target's fault.
    :ivar omits_request_ids: whether it has sent an answer without the id of
        its request, which only a new connection shows to belong to it.
    """

    target: Target
    availability: AvailabilityRecord = dataclasses.field(
        default_factory=AvailabilityRecord
    )
    known_since: float = -math.inf
    in_flight: int = 0
    failure_share: float = 0.0
    omits_request_ids: bool = False

    @property
    def ready_since(self) -> float:
        """Time at which the target started, or last accepted requests again."""
        return max(self.known_since, self.availability.returned_at)

    def record_attempt(self, *, failed: bool) -> None:
        """Update the failure share with the outcome of an attempt."""
        self.failure_share += FAILURE_EWMA_WEIGHT * (
            failed - self.failure_share
        )
        if not failed:
            self.availability.reset_backoff()


class TargetTable:
    """Target states by target id."""

    def __init__(self) -> None:
        """Start empty."""
        self._states: dict[str, TargetState] = {}
        # Records of removed targets by lifetime, oldest first.
        self._former: collections.OrderedDict[str, AvailabilityRecord] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self._states)

    def states(self) -> tuple[TargetState, ...]:
        """Return the states of all targets."""
        return tuple(self._states.values())

    def get(self, target_id: str) -> TargetState | None:
        """Return the state of a target, None if it is unknown."""
        return self._states.get(target_id)

    def upsert(self, target: Target, now: float) -> None:
        """Add or update a target; a restarted one gets a new state."""
        state = self._states.get(target.target_id)
        if state is not None and _is_restarted(state.target, target):
            self._retire(state, now)
            state = None
        if state is None:
            record = self._former.pop(target.lifetime, None)
            state = TargetState(
                target, record or _make_record(target), known_since=now
            )
            self._states[target.target_id] = state
        state.target = target
        state.availability.record_entry(now, leaving=target.leaving)

    def is_outdated(self, target: Target) -> bool:
        """Return whether a later start of the target was known."""
        starts = [0]
        for lifetime in self._former:
            target_id, _, start = lifetime.rpartition('@')
            if target_id == target.target_id:
                starts.append(int(start))
        state = self._states.get(target.target_id)
        if state is not None:
            starts.append(state.target.started_unix_ms)
        return 0 < target.started_unix_ms < max(starts)

    def ids(self) -> tuple[str, ...]:
        """Return the ids of all targets."""
        return tuple(self._states)

    def remove(
        self, target_id: str, now: float, *, may_return: bool = False
    ) -> None:
        """
        Remove a target, at once or after a grace period.

        :param may_return: whether the target may register again soon; it is
            then removed only after the grace period, unless it is leaving.
        """
        state = self._states.get(target_id)
        if state is None:
            return
        if state.availability.leaving or not may_return:
            self._retire(state, now)
        else:
            state.availability.record_lapse(now)

    def remove_expired(self, now: float) -> list[str]:
        """Remove targets that did not register again; return their ids."""
        expired = [
            state
            for state in self._states.values()
            if state.availability.gone(now)
        ]
        for state in expired:
            self._retire(state, now)
        return [state.target.target_id for state in expired]

    def _retire(self, state: TargetState, now: float) -> None:
        """Remove a state; requests that wait for its target notice."""
        self._states.pop(state.target.target_id)
        record = state.availability
        record.record_removal(now)
        self._keep_record(state.target, record, now)

    def _keep_record(
        self, target: Target, record: AvailabilityRecord, now: float
    ) -> None:
        """Keep the record of a removed target if its entry may come back."""
        if record.gone(now) and record.outlasts_entry(now):
            self._former[target.lifetime] = record
        if len(self._former) > MAX_FORMER_RECORDS:
            self._former.popitem(last=False)

    def is_replaced(self, target: Target) -> bool:
        """Return whether another target has registered at an address."""
        return any(
            state.target.address == target.address
            and state.target.target_id != target.target_id
            and state.target.started_unix_ms >= target.started_unix_ms
            for state in self._states.values()
        )

    def serving_targets(self, service: str) -> list[TargetState]:
        """Return the targets of a service that are not leaving."""
        return [
            state
            for state in self._states.values()
            if state.target.service == service
            and not state.availability.leaving
        ]

    def announce_leaving(self, target: Target, now: float) -> bool:
        """
        Record an answer with which a target announces that it is leaving.

        :returns: whether that is new.
        """
        record = self._record_of(target, now)
        is_new = record.announce_leaving(now)
        self._keep_record(target, record, now)
        return is_new

    def request_pause(self, target: Target, seconds: float, now: float) -> None:
        """Record a refusal with which a target requested a pause."""
        record = self._record_of(target, now)
        record.request_pause(now, seconds)
        self._keep_record(target, record, now)

    def record_answer(self, target: Target, now: float) -> None:
        """Record an answer that is no refusal."""
        self._record_of(target, now).on_answer(now)

    def _record_of(self, target: Target, now: float) -> AvailabilityRecord:
        """
        Return the record of one start of a target.

        Its entry may have been removed since a request was sent there, and may
        come back with a copy of the store.
        """
        state = self._states.get(target.target_id)
        if state is not None and _is_same_start(state.target, target):
            return state.availability
        record = self._former.get(target.lifetime) or _make_record(target)
        record.record_removal(now)
        return record


def _is_same_start(first: Target, second: Target) -> bool:
    """Return whether two entries are from one start of a target."""
    if first.started_unix_ms:
        return first.lifetime == second.lifetime
    return not _is_restarted(first, second)


def _make_record(target: Target) -> AvailabilityRecord:
    """Return the record of a start of a target without statements."""
    return AvailabilityRecord(start_known=bool(target.started_unix_ms))


def _is_restarted(old: Target, new: Target) -> bool:
    """Return whether a target has restarted under the same id."""
    return (old.started_unix_ms, old.address) != (
        new.started_unix_ms,
        new.address,
    )
