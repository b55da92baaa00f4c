"""Limits the number of streams stalled at the same time."""

import threading


class StallLimit:
    """
    Counts stalled streams, each of which holds a worker thread.

    Half of the threads are kept free of stalled streams, so that slow callers
    cannot make other callers wait for a thread.
    """

    def __init__(self, limit: int) -> None:
        """Allow at most ``limit`` stalled streams."""
        self.limit = limit
        self._count = 0
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """Number of streams currently stalled."""
        return self._count

    def try_acquire(self) -> bool:
        """Count a stalled stream and return True, or False at the limit."""
        with self._lock:
            if self._count >= self.limit:
                return False
            self._count += 1
            return True

    def release(self) -> None:
        """Remove a stream that `try_acquire` counted."""
        with self._lock:
            self._count -= 1
