"""
Limits on the requests that a target accepts from the whole fleet.

A target in need names its limit in its answers. Each VM that was told asks for
a permit before it sends a request there; one VM issues the permits of a target.
Does no I/O.
"""

from fuchsiafork.target_limits.messages import (
    PermitRequest,
    encode_permit,
    read_permit,
    read_request,
)
from fuchsiafork.target_limits.named_limits import (
    LimitChange,
    NamedLimit,
    NamedLimits,
)
from fuchsiafork.target_limits.permits import Decision, Permit, PermitIssuer
from fuchsiafork.target_limits.token_bucket import TokenBucket

__all__ = (
    'Decision',
    'LimitChange',
    'NamedLimit',
    'NamedLimits',
    'Permit',
    'PermitIssuer',
    'PermitRequest',
    'TokenBucket',
    'encode_permit',
    'read_permit',
    'read_request',
)
