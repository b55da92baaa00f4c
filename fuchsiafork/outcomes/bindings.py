"""Table of the idempotency keys that this keeper owns."""

import collections
import dataclasses
import enum

from fuchsiafork import messages

# Time for which a completed key is stored.
COMPLETED_TTL_S = 600.0
# Added to a request's deadline: the router closes connections at the deadline
# and sends the outcome again until it is acknowledged.
ENDED_GRACE_S = 15.0
MAX_BINDINGS = 20_000
# Bodies of 3,300 answers of 64 KiB would fill most of a keeper's 256 MB.
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_ANSWER_BYTES = 65_536
_MAX_ENDED_IDS = 8


class State(enum.Enum):
    """Processing state of a key."""

    CLAIMING = enum.auto()
    RUNNING = enum.auto()
    DONE = enum.auto()
    # The next request of the key may run.
    FREE = enum.auto()
    # A non-idempotent call was sent and its outcome is not known.
    UNKNOWN = enum.auto()
    # The call was not run and its claim is being removed.
    CLEARING = enum.auto()


IN_PROGRESS = frozenset((State.CLAIMING, State.RUNNING))


@dataclasses.dataclass(slots=True)
class Binding:
    """
    An idempotency key and the request that it is bound to.

    :ivar fingerprint: digest of the request, empty if any may be bound.
    :ivar router: node id that waits for a reply or runs the request.
    :ivar expires_at: time at which the binding is dropped; while it is in
        progress, time by which the request has ended.
    :ivar ended_request_ids: ids of the key's ended requests, whose late
        messages are ignored.
    :ivar operation_tag: tag of the store operation in progress.
    :ivar is_claim_operation: whether that operation belongs to a claim.
    :ivar operation_count: number of store operations of the claim or its
        removal.
    :ivar clear_retry_at: time of the next attempt to remove a claim, 0 if no
        attempt is scheduled.
    """

    key: str
    fingerprint: str
    idempotent: bool
    request_id: str
    router: str
    state: State
    expires_at: float
    ended_request_ids: tuple[str, ...] = ()
    operation_tag: str = ''
    operation_count: int = 0
    is_claim_operation: bool = False
    clear_retry_at: float = 0
    outcome: messages.RecordOutcome | None = None

    def end(self, state: State, now: float) -> None:
        """Set the state of a key whose request has ended."""
        self.state = state
        self.expires_at = now + COMPLETED_TTL_S
        if self.request_id not in self.ended_request_ids:
            self.ended_request_ids = (*self.ended_request_ids, self.request_id)[
                -_MAX_ENDED_IDS:
            ]


class BindingTable:
    """Bindings by key, limited in number and in bytes of answers."""

    def __init__(
        self,
        max_bindings: int = MAX_BINDINGS,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Start empty."""
        self.bindings: dict[str, Binding] = {}
        self.body_bytes = 0
        # Keys in progress; a dict keeps the order of insertion in every run.
        self._open_keys: dict[str, None] = {}
        self._max_bindings = max_bindings
        self._max_body_bytes = max_body_bytes
        # Keys in the order in which they were completed, oldest first.
        self._completed_keys: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        # Completed keys with a stored answer, in the same order.
        self._keys_with_body: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def make_room(self) -> bool:
        """Return whether there is room, dropping an old key if needed."""
        if len(self.bindings) < self._max_bindings:
            return True
        if not self._completed_keys:
            return False
        self.drop(next(iter(self._completed_keys)))
        return True

    def open_bindings(self) -> list[Binding]:
        """Return the bindings that are not completed."""
        return [self.bindings[key] for key in self._open_keys]

    def add(self, binding: Binding) -> None:
        """Add a binding in progress; the caller has made room for it."""
        self.bindings[binding.key] = binding
        self._open_keys[binding.key] = None

    def drop(self, key: str) -> None:
        """Remove a key."""
        binding = self.bindings.pop(key, None)
        self._completed_keys.pop(key, None)
        self._open_keys.pop(key, None)
        if binding is not None:
            self._drop_body(binding)

    def reopen(self, binding: Binding) -> None:
        """Put a completed binding in progress again."""
        self._completed_keys.pop(binding.key, None)
        self._drop_body(binding)
        self._open_keys[binding.key] = None

    def complete(
        self,
        binding: Binding,
        state: State,
        now: float,
        outcome: messages.RecordOutcome | None = None,
    ) -> None:
        """End a binding's request and store its outcome, if any."""
        binding.end(state, now)
        self._open_keys.pop(binding.key, None)
        self._drop_body(binding)
        self._completed_keys.pop(binding.key, None)
        self._completed_keys[binding.key] = None
        if outcome is None:
            return
        if len(outcome.body) > MAX_ANSWER_BYTES or not outcome.replayable:
            outcome = dataclasses.replace(outcome, body=b'', replayable=False)
        binding.outcome = outcome
        if outcome.body:
            self.body_bytes += len(outcome.body)
            self._keys_with_body[binding.key] = None
        self._limit_body_bytes()

    def expire(self, now: float) -> int:
        """Drop expired completed keys and return their number."""
        dropped = 0
        while self._completed_keys:
            key = next(iter(self._completed_keys))
            if self.bindings[key].expires_at > now:
                break
            self.drop(key)
            dropped += 1
        return dropped

    def _limit_body_bytes(self) -> None:
        """Drop the oldest answers beyond the limit in bytes."""
        while self.body_bytes > self._max_body_bytes and self._keys_with_body:
            binding = self.bindings[next(iter(self._keys_with_body))]
            outcome = binding.outcome
            self._drop_body(binding)
            if outcome is not None:
                binding.outcome = dataclasses.replace(
                    outcome,
                    body=b'',
                    replayable=False,
                )

    def _drop_body(self, binding: Binding) -> None:
        """Drop a binding's outcome."""
        self._keys_with_body.pop(binding.key, None)
        if binding.outcome is not None:
            self.body_bytes -= len(binding.outcome.body)
        binding.outcome = None
