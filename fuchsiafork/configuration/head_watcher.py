"""Watches the head record, in a thread of the keeper process."""

import dataclasses
import threading
from collections.abc import Callable, Iterator
from typing import Any, Protocol

from fuchsiafork.configuration.head import HEAD_KEY
from fuchsiafork.kernel.errors import StoreUnavailableError

# ConfigurationSystem polls every second, so a fast reconnect is not needed.
RETRY_S = 1.0


class WatchClient(Protocol):
    """A client of the key-value service that can watch a key."""

    def watch(self, key: str, from_revision: int) -> Iterator[Any]:
        """Yield the writes to a key from a revision on; 0 means new ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadWatcher:
    """
    Reports each write to the head while this keeper is the head reader.

    :ivar client: client of the key-value service.
    :ivar is_head_reader: see ``ConfigurationSystem.is_head_reader``.
    :ivar on_change: called with the revision of each write to the head, in
        the watcher's thread.
    :ivar stopped: set by the program when it ends.
    :ivar retry_s: seconds between two attempts to watch.
    """

    client: WatchClient
    is_head_reader: Callable[[], bool]
    on_change: Callable[[int], None]
    stopped: threading.Event
    retry_s: float = RETRY_S

    def run(self) -> None:
        """Watch until the program ends; retry after a broken watch."""
        revision = 0
        while not self.stopped.is_set():
            if self.is_head_reader():
                revision = self._watch(revision)
            self.stopped.wait(self.retry_s)

    def _watch(self, revision: int) -> int:
        """Watch until the watch ends; return the revision to continue from."""
        try:
            for event in self.client.watch(HEAD_KEY, revision):
                revision = event.revision + 1
                self.on_change(event.revision)
                if self.stopped.is_set() or not self.is_head_reader():
                    break
        except StoreUnavailableError:
            return revision
        return revision
