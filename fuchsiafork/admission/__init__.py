"""
Decides which requests of a service of engines wait or are refused; no I/O.

Requests pass while the service has free places. When all are taken, those of a
VM wait in a queue that is fair between client accounts.
"""

from fuchsiafork.admission.account_shares import AccountShares
from fuchsiafork.admission.estimates import EndRate, wait_limit_s
from fuchsiafork.admission.fair_queue import FairQueue
from fuchsiafork.admission.places import PlaceRule, PoolLoad
from fuchsiafork.admission.pool_queue import PoolQueue
from fuchsiafork.admission.requests import (
    Changes,
    Reason,
    Refusal,
    WaitingRequest,
)

__all__ = (
    'AccountShares',
    'Changes',
    'EndRate',
    'FairQueue',
    'PlaceRule',
    'PoolLoad',
    'PoolQueue',
    'Reason',
    'Refusal',
    'WaitingRequest',
    'wait_limit_s',
)
