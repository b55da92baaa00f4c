"""Bounds on the memory that all connections of a process hold together."""

# Bytes that each holder may have beside the bound, so that small bodies never
# wait for large ones.
UNCOUNTED_BYTES = 16_384


class MemoryBound:
    """
    Bytes that many holders may keep together.

    :ivar limit: the bound, bytes.
    :ivar used: bytes that are kept now.
    """

    def __init__(self, limit: int) -> None:
        """Start with nothing kept."""
        self.limit = limit
        self.used = 0

    def hold(self) -> 'HeldMemory':
        """Return a holder that keeps nothing yet."""
        return HeldMemory(self)


class HeldMemory:
    """What one holder keeps of a bound."""

    def __init__(self, bound: MemoryBound) -> None:
        """Start with nothing kept."""
        self._bound = bound
        self._size = 0

    @property
    def size(self) -> int:
        """Bytes kept, the uncounted ones included."""
        return self._size

    def grow(self, size: int) -> bool:
        """Keep some more bytes; return whether the bound allows it."""
        counted = _counted(self._size + size) - _counted(self._size)
        if counted and self._bound.used + counted > self._bound.limit:
            return False
        self._bound.used += counted
        self._size += size
        return True

    def release(self) -> None:
        """Keep nothing any more."""
        self._bound.used -= _counted(self._size)
        self._size = 0


def _counted(size: int) -> int:
    """Return how many of a holder's bytes count."""
    return max(0, size - UNCOUNTED_BYTES)


__all__ = ('UNCOUNTED_BYTES', 'HeldMemory', 'MemoryBound')
