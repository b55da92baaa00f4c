"""The bounds on what a gateway process keeps of bodies."""

import dataclasses

from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.transport.memory import MemoryBound

# Shares of the process's memory. A body of a request is held twice while it is
# sent to a target; the rest is for the program, and for the buffers of each
# connection.
ANSWERS_SHARE = 0.2
REQUESTS_SHARE = 0.15
_BYTES_PER_MB = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryBounds:
    """
    Bounds on the bodies that a process keeps.

    :ivar answers: answers that are kept until they are whole, or sent.
    :ivar requests: requests that are read and served.
    """

    answers: MemoryBound
    requests: MemoryBound

    def set_memory(self, memory_mb: float) -> None:
        """
        Adapt the bounds to the memory of the process.

        :param memory_mb: resident memory above which it is ended, megabytes.
        """
        size = memory_mb * _BYTES_PER_MB
        self.answers.limit = int(size * ANSWERS_SHARE)
        self.requests.limit = int(size * REQUESTS_SHARE)


def make_memory_bounds(
    memory_mb: float, metrics: GatewayMetrics
) -> MemoryBounds:
    """
    Return the bounds of a process that keeps nothing yet.

    :param memory_mb: as for ``MemoryBounds.set_memory``.
    """
    bounds = MemoryBounds(MemoryBound(0), MemoryBound(0))
    bounds.set_memory(memory_mb)
    kept = metrics.kept_bytes
    kept.labels('answers').set_function(lambda: bounds.answers.used)
    kept.labels('requests').set_function(lambda: bounds.requests.used)
    return bounds


__all__ = ('MemoryBounds', 'make_memory_bounds')
