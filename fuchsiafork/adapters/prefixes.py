"""Hashes of prompt prefixes, as engines report them in cache events."""

import hashlib
from collections.abc import Iterable

BLOCK_BYTES = 256
MAX_BLOCKS = 64
# CBOR and JSON parsers of every language represent 53 bits exactly.
_HASH_BITS = 53


def prefix_hashes(text: bytes) -> tuple[int, ...]:
    """Return, for each complete block, the hash of the text up to its end."""
    digest = hashlib.blake2b(digest_size=8)
    hashes = []
    for start in _block_starts(text):
        digest.update(text[start : start + BLOCK_BYTES])
        value = int.from_bytes(digest.digest(), 'big')
        hashes.append(value >> (64 - _HASH_BITS))
    return tuple(hashes)


def prompt_text(messages: Iterable[object]) -> bytes:
    """Return the concatenated messages of a chat as bytes."""
    parts = []
    for message in messages:
        if isinstance(message, dict):
            role, content = message.get('role'), message.get('content')
            parts.append(f'{role}\x1f{content}\x1e'.encode())
    return b''.join(parts)


def _block_starts(text: bytes) -> range:
    """Return the offsets of complete blocks, at most `MAX_BLOCKS`."""
    count = min(len(text) // BLOCK_BYTES, MAX_BLOCKS)
    return range(0, count * BLOCK_BYTES, BLOCK_BYTES)
