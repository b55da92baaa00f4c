"""Targets of a site that end, and are replaced by new ones seconds later."""

import abc
import asyncio
import itertools
from typing import Generic, TypeVar

from standins.platform_site import PlatformSite
from standins.platform_targets import PlatformTarget

# Time after which a target that ended is replaced.
REPLACEMENT_S = 3.0

TargetT = TypeVar('TargetT', bound=PlatformTarget)


class ReplacedTargets(abc.ABC, Generic[TargetT]):
    """The targets of a site; subclasses make the successors."""

    def __init__(self, site: PlatformSite) -> None:
        """Start without targets."""
        self._live: list[TargetT] = []
        self._site = site
        self._numbers = itertools.count()
        self._replacements: set[asyncio.Task[None]] = set()

    @property
    def live(self) -> tuple[TargetT, ...]:
        """The targets that have not ended."""
        return tuple(self._live)

    def stop(self) -> None:
        """Replace no further target."""
        for task in self._replacements:
            task.cancel()

    @abc.abstractmethod
    def _make_successor(self, target: TargetT) -> TargetT:
        """Return the target that replaces one."""

    def _schedule_replacement(self, target: TargetT) -> None:
        """Count a target as ended, and replace it later."""
        self._live.remove(target)
        task = asyncio.create_task(self._replace(target))
        self._replacements.add(task)
        task.add_done_callback(self._replacements.discard)

    async def _replace(self, target: TargetT) -> None:
        """Remove a target's entry and start another one."""
        await asyncio.sleep(REPLACEMENT_S)
        self._site.store.remove(f'servers/{target.target_id}')
        successor = self._make_successor(target)
        await self._site.add_target(successor)
        self._live.append(successor)


__all__ = ('REPLACEMENT_S', 'ReplacedTargets')
