"""Keeps the configuration and the targets in step with the store."""

from collections.abc import Callable
from typing import Any

from fuchsiafork.gateway.catalog import Catalog
from fuchsiafork.gateway.targets import TargetTable
from fuchsiafork.gateway.watching import Watcher
from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.errors import ConfigurationError
from fuchsiafork.platform import names
from fuchsiafork.platform.documents import read_catalog, read_target
from fuchsiafork.platform.store import Changes, Item

# For so long after contact came back, entries that lapsed may return.
LAPSE_WINDOW_S = 4.0


class ConfigurationFeed:
    """Takes over each newer configuration."""

    def __init__(self, apply: Callable[[Catalog], None], log: Any) -> None:
        """Hand each newer configuration to a function."""
        self._apply = apply
        self._log = log
        self._version = -1

    def take(self, changes: Changes) -> None:
        """Take over the newest configuration among some items, if any."""
        documents = [
            item.value
            for item in changes.items
            if item.key == names.CONFIGURATION_KEY and item.value
        ]
        # The older ones of a batch are read only if the newest can't be.
        for document in reversed(documents):
            if self._take_document(document):
                break

    def _take_document(self, value: bytes) -> bool:
        """Take over a document unless it is older; tell if it can be read."""
        try:
            catalog = read_catalog(value)
        except ConfigurationError as error:
            self._log.error('configuration_invalid', reason=str(error))
            return False
        if catalog.version > self._version:
            self._version = catalog.version
            self._log.info('configuration_applied', version=catalog.version)
            self._apply(catalog)
        return True


class TargetFeed:
    """Takes over the entries of targets."""

    def __init__(
        self,
        table: TargetTable,
        watcher: Watcher,
        clock: Clock,
        log: Any,
    ) -> None:
        """Fill a table."""
        self.listed = False
        self._table = table
        self._watcher = watcher
        self._clock = clock
        self._log = log

    def take_all(self, changes: Changes) -> None:
        """Take over a whole listing; what it lacks is gone."""
        present = {_target_id(item) for item in changes.items}
        for target_id in self._table.ids():
            if target_id not in present:
                self._remove(target_id)
        self.take_some(changes)
        self.listed = True

    def take_some(self, changes: Changes) -> None:
        """Take over entries that have changed."""
        for item in changes.items:
            target_id = _target_id(item)
            if item.value is None:
                self._remove(target_id)
            else:
                self._put(target_id, item.value)

    def _put(self, target_id: str, value: bytes) -> None:
        """Take over an entry."""
        target = read_target(target_id, value)
        if target is None:
            self._log.info('entry_ignored', target=target_id)
            return
        self._table.put(target)
        self._log.info(
            'target_seen',
            target=target_id,
            service=target.service,
            address=target.address,
            leaving=target.leaving,
        )

    def _remove(self, target_id: str) -> None:
        """Remove a target, later if its entry may only have lapsed."""
        now = self._clock.now()
        lapsed = now - self._watcher.regained < LAPSE_WINDOW_S
        self._table.remove(target_id, now if lapsed else None)
        self._log.info('target_gone', target=target_id, may_return=lapsed)


def _target_id(item: Item) -> str:
    """Return the id of the target that an entry is about."""
    return item.key.removeprefix(names.TARGETS_PREFIX)
