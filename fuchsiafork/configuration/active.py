"""The copy of the configuration that a process has in force."""

from collections.abc import Callable, Iterable

from fuchsiafork.configuration.document import Document
from fuchsiafork.configuration.parsing import digest_of
from fuchsiafork.configuration.part_parser import PartParser
from fuchsiafork.kernel.errors import ConfigurationError
from fuchsiafork.messages import ConfigurationDocument

# Peers that are further behind are sent the whole document.
REVISIONS_KEPT = 64

Listener = Callable[[Document], None]


class ActiveConfiguration:
    """
    Keeps the newest valid revision and tells its listeners.

    :ivar revision: revision in force, 0 before the first.
    :ivar parts: digests of its parts in order.
    :ivar rejected: digest of the last revision that was found invalid.
    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self.revision = 0
        self.digest = ''
        self.parts: tuple[str, ...] = ()
        self.document = Document()
        self.rejected: dict[int, str] = {}
        self._texts: dict[str, str] = {}
        self._history: dict[int, tuple[str, ...]] = {}
        self._pending: dict[str, str] = {}
        self._pending_of = (0, '')
        self._parser = PartParser()
        self._listeners: list[Listener] = []

    @property
    def ready(self) -> bool:
        """Whether a configuration is in force."""
        return self.revision > 0

    @property
    def text(self) -> str:
        """The whole document in force."""
        return ''.join(self._texts[name] for name in self.parts)

    def subscribe(self, listener: Listener) -> None:
        """Call the listener with each document, and with the present one."""
        self._listeners.append(listener)
        if self.ready:
            listener(self.document)

    def is_candidate(self, revision: int, digest: str) -> bool:
        """Return whether a revision is newer and not known to be invalid."""
        newer = revision > self.revision
        return newer and self.rejected.get(revision) != digest

    def part_texts_since(self, revision: int) -> list[str]:
        """Return the parts that were not in force at a revision."""
        known = set(self._history.get(revision, ()))
        return [self._texts[name] for name in self.parts if name not in known]

    def missing_parts(
        self, revision: int, digest: str, parts: Iterable[str]
    ) -> list[str]:
        """Return the parts that are still to come for a wanted revision."""
        self._await(revision, digest)
        held = self._texts.keys() | self._pending.keys()
        return [name for name in parts if name not in held]

    def apply_text(self, revision: int, digest: str, text: str) -> bool:
        """
        Return whether a revision with a whole text came into force.

        :raises ConfigurationError: see :meth:`take`.
        """
        return self.apply(ConfigurationDocument(revision, digest, text))

    def apply(self, message: ConfigurationDocument) -> bool:
        """
        Return whether a revision came into force.

        An older or equal one does not, nor does one with parts to come.

        :raises ConfigurationError: if the text is not that of the digest,
            or invalid; what is in force stays.
        """
        revision, digest = message.revision, message.digest
        if not self.is_candidate(revision, digest):
            return False
        self._await(revision, digest)
        texts = message.texts if message.parts else (message.text,)
        named = {digest_of(text): text for text in texts}
        parts = message.parts or tuple(named)
        self._pending.update({
            name: text for name, text in named.items() if name in parts
        })
        if self.missing_parts(revision, digest, parts):
            return False
        found = {**self._texts, **self._pending}
        self._pending = {}
        document = self._validate(
            revision,
            digest,
            {name: found[name] for name in parts},
        )
        self._texts = {name: found[name] for name in parts}
        self._put_in_force(revision, digest, document)
        return True

    def _await(self, revision: int, digest: str) -> None:
        """Drop parts that came for another revision."""
        if self._pending_of != (revision, digest):
            self._pending_of = (revision, digest)
            self._pending = {}

    def _validate(
        self,
        revision: int,
        digest: str,
        texts: dict[str, str],
    ) -> Document:
        """Return the document of a revision, or note that it is invalid."""
        if digest_of(*texts.values()) != digest:
            raise ConfigurationError(f'revision {revision}: wrong digest')
        try:
            return self._parser.parse(texts, f'revision {revision}')
        except ConfigurationError:
            # Only the newest faults matter, as revisions only rise.
            self.rejected = {revision: digest}
            raise

    def _put_in_force(
        self,
        revision: int,
        digest: str,
        document: Document,
    ) -> None:
        """Replace what is in force and tell the listeners."""
        self.revision = revision
        self.digest = digest
        self.parts = tuple(self._texts)
        self.document = document
        self._history[revision] = self.parts
        if len(self._history) > REVISIONS_KEPT:
            self._history.pop(min(self._history))
        for listener in self._listeners:
            listener(document)
