"""Apply changes in the store to the configuration and the target table."""

from collections.abc import Callable
from typing import Any

from fuchsiafork.gateway.configuration import Configuration
from fuchsiafork.gateway.targets import TargetTable
from fuchsiafork.gateway.watcher import Watcher
from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.errors import ConfigurationError
from fuchsiafork.platform import names
from fuchsiafork.platform.documents import parse_configuration, read_target
from fuchsiafork.platform.store import Changes, Item

# Time after a connection change in which a removed entry is treated as lapsed:
# its target may register again.
REAPPEARANCE_WINDOW_S = 4.0


class ConfigurationFeed:
    """Applies each newer configuration."""

    def __init__(
        self, apply: Callable[[Configuration], None], log: Any
    ) -> None:
        """Pass each newer configuration to a function."""
        self._apply = apply
        self._log = log
        self._version = -1

    def apply_changes(self, changes: Changes) -> None:
        """Apply the newest valid configuration among changed items."""
        documents = [
            item
            for item in changes.items
            if item.key == names.CONFIGURATION_KEY and item.value
        ]
        # Older documents of a batch are parsed only if the newest is invalid.
        for document in reversed(documents):
            if self._apply_document(document, changes.transfer_s):
                break

    def _apply_document(self, document: Item, transfer_s: float) -> bool:
        """Apply a document if it is newer; return whether it is valid."""
        value = document.value or b''
        try:
            configuration = parse_configuration(value)
        except ConfigurationError as error:
            self._log.error('configuration_invalid', reason=str(error))
            return False
        if configuration.version > self._version:
            self._version = configuration.version
            self._log.info(
                'configuration_applied',
                version=configuration.version,
                revision=document.revision,
                bytes=len(value),
                transfer_s=round(transfer_s, 2),
            )
            self._apply(configuration)
        return True


class TargetFeed:
    """
    Applies the registered entries of targets to the target table.

    :ivar listed: whether a complete listing was applied.
    """

    def __init__(
        self,
        table: TargetTable,
        watcher: Watcher,
        clock: Clock,
        log: Any,
    ) -> None:
        """Update a table from the entries that a watcher follows."""
        self.listed = False
        self._era = 0
        self._table = table
        self._watcher = watcher
        self._clock = clock
        self._log = log

    def apply_listing(self, changes: Changes) -> None:
        """
        Apply a complete listing; remove targets that it lacks.

        In a new era of the store, an entry may be a copy from before the
        target restarted. The later start stays until it registers again.
        """
        present = {_target_id(item) for item in changes.items}
        for target_id in self._table.ids():
            if target_id not in present:
                self._remove(target_id)
        copied = self.listed and changes.era > self._era
        self._apply_items(changes.items, copied=copied)
        self._era = changes.era
        self.listed = True

    def apply_changes(self, changes: Changes) -> None:
        """Apply changed and deleted entries."""
        self._apply_items(changes.items)

    def _apply_items(
        self, items: tuple[Item, ...], *, copied: bool = False
    ) -> None:
        """
        Apply entries.

        :param copied: whether they come from a copy of the store.
        """
        for item in items:
            target_id = _target_id(item)
            if item.value is None:
                self._remove(target_id)
            else:
                self._upsert(target_id, item.value, copied=copied)

    def _upsert(self, target_id: str, value: bytes, *, copied: bool) -> None:
        """Add or update the target of an entry if it is valid."""
        target = read_target(target_id, value)
        if target is None:
            self._log.info('entry_ignored', target=target_id)
            return
        if copied and self._table.is_outdated(target):
            self._log.info('entry_outdated', target=target.lifetime)
            return
        self._table.upsert(target, self._clock.now())
        self._log.info(
            'target_seen',
            target=target_id,
            service=target.service,
            address=target.address,
            leaving=target.leaving,
        )

    def _remove(self, target_id: str) -> None:
        """Remove a target, with a grace period if its entry may have lapsed."""
        now = self._clock.now()
        may_return = (
            now - self._watcher.connection_changed_at < REAPPEARANCE_WINDOW_S
        )
        self._table.remove(target_id, now, may_return=may_return)
        self._log.info('target_gone', target=target_id, may_return=may_return)


def _target_id(item: Item) -> str:
    """Return the target id of an entry."""
    return item.key.removeprefix(names.TARGETS_PREFIX)
