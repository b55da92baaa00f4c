"""Target slots: the owner's side and the router's side."""

from fuchsiafork.dispatch.choice import (
    AffinityChoice,
    Choice,
    LeastLoadedChoice,
    RandomChoice,
)
from fuchsiafork.dispatch.groups import request_group
from fuchsiafork.dispatch.policy import FixedVersions, VersionPolicy
from fuchsiafork.dispatch.router_slots import RouterSlots
from fuchsiafork.dispatch.system import DispatchSystem

__all__ = (
    'AffinityChoice',
    'Choice',
    'DispatchSystem',
    'FixedVersions',
    'LeastLoadedChoice',
    'RandomChoice',
    'RouterSlots',
    'VersionPolicy',
    'request_group',
)
