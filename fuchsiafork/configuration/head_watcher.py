"""The watch on the head record, for a thread of the keeper's program."""

import dataclasses
import threading
from collections.abc import Callable, Iterator
from typing import Any, Protocol

from fuchsiafork.configuration.head import HEAD_KEY
from fuchsiafork.kernel.errors import StoreUnavailableError

# The system polls once a second anyway, so a broken watch need not hurry.
RETRY_S = 1.0


class Watches(Protocol):
    """The part of the key-value adapter that is used here."""

    def watch(self, key: str, from_revision: int) -> Iterator[Any]:
        """Yield the writes to a key from a revision on, 0 for new ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadWatcher:
    """
    Tells of each new head while it is this keeper's turn.

    :ivar wanted: whether it is, see ``ConfigurationSystem.reads_head``.
    :ivar changed: called with the revision of each write to the head, in
        the watcher's thread.
    :ivar stopped: set by the program when it ends.
    """

    client: Watches
    wanted: Callable[[], bool]
    changed: Callable[[int], None]
    stopped: threading.Event
    retry_s: float = RETRY_S

    def run(self) -> None:
        """Watch until the program ends; breaks are followed by a retry."""
        revision = 0
        while not self.stopped.is_set():
            if self.wanted():
                revision = self._watch(revision)
            self.stopped.wait(self.retry_s)

    def _watch(self, revision: int) -> int:
        """Return the revision to go on from after a watch has ended."""
        try:
            for event in self.client.watch(HEAD_KEY, revision):
                revision = event.revision + 1
                self.changed(event.revision)
                if self.stopped.is_set() or not self.wanted():
                    break
        except StoreUnavailableError:
            return revision
        return revision
