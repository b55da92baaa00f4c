"""Prepaid budgets: who holds money, who may spend it, what is settled."""

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
