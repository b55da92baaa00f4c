"""Shared types without I/O: clocks, events, errors, invariants, outbox."""

from fuchsiafork.kernel.clock import Clock, SystemClock
from fuchsiafork.kernel.context import Context, Identity
from fuchsiafork.kernel.errors import (
    CODES,
    FuchsiaforkError,
    InvariantViolationError,
    RunState,
)
from fuchsiafork.kernel.events import Event, EventRing
from fuchsiafork.kernel.hashing import rank, rank_first, stable_hash
from fuchsiafork.kernel.hlc import HybridClock, Stamp
from fuchsiafork.kernel.invariants import (
    CountingInvariants,
    Invariants,
    StrictInvariants,
)
from fuchsiafork.kernel.outbox import Outbox
from fuchsiafork.kernel.system import System

__all__ = (
    'CODES',
    'Clock',
    'Context',
    'CountingInvariants',
    'Event',
    'EventRing',
    'FuchsiaforkError',
    'HybridClock',
    'Identity',
    'InvariantViolationError',
    'Invariants',
    'Outbox',
    'RunState',
    'Stamp',
    'StrictInvariants',
    'System',
    'SystemClock',
    'rank',
    'rank_first',
    'stable_hash',
)
