"""Rules that concern several sections of a document."""

import itertools
from collections.abc import Callable, Iterator

from fuchsiafork.configuration.document import (
    MAX_TOKENS,
    Document,
    Rollout,
)

SECTION_KINDS = {
    'budgets': 'budget',
    'accounts': 'account',
    'pools': 'pool',
    'routes': 'route',
    'versions': 'version',
    'targets': 'target',
    'rollouts': 'rollout',
}

# Table, field that refers to another section, table of that section.
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

# Section, key and reason.
RuleViolation = tuple[str, str, str]


def missing_references(document: Document) -> Iterator[RuleViolation]:
    """Yield the references to sections that do not exist."""
    for table, field, other in _REFERENCES:
        known = getattr(document, other)
        for name, section in getattr(document, table).items():
            names = getattr(section, field)
            references = (names,) if isinstance(names, str) else names
            for missing in references:
                if missing not in known:
                    yield (
                        f'{SECTION_KINDS[table]}:{name}',
                        field,
                        f'no section [{SECTION_KINDS[other]}:{missing}]',
                    )


def rule_violations(document: Document) -> Iterator[RuleViolation]:
    """Yield violations of the other rules; all references must exist."""
    for rule in _RULES:
        yield from rule(document)


def _versions_of_other_pools(document: Document) -> Iterator[RuleViolation]:
    """Yield routes and rollouts that use a version of another pool."""
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


def _unrelated_rollouts(document: Document) -> Iterator[RuleViolation]:
    """Yield rollouts whose old and new both differ from the route's version."""
    for name, rollout in document.rollouts.items():
        version = document.routes[rollout.route].version
        if version not in {rollout.old, rollout.new}:
            reason = f'route {rollout.route!r} is on version {version!r}'
            yield f'rollout:{name}', 'old', reason


def _overlapping_rollouts(document: Document) -> Iterator[RuleViolation]:
    """Yield rollouts that overlap in time with another of the same route."""
    by_start = sorted(
        document.rollouts.items(),
        key=lambda row: (row[1].route, row[1].start),
    )
    for (name, first), (other, second) in itertools.pairwise(by_start):
        if _overlap(first, second):
            reason = f'overlaps with [rollout:{name}] on {second.route!r}'
            yield f'rollout:{other}', 'start', reason


def _overlap(first: Rollout, second: Rollout) -> bool:
    """Return whether two rollouts, sorted by start, overlap on one route."""
    return first.route == second.route and second.start < first.deadline


def _duplicate_tokens(document: Document) -> Iterator[RuleViolation]:
    """Yield accounts that share a bearer token with another account."""
    yield from _duplicate_values(document, 'accounts', 'token_sha256')


def _duplicate_addresses(document: Document) -> Iterator[RuleViolation]:
    """Yield targets that share an address with another target."""
    yield from _duplicate_values(document, 'targets', 'url')


def _duplicate_values(
    document: Document, table: str, key: str
) -> Iterator[RuleViolation]:
    """Yield the sections that share a value of a key with an earlier one."""
    kind = SECTION_KINDS[table]
    first: dict[str, str] = {}
    for name, section in getattr(document, table).items():
        earlier = first.setdefault(getattr(section, key), name)
        if earlier != name:
            yield f'{kind}:{name}', key, f'same as in [{kind}:{earlier}]'


def _budget_sum_overflow(document: Document) -> Iterator[RuleViolation]:
    """Yield the budget at which the sum exceeds the largest exact integer."""
    total = 0
    for name, budget in document.budgets.items():
        total += budget.opening_tokens
        if total > MAX_TOKENS:
            reason = f'sum of all budgets is over {MAX_TOKENS}'
            yield f'budget:{name}', 'opening_tokens', reason
            return


_RULES: tuple[Callable[[Document], Iterator[RuleViolation]], ...] = (
    _versions_of_other_pools,
    _unrelated_rollouts,
    _overlapping_rollouts,
    _duplicate_tokens,
    _duplicate_addresses,
    _budget_sum_overflow,
)
