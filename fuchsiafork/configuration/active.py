"""The configuration revision that is in force in this process."""

from collections.abc import Callable, Iterable

from fuchsiafork.configuration.document import Document
from fuchsiafork.configuration.parsing import digest_of
from fuchsiafork.configuration.part_parser import PartParser
from fuchsiafork.kernel.errors import ConfigurationError
from fuchsiafork.messages import ConfigurationDocument

# Peers that are further behind receive the whole document.
REVISIONS_KEPT = 64

Listener = Callable[[Document], None]


class ActiveConfiguration:
    """
    Holds the newest valid revision and notifies listeners of each new one.

    :ivar revision: revision in force, 0 if there is none yet.
    :ivar digest: digest of the whole document.
    :ivar parts: digests of its parts in order.
    :ivar document: validated document in force.
    :ivar rejected: revision and digest of the last invalid document.
    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self.revision = 0
        self.digest = ''
        self.parts: tuple[str, ...] = ()
        self.document = Document()
        self.rejected: dict[int, str] = {}
        self._part_texts: dict[str, str] = {}
        self._history: dict[int, tuple[str, ...]] = {}
        self._pending: dict[str, str] = {}
        self._pending_revision = (0, '')
        self._parser = PartParser()
        self._listeners: list[Listener] = []

    @property
    def ready(self) -> bool:
        """Whether a configuration is in force."""
        return self.revision > 0

    @property
    def text(self) -> str:
        """The whole document in force."""
        return ''.join(self._part_texts[name] for name in self.parts)

    def subscribe(self, listener: Listener) -> None:
        """Call a listener with the document in force and each new one."""
        self._listeners.append(listener)
        if self.ready:
            listener(self.document)

    def is_candidate(self, revision: int, digest: str) -> bool:
        """Return whether a revision is newer and was not rejected."""
        newer = revision > self.revision
        return newer and self.rejected.get(revision) != digest

    def part_texts_since(self, revision: int) -> list[str]:
        """Return the texts of the parts added since a revision."""
        known = set(self._history.get(revision, ()))
        return [
            self._part_texts[name] for name in self.parts if name not in known
        ]

    def missing_parts(
        self, revision: int, digest: str, parts: Iterable[str]
    ) -> list[str]:
        """Return the digests of the parts that a new revision still lacks."""
        self._select_pending(revision, digest)
        available = self._part_texts.keys() | self._pending.keys()
        return [name for name in parts if name not in available]

    def apply_text(self, revision: int, digest: str, text: str) -> bool:
        """
        Apply a revision that is given as one text; see :meth:`apply`.

        :raises ConfigurationError: if the text is invalid.
        """
        return self.apply(ConfigurationDocument(revision, digest, text))

    def apply(self, message: ConfigurationDocument) -> bool:
        """
        Add parts of a revision; return whether it has come into force.

        False if the revision is not newer, was rejected before or still
        lacks parts.

        :raises ConfigurationError: if the text is invalid or doesn't match
            its digest; the revision in force is kept.
        """
        revision, digest = message.revision, message.digest
        if not self.is_candidate(revision, digest):
            return False
        self._select_pending(revision, digest)
        texts = message.texts if message.parts else (message.text,)
        texts_by_digest = {digest_of(text): text for text in texts}
        parts = message.parts or tuple(texts_by_digest)
        self._pending.update({
            name: text
            for name, text in texts_by_digest.items()
            if name in parts
        })
        if self.missing_parts(revision, digest, parts):
            return False
        available_texts = {**self._part_texts, **self._pending}
        self._pending = {}
        document = self._validate(
            revision,
            digest,
            {name: available_texts[name] for name in parts},
        )
        self._part_texts = {name: available_texts[name] for name in parts}
        self._activate(revision, digest, document)
        return True

    def _select_pending(self, revision: int, digest: str) -> None:
        """Discard pending parts of any other revision."""
        if self._pending_revision != (revision, digest):
            self._pending_revision = (revision, digest)
            self._pending = {}

    def _validate(
        self,
        revision: int,
        digest: str,
        texts: dict[str, str],
    ) -> Document:
        """Parse the document of a revision; remember an invalid one."""
        if digest_of(*texts.values()) != digest:
            raise ConfigurationError(f'revision {revision}: wrong digest')
        try:
            return self._parser.parse(texts, f'revision {revision}')
        except ConfigurationError:
            # Revisions only increase, so earlier rejections can be dropped.
            self.rejected = {revision: digest}
            raise

    def _activate(
        self,
        revision: int,
        digest: str,
        document: Document,
    ) -> None:
        """Replace the document in force and notify the listeners."""
        self.revision = revision
        self.digest = digest
        self.parts = tuple(self._part_texts)
        self.document = document
        self._history[revision] = self.parts
        if len(self._history) > REVISIONS_KEPT:
            self._history.pop(min(self._history))
        for listener in self._listeners:
            listener(document)
