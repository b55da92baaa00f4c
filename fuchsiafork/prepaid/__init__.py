"""
Prepaid tokens of client accounts.

A ledger record in the store grants each VM tokens, which the VM spends on
requests without a further call to the store.
"""

from fuchsiafork.prepaid.allocator import TokenAllocator
from fuchsiafork.prepaid.changes import LedgerChange, Reservation
from fuchsiafork.prepaid.fleet_time import FleetTime
from fuchsiafork.prepaid.holder_slots import HolderSlots, Occupant
from fuchsiafork.prepaid.ledger import (
    AccountEntry,
    Ledger,
    RetiredHolder,
)
from fuchsiafork.prepaid.ledger_codec import decode_ledger, encode_ledger
from fuchsiafork.prepaid.supply import (
    SupplyOutlook,
    SupplyStep,
    choose_step,
)
from fuchsiafork.prepaid.waiting import WaitingRequest

__all__ = (
    'AccountEntry',
    'FleetTime',
    'HolderSlots',
    'Ledger',
    'LedgerChange',
    'Occupant',
    'Reservation',
    'RetiredHolder',
    'SupplyOutlook',
    'SupplyStep',
    'TokenAllocator',
    'WaitingRequest',
    'choose_step',
    'decode_ledger',
    'encode_ledger',
)
