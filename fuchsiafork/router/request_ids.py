"""Identifiers of requests."""

import itertools

from fuchsiafork.kernel import Identity

# Allowed unescaped in a URL path, where targets are asked for their records.
START_SEPARATOR = '~'
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
        self._start = _PART_SEPARATOR.join((name, identity.incarnation))
        self._numbers = itertools.count(1)

    def take(self) -> str:
        """Return the next id."""
        return f'{self._start}{START_SEPARATOR}{next(self._numbers)}'


def start_of(request_id: str) -> str:
    """Return the start that made an id, empty for ids of another form."""
    return request_id.rpartition(START_SEPARATOR)[0]


def is_restarted(earlier: str, later: str) -> bool:
    """Return whether two ids come from two starts of one router."""
    first, second = start_of(earlier), start_of(later)
    if not first or first == second:
        return False
    return _router_of(first) == _router_of(second)


def _router_of(start: str) -> str:
    """Return the router of a start."""
    return start.rpartition(_PART_SEPARATOR)[0]
