"""Identifiers of requests."""

import itertools

from fuchsiafork.kernel import Identity

# Allowed unescaped in a URL path, where targets are asked for their records.
NUMBER_SEPARATOR = '~'
_PART_SEPARATOR = '.'


class RequestIds:
    """
    Ids that name the start of the router that made them.

    A key's home sees by them that a router was restarted while a key was in
    progress.
    """

    def __init__(self, identity: Identity) -> None:
        """Count from one for this start of the router."""
        name = identity.node.replace('/', _PART_SEPARATOR)
        self._prefix = _PART_SEPARATOR.join((name, identity.incarnation))
        self._numbers = itertools.count(1)

    def next_id(self) -> str:
        """Return the next id."""
        return f'{self._prefix}{NUMBER_SEPARATOR}{next(self._numbers)}'


def incarnation_of(request_id: str) -> str:
    """Return the start that made an id, empty for ids of another form."""
    return request_id.rpartition(NUMBER_SEPARATOR)[0]


def is_router_restart(earlier: str, later: str) -> bool:
    """Return whether two ids come from two starts of one router."""
    first, second = incarnation_of(earlier), incarnation_of(later)
    if not first or first == second:
        return False
    return _router_name(first) == _router_name(second)


def _router_name(prefix: str) -> str:
    """Return the router of a start."""
    return prefix.rpartition(_PART_SEPARATOR)[0]
