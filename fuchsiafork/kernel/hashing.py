"""Hashes that are equal in every process and after every restart."""

import hashlib
from collections.abc import Iterable

_DIGEST_BYTES = 8


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash of the parts, the same in every process."""
    joined = '\x1f'.join(parts).encode()
    digest = hashlib.blake2b(joined, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')


def rank(key: str, members: Iterable[str]) -> list[str]:
    """
    Return the members in rendezvous order for a key, best first.

    A member that leaves moves only the keys that it ranked first for.
    """
    return sorted(
        members,
        key=lambda member: (stable_hash(key, member), member),
        reverse=True,
    )
