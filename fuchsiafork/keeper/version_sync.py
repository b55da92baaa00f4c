"""Tells rollouts and loading what the dispatch knows of versions."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

from fuchsiafork.configuration import Kind
from fuchsiafork.kernel import System
from fuchsiafork.rollouts.loading_state import LoadTarget

if TYPE_CHECKING:
    from fuchsiafork.dispatch.state import TargetState
    from fuchsiafork.keeper.composition import Systems


class VersionFeed(System):
    """Counts serving targets and names those that have to load."""

    def __init__(self, systems: Systems) -> None:
        """Read the dispatch's tables, write those of the others."""
        super().__init__(systems.context)
        self._systems = systems
        systems.loading.is_idle = self._is_idle

    def handle(self, message: Any, sender: str) -> None:
        """Take no messages."""

    def tick(self) -> None:
        """Bring the other systems' tables up to date."""
        systems = self._systems
        systems.membership.verdicts = systems.rollouts.verdict_count
        counts = self._serving()
        for version in sorted(systems.document.versions):
            systems.rollouts.set_target_count(version, counts[version])
        self._feed_loading(counts)
        self._drain()

    def _serving(self) -> collections.Counter[str]:
        """Return the number of usable targets by version."""
        clock = self._context.clock
        now, wall = clock.now(), clock.wall()
        return collections.Counter(
            row.version or row.section.version
            for row in self._systems.dispatch.targets.values()
            if row.is_usable(now, wall)
        )

    def _feed_loading(self, counts: collections.Counter[str]) -> None:
        """Name the owned engines with the version that each should have."""
        systems = self._systems
        loading = systems.loading
        rows = {
            name: row
            for name, row in systems.dispatch.targets.items()
            if row.version and self._is_engine(row)
        }
        loading.owned_groups = {self._group_key(row) for row in rows.values()}
        loading.targets = {
            name: self._load_target(row) for name, row in rows.items()
        }
        # Half of the targets of a version that routes use go on serving
        # while one of them loads another version.
        loading.min_serving = {
            version: max(1, counts[version] // 2)
            for version in self._used_versions()
        }

    def _drain(self) -> None:
        """Give no new work to targets that leave or are about to load."""
        loading = self._systems.loading
        for group, attempt in tuple(loading.attempts.items()):
            # The target may have left the configuration since.
            if attempt.target not in loading.targets:
                loading.attempts.pop(group)
        names = {attempt.target for attempt in loading.attempts.values()}
        self._systems.dispatch.set_leaving(
            names | self._systems.leaving_targets,
        )

    def _is_idle(self, target: str) -> bool:
        """Return whether a target runs nothing."""
        row = self._systems.dispatch.targets.get(target)
        return row is not None and not row.used and not row.running

    def _load_target(self, row: TargetState) -> LoadTarget:
        """Return a target's row of the loading system."""
        wanted_version = row.section.version
        versions = self._systems.document.versions
        return LoadTarget(
            name=row.name,
            group=self._group_key(row),
            version=row.version,
            wanted_version=wanted_version,
            artifact=versions[wanted_version].artifact
            if wanted_version in versions
            else '',
        )

    def _is_engine(self, row: TargetState) -> bool:
        """Return whether a target takes orders to load."""
        document = self._systems.document
        version = document.versions.get(row.section.version)
        return (
            version is not None
            and document.pools[version.pool].kind is Kind.ENGINE
        )

    def _group_key(self, row: TargetState) -> str:
        """Return a group's name, different in each failure domain."""
        return f'{self._context.identity.domain}/{row.group}'

    def _used_versions(self) -> set[str]:
        """Return the versions that routes or their rollouts use now."""
        document = self._systems.document
        used = {route.version for route in document.routes.values()}
        used.update(section.old for section in document.rollouts.values())
        return used
