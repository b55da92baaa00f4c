"""
Whether a target takes requests from this VM.

Each source that tells of one start of a target adds what it knows to a record,
which gives one state. Does no I/O.
"""

from fuchsiafork.availability.pause import TRIAL_S
from fuchsiafork.availability.record import (
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    AvailabilityRecord,
)
from fuchsiafork.availability.status import Availability, Source, Status

__all__ = (
    'INITIAL_BACKOFF_S',
    'MAX_BACKOFF_S',
    'TRIAL_S',
    'Availability',
    'AvailabilityRecord',
    'Source',
    'Status',
)
