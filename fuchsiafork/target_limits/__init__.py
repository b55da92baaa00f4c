"""
Limits on the requests that a target accepts from the whole fleet.

Does no I/O.
"""

from fuchsiafork.target_limits.named_limits import (
    LimitChange,
    NamedLimit,
    NamedLimits,
)

__all__ = ('LimitChange', 'NamedLimit', 'NamedLimits')
