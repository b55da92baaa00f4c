"""In-memory model of the platform's key-value service."""

import collections
import dataclasses
from collections.abc import Callable, Iterator

MAX_VALUE_BYTES = 1_000_000


class ValueTooLargeError(Exception):
    """A value exceeds the size limit of the service."""


@dataclasses.dataclass(slots=True)
class Row:
    """
    Value and metadata of a stored key.

    :ivar revision: revision of the last write.
    :ivar lease: id of the attached lease, 0 for none.
    """

    value: bytes
    revision: int
    lease: int = 0


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease with its time to live and its expiry time, in seconds."""

    ttl: float
    expires_at: float


class StoreModel:
    """
    Keys, revisions and leases.

    :ivar calls: number of calls, by ``read`` and ``write``.
    :ivar history: revision, key and value of each write; None for a deletion.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        """Start empty; ``now`` returns seconds."""
        self.rows: dict[str, Row] = {}
        self.leases: dict[int, Lease] = {}
        self.revision = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.history: list[tuple[int, str, bytes | None]] = []
        self._now = now

    def read(self, key: str) -> tuple[int, bytes | None]:
        """Return revision and value of a key, or 0 and None."""
        self.expire()
        self.calls['read'] += 1
        row = self.rows.get(key)
        return (row.revision, row.value) if row else (0, None)

    def list_prefix(self, prefix: str) -> list[tuple[str, int, bytes]]:
        """Return key, revision and value of the keys with a prefix."""
        self.expire()
        self.calls['read'] += 1
        return [
            (key, row.revision, row.value)
            for key, row in sorted(self.rows.items())
            if key.startswith(prefix)
        ]

    def swap(
        self,
        key: str,
        expected: int,
        value: bytes | None,
        lease: int = 0,
    ) -> tuple[bool, int]:
        """
        Compare and swap: write if the key's revision is as expected.

        A value of None deletes the key.

        :return: whether the write took effect, and the key's revision.

        :raises ValueTooLargeError: if the value exceeds the size limit.
        """
        self.expire()
        self.calls['write'] += 1
        if value is not None and len(value) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(key)
        row = self.rows.get(key)
        current = row.revision if row else 0
        if current != expected:
            return False, current
        self._write(key, value, lease)
        return True, self.revision

    def grant(self, ttl: float) -> int:
        """Create a lease and return its id."""
        self.calls['write'] += 1
        self.revision += 1
        self.leases[self.revision] = Lease(ttl, self._now() + ttl)
        return self.revision

    def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its time to live, 0 if it has expired."""
        self.expire()
        self.calls['write'] += 1
        lease_state = self.leases.get(lease)
        if lease_state is None:
            return 0
        lease_state.expires_at = self._now() + lease_state.ttl
        return lease_state.ttl

    def expire(self) -> None:
        """Delete expired leases and the keys attached to them."""
        now = self._now()
        expired = {
            lease_id
            for lease_id, lease in self.leases.items()
            if lease.expires_at <= now
        }
        for lease_id in expired:
            self.leases.pop(lease_id)
        for key in self._attached_keys(expired):
            self._write(key, None, 0)

    def changes_since(
        self,
        revision: int,
        prefix: str,
    ) -> Iterator[tuple[int, str, bytes | None]]:
        """Yield the writes after a revision to keys with a prefix."""
        self.expire()
        for row in self.history:
            if row[0] > revision and row[1].startswith(prefix):
                yield row

    def _attached_keys(self, leases: set[int]) -> list[str]:
        """Return the keys attached to some leases."""
        return [key for key, row in self.rows.items() if row.lease in leases]

    def _write(self, key: str, value: bytes | None, lease: int) -> None:
        """Write a key at the next revision; a value of None deletes it."""
        self.revision += 1
        self.history.append((self.revision, key, value))
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = Row(value, self.revision, lease)
