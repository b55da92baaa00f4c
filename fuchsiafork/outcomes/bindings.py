"""Table of the keys that this keeper is home to."""

import collections
import dataclasses
import enum

from fuchsiafork import messages

# Time for which a completed key is remembered.
KEPT_S = 600.0
# Added to a request's deadline: the driver closes connections at the deadline
# and the outcome is repeated until it is acknowledged.
ENDED_GRACE_S = 15.0
MAX_BINDINGS = 20_000
# Bodies of 3,300 answers of 64 KiB would fill most of a keeper's 256 MB.
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_ANSWER_BYTES = 65_536
_ENDED_KEPT = 8


class State(enum.Enum):
    """Where a key stands."""

    CLAIMING = enum.auto()
    RUNNING = enum.auto()
    DONE = enum.auto()
    # The next request of the key may run.
    FREE = enum.auto()
    # A non-idempotent call was sent and how it ended is not known.
    UNKNOWN = enum.auto()
    # The call was not run and its claim is being removed.
    CLEARING = enum.auto()


IN_PROGRESS = frozenset((State.CLAIMING, State.RUNNING))


@dataclasses.dataclass(slots=True)
class Binding:
    """
    A key and the request that it is bound to.

    :ivar fingerprint: digest of the request, empty if any may be bound.
    :ivar router: node id that waits for a reply or runs the request.
    :ivar until: time at which the row is dropped; while it is in progress,
        time by which the request has ended.
    :ivar ended: ids of requests that are over, whose late messages are
        ignored.
    :ivar operation: tag of the store operation that is waited for.
    :ivar claiming: that operation belongs to a claim.
    :ivar retry_at: time of the next attempt to remove a claim.
    """

    key: str
    fingerprint: str
    idempotent: bool
    request_id: str
    router: str
    state: State
    expires_at: float
    ended: tuple[str, ...] = ()
    operation: str = ''
    attempts: int = 0
    claiming: bool = False
    retry_at: float = 0
    outcome: messages.RecordOutcome | None = None

    def end(self, state: State, now: float) -> None:
        """Take the state of a request that is over."""
        self.state = state
        self.expires_at = now + KEPT_S
        if self.request_id not in self.ended:
            self.ended = (*self.ended, self.request_id)[-_ENDED_KEPT:]


class BindingTable:
    """Bindings by key, bounded in number and in bytes of answers."""

    def __init__(
        self,
        max_bindings: int = MAX_BINDINGS,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Start empty."""
        self.bindings: dict[str, Binding] = {}
        self.body_bytes = 0
        # A dict keeps the order of arrival, the same in every run.
        self._open: dict[str, None] = {}
        self._max_bindings = max_bindings
        self._max_body_bytes = max_body_bytes
        # Keys in the order in which they were completed, oldest first.
        self._completed: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        # Those of them that hold an answer, in the same order.
        self._bodies: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def has_room(self) -> bool:
        """Return whether a row can be added, after dropping an old one."""
        if len(self.bindings) < self._max_bindings:
            return True
        if not self._completed:
            return False
        self.drop(next(iter(self._completed)))
        return True

    def open_rows(self) -> list[Binding]:
        """Return the rows that are not completed."""
        return [self.bindings[key] for key in self._open]

    def add(self, row: Binding) -> None:
        """Add a row in progress; the caller has asked for room."""
        self.bindings[row.key] = row
        self._open[row.key] = None

    def drop(self, key: str) -> None:
        """Forget a key."""
        row = self.bindings.pop(key, None)
        self._completed.pop(key, None)
        self._open.pop(key, None)
        if row is not None:
            self._forget_body(row)

    def reopen(self, row: Binding) -> None:
        """Put a completed row in progress again."""
        self._completed.pop(row.key, None)
        self._forget_body(row)
        self._open[row.key] = None

    def complete(
        self,
        row: Binding,
        state: State,
        now: float,
        outcome: messages.RecordOutcome | None = None,
    ) -> None:
        """End a row's request, with its answer if there is one."""
        row.end(state, now)
        self._open.pop(row.key, None)
        self._forget_body(row)
        self._completed.pop(row.key, None)
        self._completed[row.key] = None
        if outcome is None:
            return
        if len(outcome.body) > MAX_ANSWER_BYTES or not outcome.replayable:
            outcome = dataclasses.replace(outcome, body=b'', replayable=False)
        row.outcome = outcome
        if outcome.body:
            self.body_bytes += len(outcome.body)
            self._bodies[row.key] = None
        self._bound_bodies()

    def expire(self, now: float) -> int:
        """Return the number of completed rows dropped by age."""
        dropped = 0
        while self._completed:
            key = next(iter(self._completed))
            if self.bindings[key].expires_at > now:
                break
            self.drop(key)
            dropped += 1
        return dropped

    def _bound_bodies(self) -> None:
        """Drop the oldest answers that are over the bound in bytes."""
        while self.body_bytes > self._max_body_bytes and self._bodies:
            row = self.bindings[next(iter(self._bodies))]
            outcome = row.outcome
            self._forget_body(row)
            if outcome is not None:
                row.outcome = dataclasses.replace(
                    outcome,
                    body=b'',
                    replayable=False,
                )

    def _forget_body(self, row: Binding) -> None:
        """Drop a row's answer."""
        self._bodies.pop(row.key, None)
        if row.outcome is not None:
            self.body_bytes -= len(row.outcome.body)
        row.outcome = None
