"""Prepaid tokens: a ledger in the store and grants to each VM."""

from fuchsiafork.prepaid.changes import Change, Reservation
from fuchsiafork.prepaid.fleet_time import FleetTime
from fuchsiafork.prepaid.ledger import (
    AccountEntry,
    Ledger,
    Retired,
    decode_ledger,
    encode_ledger,
)
from fuchsiafork.prepaid.purse import Purse

__all__ = (
    'AccountEntry',
    'Change',
    'FleetTime',
    'Ledger',
    'Purse',
    'Reservation',
    'Retired',
    'decode_ledger',
    'encode_ledger',
)
