"""Model of the platform's key-value service, without any transport."""

import collections
import dataclasses
from collections.abc import Callable, Iterator

MAX_VALUE_BYTES = 1_000_000


class ValueTooLargeError(Exception):
    """A value is over the service's bound."""


@dataclasses.dataclass(slots=True)
class Row:
    """
    A stored key.

    :ivar revision: revision of the last write.
    :ivar lease: id of the lease that it goes with, 0 for none.
    """

    value: bytes
    revision: int
    lease: int = 0


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease with its time to live and its end, in seconds."""

    ttl: float
    expires: float


class StoreModel:
    """Keys, revisions and leases, with every call counted."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Start empty; ``now`` returns seconds."""
        self.rows: dict[str, Row] = {}
        self.leases: dict[int, Lease] = {}
        self.revision = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.history: list[tuple[int, str, bytes | None]] = []
        self._now = now

    def read(self, key: str) -> tuple[int, bytes | None]:
        """Return revision and value, or 0 and None."""
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
        Return whether the write took effect and the key's revision.

        :raises ValueTooLargeError: if the value is over the bound.
        """
        self.expire()
        self.calls['write'] += 1
        if value is not None and len(value) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(key)
        row = self.rows.get(key)
        present = row.revision if row else 0
        if present != expected:
            return False, present
        self._write(key, value, lease)
        return True, self.revision

    def grant(self, ttl: float) -> int:
        """Return the id of a new lease."""
        self.calls['write'] += 1
        self.revision += 1
        self.leases[self.revision] = Lease(ttl, self._now() + ttl)
        return self.revision

    def keep_alive(self, lease: int) -> float:
        """Return the time to live of a renewed lease, 0 if it has lapsed."""
        self.expire()
        self.calls['write'] += 1
        held = self.leases.get(lease)
        if held is None:
            return 0
        held.expires = self._now() + held.ttl
        return held.ttl

    def expire(self) -> None:
        """Drop lapsed leases and their keys."""
        now = self._now()
        lapsed = {
            name for name, held in self.leases.items() if held.expires <= now
        }
        for name in lapsed:
            self.leases.pop(name)
        for key in self._held_by(lapsed):
            self._write(key, None, 0)

    def changes_since(
        self,
        revision: int,
        prefix: str,
    ) -> Iterator[tuple[int, str, bytes | None]]:
        """Yield the writes after a revision, for a watch."""
        self.expire()
        for row in self.history:
            if row[0] > revision and row[1].startswith(prefix):
                yield row

    def _held_by(self, leases: set[int]) -> list[str]:
        """Return the keys that go with some leases."""
        return [key for key, row in self.rows.items() if row.lease in leases]

    def _write(self, key: str, value: bytes | None, lease: int) -> None:
        """Store or delete a key at the next revision."""
        self.revision += 1
        self.history.append((self.revision, key, value))
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = Row(value, self.revision, lease)
