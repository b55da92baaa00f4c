"""Bound of the callers that stand still at the same time."""

import threading


class StallLimit:
    """
    Counts stalled streams, each of which holds a worker thread.

    Half of the threads stay free of stalled streams, so that slow callers
    cannot keep quick ones waiting for a thread.
    """

    def __init__(self, limit: int) -> None:
        """Allow so many stalled streams at once."""
        self.limit = limit
        self._count = 0
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """Streams that are stalled now."""
        return self._count

    def try_acquire(self) -> bool:
        """Return whether one more stream may be stalled, and count it."""
        with self._lock:
            if self._count >= self.limit:
                return False
            self._count += 1
            return True

    def release(self) -> None:
        """Count a stream out that entered."""
        with self._lock:
            self._count -= 1
