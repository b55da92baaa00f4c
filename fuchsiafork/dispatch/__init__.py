"""
Grants slots on targets to requests.

The keeper that owns a target group grants the slots of its targets, through
`DispatchSystem`; a router acquires and releases them, through `RouterSlots`.
"""

from fuchsiafork.dispatch.groups import request_group
from fuchsiafork.dispatch.policy import FixedVersions, VersionPolicy
from fuchsiafork.dispatch.router_slots import RouterSlots
from fuchsiafork.dispatch.system import DispatchSystem
from fuchsiafork.dispatch.target_selection import (
    AffinitySelector,
    LeastLoadedSelector,
    RandomSelector,
    TargetSelector,
)

__all__ = (
    'AffinitySelector',
    'DispatchSystem',
    'FixedVersions',
    'LeastLoadedSelector',
    'RandomSelector',
    'RouterSlots',
    'TargetSelector',
    'VersionPolicy',
    'request_group',
)
