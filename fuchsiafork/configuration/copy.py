"""The copy of the configuration that a process has in force."""

from collections.abc import Callable

from fuchsiafork.configuration.document import Document
from fuchsiafork.configuration.parsing import digest_of, parse_document
from fuchsiafork.kernel.errors import ConfigurationError

Listener = Callable[[Document], None]


class ConfigurationCopy:
    """
    Keeps the newest valid revision and tells its listeners.

    :ivar revision: revision in force, 0 before the first.
    :ivar rejected: digests of texts that were found invalid.
    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self.revision = 0
        self.digest = ''
        self.text = ''
        self.document = Document()
        self.rejected: dict[int, str] = {}
        self._listeners: list[Listener] = []

    @property
    def ready(self) -> bool:
        """Whether a configuration is in force."""
        return self.revision > 0

    def subscribe(self, listener: Listener) -> None:
        """Call the listener with each document, and with the present one."""
        self._listeners.append(listener)
        if self.ready:
            listener(self.document)

    def wants(self, revision: int, digest: str) -> bool:
        """Return whether a revision is newer and not known to be invalid."""
        newer = revision > self.revision
        return newer and self.rejected.get(revision) != digest

    def adopt(self, revision: int, digest: str, text: str) -> bool:
        """
        Return whether a revision came into force.

        An older or equal one does not.

        :raises ConfigurationError: if the text is not that of the digest,
            or invalid; what is in force stays.
        """
        if not self.wants(revision, digest):
            return False
        if digest_of(text) != digest:
            raise ConfigurationError(f'revision {revision}: wrong digest')
        try:
            document = parse_document(text, f'revision {revision}')
        except ConfigurationError:
            # Only the newest faults matter, as revisions only rise.
            self.rejected = {revision: digest}
            raise
        self.revision = revision
        self.digest = digest
        self.text = text
        self.document = document
        for listener in self._listeners:
            listener(document)
        return True
