"""
Newest values of the store, as VMs pass them on to each other.

A VM whose link carries a large value slowly receives its changes from other
VMs, as differences from the value that it has. Does no I/O.
"""

from fuchsiafork.replication.delta import (
    Delta,
    DeltaError,
    apply_delta,
    digest_value,
    make_delta,
)
from fuchsiafork.replication.messages import (
    ChangesAnswer,
    ChangesRequest,
    SharedChange,
    encode_answer,
    read_answer,
    read_request,
)

__all__ = (
    'ChangesAnswer',
    'ChangesRequest',
    'Delta',
    'DeltaError',
    'SharedChange',
    'apply_delta',
    'digest_value',
    'encode_answer',
    'make_delta',
    'read_answer',
    'read_request',
)
