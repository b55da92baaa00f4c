"""Up to which revision one VM knows the changes under a prefix."""

from collections.abc import Iterable

from fuchsiafork.freshness.positions import Position
from fuchsiafork.kernel import Clock

# Age of changes that were never listed.
UNKNOWN_AGE_S = 86_400.0


class KnownChanges:
    """
    The revisions of the changes that one VM knows.

    :ivar era: era of the store in which revisions count.
    :ivar revision: revision up to which all changes are known, 0 at first.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without changes."""
        self.era = 0
        self.revision = 0
        self._clock = clock
        self._changed_revision = 0
        self._confirmed_at = clock.now()
        self._keys: set[str] = set()

    @property
    def confirmed_at(self) -> float:
        """Time at which no newer change was known to exist, seconds."""
        return self._confirmed_at

    @property
    def position(self) -> Position:
        """What other VMs are told."""
        age_s = UNKNOWN_AGE_S
        if self.revision:
            age_s = self._clock.now() - self._confirmed_at
        return Position(self.era, self.revision, self._changed_revision, age_s)

    def start_era(self, era: int) -> None:
        """Forget the revisions, as the store gives them out again."""
        self.era = era
        self.revision = 0
        self._changed_revision = 0

    def record_listing(
        self, revisions: dict[str, int], store_revision: int
    ) -> None:
        """
        Record a complete listing.

        :param revisions: revision of the last change by key.
        :param store_revision: revision of the store before the listing.
        """
        newest = max(revisions.values(), default=0)
        if self._keys - revisions.keys():
            # Of a deletion the listing tells no revision.
            newest = store_revision
        self._keys = set(revisions)
        self._record(store_revision, newest)

    def record_changes(
        self,
        revisions: dict[str, int],
        deleted: Iterable[str],
        store_revision: int,
    ) -> None:
        """
        Record the changes since the known revision.

        :param revisions: revision of the last change by key.
        :param deleted: those of the keys that were deleted.
        """
        self._keys.update(revisions)
        self._keys.difference_update(deleted)
        self._record(store_revision, max(revisions.values(), default=0))

    def advance(self, revision: int, changed_revision: int) -> None:
        """
        Record that another source has brought all changes up to a revision.

        :param changed_revision: revision of the newest one.
        """
        self.revision = revision
        self._changed_revision = max(self._changed_revision, changed_revision)

    def confirm(self, position: Position) -> None:
        """
        Record that another VM knows no newer change, as it says.

        All changes up to its revision are then known here as well, so that the
        store still has those after it when this VM asks the store again.
        """
        if position.era == self.era and not self.position.lacks(position):
            confirmed_at = self._clock.now() - position.age_s
            self._confirmed_at = max(self._confirmed_at, confirmed_at)
            if self.revision:
                self.revision = max(self.revision, position.revision)

    def _record(self, revision: int, changed_revision: int) -> None:
        """Record an answer of the store."""
        self.advance(revision, changed_revision)
        self._confirmed_at = self._clock.now()


__all__ = ('UNKNOWN_AGE_S', 'KnownChanges')
