"""Target slots: the owner's side and the router's side."""

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
