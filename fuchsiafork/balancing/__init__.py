"""
Expected work of requests, and the outstanding work of targets; does no I/O.

A VM knows its own work exactly. In a large fleet it learns the work of the
other VMs from them, so that its view of a target is a fraction of a second old.
"""

from fuchsiafork.balancing.account_use import AccountUse
from fuchsiafork.balancing.candidates import (
    Assessment,
    Candidate,
    Choice,
    ChoiceRequest,
    Reason,
)
from fuchsiafork.balancing.choice import TargetChoice
from fuchsiafork.balancing.costs import TargetLoad, WorkCost
from fuchsiafork.balancing.load_view import LoadView, OutstandingWork
from fuchsiafork.balancing.prompt_parts import PromptParts, SentParts
from fuchsiafork.balancing.target_speeds import Speed, TargetSpeeds
from fuchsiafork.balancing.work_estimates import RequestSize, WorkEstimates

__all__ = (
    'AccountUse',
    'Assessment',
    'Candidate',
    'Choice',
    'ChoiceRequest',
    'LoadView',
    'OutstandingWork',
    'PromptParts',
    'Reason',
    'RequestSize',
    'SentParts',
    'Speed',
    'TargetChoice',
    'TargetLoad',
    'TargetSpeeds',
    'WorkCost',
    'WorkEstimates',
)
