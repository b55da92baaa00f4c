"""Durable claims of non-idempotent calls."""

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

PREFIX = 'claims/'
# A claim's age is read on wall clocks, which may differ between VMs.
CLAIM_KEPT_S = 24 * 3600.0
TAG = 'outcomes:'


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """
    Who may run the call of a key.

    :ivar wall: Unix time of the claim in seconds.
    :ivar deadline_s: seconds from then by which the call has ended.
    """

    request_id: str
    fingerprint: str
    wall: float
    deadline_s: float

    def encode(self) -> bytes:
        """Return the stored form."""
        return cbor2.dumps(dataclasses.astuple(self))


def decode_claim(value: bytes) -> Claim | None:
    """Return a stored claim, or None if it can't be read."""
    try:
        request_id, fingerprint, wall, deadline_s = cbor2.loads(value)
        return Claim(request_id, fingerprint, float(wall), float(deadline_s))
    except (cbor2.CBORDecodeError, ValueError, TypeError):
        return None


def claim_key(key: str) -> str:
    """Return the key-value service's key of a claim."""
    return PREFIX + key


@functools.cache
def sweep_prefixes(digits: int) -> tuple[str, ...]:
    """Return prefixes that together cover all claims by digest."""
    return tuple(f'{PREFIX}{number:0{digits}x}' for number in range(16**digits))


class ClaimSweeper:
    """
    Removes claims that are over 24 hours old, one prefix at a time.

    4,096 prefixes at one every 20 s pass over all claims once a day, with
    one list call each; deletes are by revision, so two sweepers at once do
    no harm.
    """

    interval_s = 20.0
    batch = 64
    digits = 3

    def __init__(self, context: Context) -> None:
        """Start at a random prefix, so that a restart skips none for long."""
        self.removed = 0
        self._context = context
        prefixes = sweep_prefixes(self.digits)
        self._next = context.random.randrange(len(prefixes))
        self._due = context.clock.now() + self.interval_s
        self._backlog: list[CompareAndSwap] = []

    def tick(self, *, first_ranked: bool) -> None:
        """Send the next batch, or ask for the next prefix when it is due."""
        if not first_ranked:
            self._backlog.clear()
            return
        for operation in self._backlog[: self.batch]:
            self._context.outbox.store(operation)
        self.removed += len(self._backlog[: self.batch])
        self._backlog = self._backlog[self.batch :]
        now = self._context.clock.now()
        if self._backlog or now < self._due:
            return
        self._due = now + self.interval_s
        prefixes = sweep_prefixes(self.digits)
        self._next = (self._next + 1) % len(prefixes)
        self._context.outbox.store(
            ListKeys(prefixes[self._next], f'{TAG}sweep'),
        )

    def take(self, rows: tuple[tuple[str, int, bytes], ...]) -> None:
        """Queue the removal of the lapsed claims among listed rows."""
        horizon = self._context.clock.wall() - CLAIM_KEPT_S
        for key, revision, value in rows:
            claim = decode_claim(value)
            if claim is not None and claim.wall < horizon:
                self._backlog.append(
                    CompareAndSwap(key, revision, None, f'{TAG}swept'),
                )


def read_claim(key: str, tag: str) -> ReadKey:
    """Return the operation that reads a claim back."""
    return ReadKey(claim_key(key), tag)


def make_claim(key: str, claim: Claim, tag: str) -> CompareAndSwap:
    """Return the operation that creates a claim, once."""
    return CompareAndSwap(claim_key(key), 0, claim.encode(), tag)


def remove_claim(key: str, revision: int, tag: str) -> CompareAndSwap:
    """Return the operation that removes a claim as it was read."""
    return CompareAndSwap(claim_key(key), revision, None, tag)


def claim_of(answer: Any) -> Claim | None:
    """Return the claim in a read answer, or None if there is none."""
    if isinstance(answer, KeyRead) and answer.value is not None:
        return decode_claim(answer.value)
    return None
