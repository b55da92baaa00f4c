"""
Prepaid token budgets: grants, reservations, settlements and the ledger.

The ledger in the key-value store splits each budget into grants. A holder
is one start of a keeper; a keeper that was closed out continues as a new
holder. A holder reserves tokens for requests from its grants, without a
store call, and settles the tokens used into the ledger later.
"""

from fuchsiafork.budgets.holder import HolderSystem
from fuchsiafork.budgets.ledger import (
    DEFAULT_SHARDS,
    BudgetRow,
    Record,
    check_record,
    decode_record,
    encode_record,
    ledger_key,
    open_budget,
    release,
    top_up,
)
from fuchsiafork.budgets.reservation_tracker import ReservationTracker

__all__ = (
    'DEFAULT_SHARDS',
    'BudgetRow',
    'HolderSystem',
    'Record',
    'ReservationTracker',
    'check_record',
    'decode_record',
    'encode_record',
    'ledger_key',
    'open_budget',
    'release',
    'top_up',
)
