"""
Whether a target accepts requests from this VM.

The registry, answers and connections report on one start of a target to a
record, which combines the reports into one state. Does no I/O.
"""

from fuchsiafork.availability.pause import TRIAL_S
from fuchsiafork.availability.record import (
    INITIAL_BACKOFF_S,
    LAPSED_ENTRY_GRACE_S,
    MAX_BACKOFF_S,
    AvailabilityRecord,
)
from fuchsiafork.availability.status import Availability, Source, Status

__all__ = (
    'INITIAL_BACKOFF_S',
    'LAPSED_ENTRY_GRACE_S',
    'MAX_BACKOFF_S',
    'TRIAL_S',
    'Availability',
    'AvailabilityRecord',
    'Source',
    'Status',
)
