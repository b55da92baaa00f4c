"""Idempotency keys: bindings, claims of non-idempotent calls, replays."""

from fuchsiafork.outcomes.bindings import Binding, BindingTable, State
from fuchsiafork.outcomes.claims import Claim, claim_key
from fuchsiafork.outcomes.system import OutcomeSystem

__all__ = (
    'Binding',
    'BindingTable',
    'Claim',
    'OutcomeSystem',
    'State',
    'claim_key',
)
