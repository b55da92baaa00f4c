"""Copies the versions of targets from dispatch to rollouts and loading."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

from fuchsiafork.configuration import Kind
from fuchsiafork.kernel import System
from fuchsiafork.rollouts.loading_state import LoadTarget

if TYPE_CHECKING:
    from fuchsiafork.dispatch.state import TargetState
    from fuchsiafork.keeper.composition import Systems


class VersionSync(System):
    """Counts usable targets by version and lists the engines to load."""

    def __init__(self, systems: Systems) -> None:
        """Read from the dispatch system; write to rollouts and loading."""
        super().__init__(systems.context)
        self._systems = systems
        systems.loading.is_idle = self._is_idle

    def handle(self, message: Any, sender: str) -> None:
        """Ignore messages; none are accepted."""

    def tick(self) -> None:
        """Update the state of the other systems."""
        systems = self._systems
        systems.membership.verdicts = systems.rollouts.verdict_count
        counts = self._count_usable()
        for version in sorted(systems.document.versions):
            systems.rollouts.set_target_count(version, counts[version])
        self._update_loading(counts)
        self._update_leaving()

    def _count_usable(self) -> collections.Counter[str]:
        """Return the number of usable targets of each version."""
        clock = self._context.clock
        now, wall = clock.now(), clock.wall()
        return collections.Counter(
            target.version or target.section.version
            for target in self._systems.dispatch.targets.values()
            if target.is_usable(now, wall)
        )

    def _update_loading(self, counts: collections.Counter[str]) -> None:
        """Set the owned engines and the version that each should load."""
        systems = self._systems
        loading = systems.loading
        engines = {
            name: target
            for name, target in systems.dispatch.targets.items()
            if target.version and self._is_engine(target)
        }
        loading.owned_groups = {
            self._group_key(engine) for engine in engines.values()
        }
        loading.targets = {
            name: self._load_target(engine) for name, engine in engines.items()
        }
        # At least half of the targets of a version that routes use keep
        # serving while one of them loads another version.
        loading.min_serving = {
            version: max(1, counts[version] // 2)
            for version in self._used_versions()
        }

    def _update_leaving(self) -> None:
        """Stop new work for targets that are leaving or about to load."""
        loading = self._systems.loading
        for group, attempt in tuple(loading.attempts.items()):
            # The target may have been removed from the configuration since.
            if attempt.target not in loading.targets:
                loading.attempts.pop(group)
        loading_targets = {
            attempt.target for attempt in loading.attempts.values()
        }
        self._systems.dispatch.set_leaving(
            loading_targets | self._systems.leaving_targets,
        )

    def _is_idle(self, name: str) -> bool:
        """Return whether a target runs no requests and has no used slots."""
        target = self._systems.dispatch.targets.get(name)
        return target is not None and not target.used and not target.running

    def _load_target(self, target: TargetState) -> LoadTarget:
        """Return a target as the loading system represents it."""
        wanted_version = target.section.version
        versions = self._systems.document.versions
        return LoadTarget(
            name=target.name,
            group=self._group_key(target),
            version=target.version,
            wanted_version=wanted_version,
            artifact=versions[wanted_version].artifact
            if wanted_version in versions
            else '',
        )

    def _is_engine(self, target: TargetState) -> bool:
        """Return whether a target is an engine, which accepts load orders."""
        document = self._systems.document
        version = document.versions.get(target.section.version)
        return (
            version is not None
            and document.pools[version.pool].kind is Kind.ENGINE
        )

    def _group_key(self, target: TargetState) -> str:
        """Return a group's key, unique across failure domains."""
        return f'{self._context.identity.domain}/{target.group}'

    def _used_versions(self) -> set[str]:
        """Return the versions of routes and the old versions of rollouts."""
        document = self._systems.document
        used = {route.version for route in document.routes.values()}
        used.update(section.old for section in document.rollouts.values())
        return used
