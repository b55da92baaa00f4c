"""Identifiers of requests."""

import itertools

from fuchsiafork.kernel import Identity

# Allowed unescaped in the URL path from which a target's record is read.
NUMBER_SEPARATOR = '~'
_PART_SEPARATOR = '.'


class RequestIds:
    """
    Generates request ids that contain the router's name and incarnation.

    A key's owner detects from them that a router was restarted while a key
    was in progress.
    """

    def __init__(self, identity: Identity) -> None:
        """Number the requests of this incarnation from 1."""
        name = identity.node.replace('/', _PART_SEPARATOR)
        self._prefix = _PART_SEPARATOR.join((name, identity.incarnation))
        self._numbers = itertools.count(1)

    def next_id(self) -> str:
        """Return the next id."""
        return f'{self._prefix}{NUMBER_SEPARATOR}{next(self._numbers)}'


def incarnation_of(request_id: str) -> str:
    """Return the router name and incarnation in an id, empty if malformed."""
    return request_id.rpartition(NUMBER_SEPARATOR)[0]


def is_router_restart(earlier: str, later: str) -> bool:
    """Return whether two ids are of two incarnations of one router."""
    first, second = incarnation_of(earlier), incarnation_of(later)
    if not first or first == second:
        return False
    return _router_name(first) == _router_name(second)


def _router_name(prefix: str) -> str:
    """Return the router name in an id's prefix."""
    return prefix.rpartition(_PART_SEPARATOR)[0]
