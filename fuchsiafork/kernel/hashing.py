"""Hashes that do not depend on the process, and rendezvous hashing."""

import hashlib
import heapq
from collections.abc import Iterable

_DIGEST_BYTES = 8


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash, equal in every process and after a restart."""
    joined = '\x1f'.join(parts).encode()
    digest = hashlib.blake2b(joined, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')


def rank(key: str, members: Iterable[str]) -> list[str]:
    """
    Return the members ranked for a key by rendezvous hashing, best first.

    When a member leaves, only the keys for which it ranked first move.
    """
    return sorted(
        members,
        key=lambda member: (stable_hash(key, member), member),
        reverse=True,
    )


def rank_first(key: str, members: Iterable[str], count: int) -> list[str]:
    """Return the first members of ``rank``, in less time."""
    keyed = hashlib.blake2b(f'{key}\x1f'.encode(), digest_size=_DIGEST_BYTES)
    ranked = []
    for member in members:
        member_hash = keyed.copy()
        member_hash.update(member.encode())
        ranked.append((member_hash.digest(), member))
    return [member for _, member in heapq.nlargest(count, ranked)]
