"""
Decides whether a VM follows the store without a gap; does no I/O.

An answer of the store may be lost on an open connection, so that a VM that
waits for a change can't tell whether there is none. VMs compare up to which
revision of the store they know the changes under each prefix.
"""

from fuchsiafork.freshness.known_changes import KnownChanges
from fuchsiafork.freshness.positions import (
    Inquiry,
    Position,
    decode_inquiry,
    decode_positions,
    encode_inquiry,
    encode_positions,
)
from fuchsiafork.freshness.sources import MAX_SOURCES, find_sources
from fuchsiafork.freshness.watch_timing import (
    CHECK_WAIT_S,
    WATCH_MARGIN_S,
    WatchTiming,
)

__all__ = (
    'CHECK_WAIT_S',
    'MAX_SOURCES',
    'WATCH_MARGIN_S',
    'Inquiry',
    'KnownChanges',
    'Position',
    'WatchTiming',
    'decode_inquiry',
    'decode_positions',
    'encode_inquiry',
    'encode_positions',
    'find_sources',
)
