"""Prepaid tokens: a ledger in the store and grants to each VM."""

from fuchsiafork.prepaid.allocator import TokenAllocator
from fuchsiafork.prepaid.changes import LedgerChange, Reservation
from fuchsiafork.prepaid.fleet_time import FleetTime
from fuchsiafork.prepaid.ledger import (
    AccountEntry,
    Ledger,
    RetiredHolder,
    decode_ledger,
    encode_ledger,
)

__all__ = (
    'AccountEntry',
    'FleetTime',
    'Ledger',
    'LedgerChange',
    'Reservation',
    'RetiredHolder',
    'TokenAllocator',
    'decode_ledger',
    'encode_ledger',
)
