"""Rules over the whole document, beyond the form of each section."""

import itertools
from collections.abc import Callable, Iterator

from fuchsiafork.configuration.document import (
    MAX_TOKENS,
    Document,
    Rollout,
)

KIND_OF_TABLE = {
    'budgets': 'budget',
    'accounts': 'account',
    'pools': 'pool',
    'routes': 'route',
    'versions': 'version',
    'targets': 'target',
    'rollouts': 'rollout',
}

# Field of a section -> table that must hold the name it gives.
_REFERENCES = (
    ('accounts', 'budget', 'budgets'),
    ('accounts', 'routes', 'routes'),
    ('routes', 'pool', 'pools'),
    ('routes', 'version', 'versions'),
    ('versions', 'pool', 'pools'),
    ('targets', 'version', 'versions'),
    ('rollouts', 'route', 'routes'),
    ('rollouts', 'old', 'versions'),
    ('rollouts', 'new', 'versions'),
)

# Section, key and reason of a fault.
Fault = tuple[str, str, str]


def missing_references(document: Document) -> Iterator[Fault]:
    """Yield the names that no section defines."""
    for table, field, other in _REFERENCES:
        known = getattr(document, other)
        for name, section in getattr(document, table).items():
            given = getattr(section, field)
            wanted = (given,) if isinstance(given, str) else given
            for missing in wanted:
                if missing not in known:
                    yield (
                        f'{KIND_OF_TABLE[table]}:{name}',
                        field,
                        f'no section [{KIND_OF_TABLE[other]}:{missing}]',
                    )


def broken_rules(document: Document) -> Iterator[Fault]:
    """Yield the faults of a document whose references all exist."""
    for rule in _RULES:
        yield from rule(document)


def _foreign_versions(document: Document) -> Iterator[Fault]:
    """Yield routes and rollouts with a version of another pool."""
    for name, route in document.routes.items():
        if document.versions[route.version].pool != route.pool:
            reason = f'{route.version!r} is not a version of {route.pool!r}'
            yield f'route:{name}', 'version', reason
    for name, rollout in document.rollouts.items():
        pool = document.routes[rollout.route].pool
        for key in ('old', 'new'):
            version = getattr(rollout, key)
            if document.versions[version].pool != pool:
                reason = f'{version!r} is not a version of {pool!r}'
                yield f'rollout:{name}', key, reason


def _unrelated_rollouts(document: Document) -> Iterator[Fault]:
    """Yield rollouts that do not concern their route's version."""
    for name, rollout in document.rollouts.items():
        version = document.routes[rollout.route].version
        if version not in {rollout.old, rollout.new}:
            reason = f'route {rollout.route!r} is on version {version!r}'
            yield f'rollout:{name}', 'old', reason


def _overlapping_rollouts(document: Document) -> Iterator[Fault]:
    """Yield rollouts of one route at the same time."""
    by_start = sorted(
        document.rollouts.items(),
        key=lambda row: (row[1].route, row[1].start),
    )
    for (name, first), (other, second) in itertools.pairwise(by_start):
        if _overlap(first, second):
            reason = f'overlaps with [rollout:{name}] on {second.route!r}'
            yield f'rollout:{other}', 'start', reason


def _overlap(first: Rollout, second: Rollout) -> bool:
    """Return whether a route is moved by both at one time."""
    return first.route == second.route and second.start < first.deadline


def _shared_tokens(document: Document) -> Iterator[Fault]:
    """Yield accounts with the bearer token of another."""
    yield from _repeated(document, 'accounts', 'token_sha256')


def _shared_addresses(document: Document) -> Iterator[Fault]:
    """Yield targets with the address of another."""
    yield from _repeated(document, 'targets', 'url')


def _repeated(document: Document, table: str, key: str) -> Iterator[Fault]:
    """Yield the sections that repeat a key's value."""
    kind = KIND_OF_TABLE[table]
    first: dict[str, str] = {}
    for name, section in getattr(document, table).items():
        earlier = first.setdefault(getattr(section, key), name)
        if earlier != name:
            yield f'{kind}:{name}', key, f'same as in [{kind}:{earlier}]'


def _excessive_total(document: Document) -> Iterator[Fault]:
    """Yield the budget at which the sum leaves the exact range."""
    total = 0
    for name, budget in document.budgets.items():
        total += budget.opening_tokens
        if total > MAX_TOKENS:
            reason = f'sum of all budgets is over {MAX_TOKENS}'
            yield f'budget:{name}', 'opening_tokens', reason
            return


_RULES: tuple[Callable[[Document], Iterator[Fault]], ...] = (
    _foreign_versions,
    _unrelated_rollouts,
    _overlapping_rollouts,
    _shared_tokens,
    _shared_addresses,
    _excessive_total,
)
