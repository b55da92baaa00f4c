"""Claims of non-idempotent calls, stored in the key-value service."""

import dataclasses
import functools
from typing import Any

import cbor2

from fuchsiafork.kernel import Context
from fuchsiafork.kernel.outbox import (
    CompareAndSwap,
    KeyRead,
    ListKeys,
    ReadKey,
)

CLAIM_PREFIX = 'claims/'
# A claim's age is computed from wall clocks, which may differ between VMs.
CLAIM_TTL_S = 24 * 3600.0
TAG_PREFIX = 'outcomes:'


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """
    The request that may run the call of a key.

    :ivar wall: Unix time of the claim in seconds.
    :ivar deadline_s: seconds after that time by which the call has ended.
    """

    request_id: str
    fingerprint: str
    wall: float
    deadline_s: float

    def encode(self) -> bytes:
        """Return the claim in its stored form."""
        return cbor2.dumps(dataclasses.astuple(self))


def decode_claim(value: bytes) -> Claim | None:
    """Return a stored claim, or None if it is unreadable."""
    try:
        request_id, fingerprint, wall, deadline_s = cbor2.loads(value)
        return Claim(request_id, fingerprint, float(wall), float(deadline_s))
    except (cbor2.CBORDecodeError, ValueError, TypeError):
        return None


def claim_key(key: str) -> str:
    """Return the key of a claim in the key-value service."""
    return CLAIM_PREFIX + key


@functools.cache
def sweep_prefixes(prefix_digits: int) -> tuple[str, ...]:
    """Return prefixes that together cover all claims by digest."""
    return tuple(
        f'{CLAIM_PREFIX}{number:0{prefix_digits}x}'
        for number in range(16**prefix_digits)
    )


class ClaimSweeper:
    """
    Removes claims that are over 24 hours old, one prefix at a time.

    With 4,096 prefixes and one list call every 20 s, all claims are listed
    about once a day. Removals depend on the revision, so that two keepers may
    sweep at the same time.
    """

    interval_s = 20.0
    batch_size = 64
    prefix_digits = 3

    def __init__(self, context: Context) -> None:
        """Start at a random prefix, so that a restart skips none for long."""
        self.removed = 0
        self._context = context
        prefixes = sweep_prefixes(self.prefix_digits)
        self._prefix_index = context.random.randrange(len(prefixes))
        self._next_list_at = context.clock.now() + self.interval_s
        self._pending_removals: list[CompareAndSwap] = []

    def tick(self, *, is_leader: bool) -> None:
        """Send the next batch of removals, or list the next due prefix."""
        if not is_leader:
            self._pending_removals.clear()
            return
        for operation in self._pending_removals[: self.batch_size]:
            self._context.outbox.store(operation)
        self.removed += len(self._pending_removals[: self.batch_size])
        self._pending_removals = self._pending_removals[self.batch_size :]
        now = self._context.clock.now()
        if self._pending_removals or now < self._next_list_at:
            return
        self._next_list_at = now + self.interval_s
        prefixes = sweep_prefixes(self.prefix_digits)
        self._prefix_index = (self._prefix_index + 1) % len(prefixes)
        self._context.outbox.store(
            ListKeys(prefixes[self._prefix_index], f'{TAG_PREFIX}sweep'),
        )

    def queue_expired(self, rows: tuple[tuple[str, int, bytes], ...]) -> None:
        """Queue the removal of the expired claims among listed rows."""
        oldest_kept = self._context.clock.wall() - CLAIM_TTL_S
        for key, revision, value in rows:
            claim = decode_claim(value)
            if claim is not None and claim.wall < oldest_kept:
                self._pending_removals.append(
                    CompareAndSwap(key, revision, None, f'{TAG_PREFIX}swept'),
                )


def read_claim(key: str, tag: str) -> ReadKey:
    """Return the operation that reads a claim back."""
    return ReadKey(claim_key(key), tag)


def create_claim(key: str, claim: Claim, tag: str) -> CompareAndSwap:
    """Return the operation that creates a claim if there is none."""
    return CompareAndSwap(claim_key(key), 0, claim.encode(), tag)


def remove_claim(key: str, revision: int, tag: str) -> CompareAndSwap:
    """Return the operation that removes a claim at a revision."""
    return CompareAndSwap(claim_key(key), revision, None, tag)


def claim_in_answer(answer: Any) -> Claim | None:
    """Return the claim in the answer to a read, or None."""
    if isinstance(answer, KeyRead) and answer.value is not None:
        return decode_claim(answer.value)
    return None
