"""Target groups: assignment of targets and of requests to them."""

from collections.abc import Iterable, Sequence

from fuchsiafork.configuration import Document
from fuchsiafork.kernel import rank, stable_hash

TARGETS_PER_GROUP = 16

_SEPARATOR = '/'


def group_count(targets: int) -> int:
    """Return the number of groups for a pool's targets in a domain."""
    return max(1, -(-targets // TARGETS_PER_GROUP))


def pool_targets(document: Document, pool: str, domain: str) -> list[str]:
    """Return the names of a pool's targets in a domain."""
    return sorted(
        name
        for name, target in document.targets.items()
        if target.domain == domain
        and document.versions[target.version].pool == pool
    )


def request_group(
    document: Document,
    domain: str,
    route: str,
    prefixes: Sequence[int],
    request_id: str,
) -> str:
    """
    Return the group that serves a request, ``<pool>/<number>``.

    Requests with the same first prefix go to the same group, and so to the
    targets that may have the prefix cached.
    """
    pool = document.routes[route].pool
    count = group_count(len(pool_targets(document, pool, domain)))
    key = str(prefixes[0]) if prefixes else request_id
    return group_name(pool, stable_hash(key) % count)


def group_name(pool: str, number: int) -> str:
    """Return the name of a group."""
    return f'{pool}{_SEPARATOR}{number}'


def local_group(group: str, count: int) -> str:
    """Map another domain's group to one of ``count`` groups of this domain."""
    pool, _, number = group.rpartition(_SEPARATOR)
    return group_name(pool, int(number) % count) if number.isdigit() else ''


def assign_targets(pool: str, targets: Iterable[str]) -> dict[str, list[str]]:
    """
    Return the targets of each group.

    Each target is assigned to its first-ranked group that is not full, so that
    few targets change groups when one is added or removed.
    """
    names = sorted(targets, key=lambda name: (stable_hash(name), name))
    count = group_count(len(names))
    groups: dict[str, list[str]] = {
        group_name(pool, number): [] for number in range(count)
    }
    for name in names:
        order = rank(name, groups)
        full = [len(groups[group]) >= TARGETS_PER_GROUP for group in order]
        groups[order[full.index(False)]].append(name)
    return groups
