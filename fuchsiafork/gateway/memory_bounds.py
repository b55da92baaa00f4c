"""The bounds on what the callers of a gateway process take."""

import dataclasses
import functools
import resource

from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.platform.settings import VmLimits
from fuchsiafork.transport.caller_guard import CallerGuard
from fuchsiafork.transport.caller_resources import (
    CALLERS,
    CONNECTION_BYTES,
    INTERNAL,
    CallerResources,
    ResourceLimits,
)
from fuchsiafork.transport.holders import Kind
from fuchsiafork.transport.memory import MemoryBound

# Share of the process's memory for answers that are kept until they are whole.
ANSWERS_SHARE = 0.2
# Memory that the program takes without callers, with a large configuration.
PROGRAM_MB = 64.0
# Share of the rest that callers may take; the heap is never used completely.
CALLERS_SHARE = 0.75
# Share of the whole that callers may take at least.
LEAST_CALLERS_SHARE = 0.125
# Share of the callers' memory that connections may take without any content.
CONNECTIONS_SHARE = 0.25
# Descriptors for the store, other VMs, the listeners and the log.
OTHER_DESCRIPTORS = 128
# A request takes up to three: of its caller, of its target, and of a
# connection to a target that is kept open.
DESCRIPTORS_PER_CONNECTION = 3
LEAST_CONNECTIONS = 16
_BYTES_PER_MB = 1_048_576
_KIND_NAMES = {
    Kind.CONNECTION: 'connections',
    Kind.HEAD: 'heads',
    Kind.BODY: 'bodies',
    Kind.PIPELINED: 'pipelined',
    Kind.RESPONSE: 'responses',
    Kind.ANSWER: 'answers',
}


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryBounds:
    """
    Bounds on what a process keeps for its callers.

    :ivar answers: answers that are kept until they are whole, or sent.
    :ivar guard: connections, requests and responses, these answers included.
    """

    answers: MemoryBound
    guard: CallerGuard

    def set_limits(self, limits: VmLimits) -> None:
        """Adapt the bounds to the resources of the VM."""
        size = limits.memory_mb * _BYTES_PER_MB
        self.answers.limit = int(size * ANSWERS_SHARE)
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.guard.resources.limits = make_resource_limits(limits, descriptors)


def make_resource_limits(limits: VmLimits, descriptors: int) -> ResourceLimits:
    """
    Return the limits on callers of a process.

    :param descriptors: descriptors that the process may open.
    """
    memory_mb = max(
        LEAST_CALLERS_SHARE * limits.memory_mb,
        CALLERS_SHARE * (limits.memory_mb - PROGRAM_MB),
    )
    memory_bytes = int(memory_mb * _BYTES_PER_MB)
    if limits.max_fds is not None:
        descriptors = min(descriptors, limits.max_fds)
    by_descriptors = descriptors - OTHER_DESCRIPTORS
    connections = min(
        by_descriptors // DESCRIPTORS_PER_CONNECTION,
        int(CONNECTIONS_SHARE * memory_bytes / CONNECTION_BYTES),
    )
    return ResourceLimits(memory_bytes, max(LEAST_CONNECTIONS, connections))


def make_memory_bounds(
    limits: VmLimits, metrics: GatewayMetrics
) -> MemoryBounds:
    """Return the bounds of a process that keeps nothing yet."""
    bounds = MemoryBounds(MemoryBound(0), CallerGuard())
    bounds.set_limits(limits)
    _export(bounds.guard.resources, metrics)
    return bounds


def _export(held: CallerResources, metrics: GatewayMetrics) -> None:
    """Show what callers hold, and the limits on it."""
    for kind, name in _KIND_NAMES.items():
        metrics.kept_bytes.labels(name).set_function(
            functools.partial(held.used_by_kind.__getitem__, kind)
        )
    for group in (CALLERS, INTERNAL):
        metrics.caller_connections.labels(group).set_function(
            functools.partial(held.count, group)
        )
    limits = metrics.caller_limits
    limits.labels('bytes').set_function(lambda: held.limits.memory_bytes)
    limits.labels('connections').set_function(lambda: held.limits.connections)


__all__ = ('MemoryBounds', 'make_memory_bounds', 'make_resource_limits')
