"""The last changes under a prefix of the store, as one VM knows them."""

import collections

from fuchsiafork.platform.store import Changes, Item
from fuchsiafork.replication import (
    ChangesAnswer,
    ChangesRequest,
    Delta,
    DeltaError,
    SharedChange,
    apply_delta,
    digest_value,
    make_delta,
)

# Smaller values are sent whole.
MIN_DELTA_BYTES = 1024
# Large values that are kept, so that VMs that are a few versions behind get
# differences.
MAX_KEPT_VALUES = 8
# Deletions that are kept for VMs that don't know them.
MAX_KEPT_DELETIONS = 1024


class ForgottenChangesError(Exception):
    """Changes that another VM asks for are no longer known."""


class ItemMirror:
    """
    The last change of each item, deletions included.

    :ivar revision: revision of the store up to which changes are known.
    :ivar era: era of the store in which revisions count.
    """

    def __init__(self) -> None:
        """Start without items."""
        self.revision = 0
        self.era = 0
        self._changed_at_revision = 0
        self._items: dict[str, Item] = {}
        self._digests: dict[str, str] = {}
        self._kept: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        # Differences that were made, by the digests of both values: most VMs
        # ask for the same ones.
        self._deltas: dict[tuple[str, str], Delta] = {}
        # Keys of deleted items, those deleted longest ago first.
        self._deleted: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        # Revision of the newest deletion that was forgotten.
        self._forgotten_revision = 0

    @property
    def digests(self) -> dict[str, str]:
        """Digests of the large values that are kept, by key."""
        return {
            key: digest
            for key, digest in self._digests.items()
            if digest in self._kept
        }

    @property
    def largest_bytes(self) -> int:
        """Size of the largest value."""
        sizes = (len(item.value or b'') for item in self._items.values())
        return max(sizes, default=0)

    def apply_listing(self, listing: Changes) -> None:
        """Apply a complete listing; items that it lacks were deleted."""
        if listing.era != self.era:
            self._start_era(listing.era)
        listed = {item.key for item in listing.items}
        deleted = tuple(
            Item(key, listing.revision, None)
            for key, item in self._items.items()
            if key not in listed and item.value is not None
        )
        items = (*listing.items, *deleted)
        self.apply(Changes(items, listing.revision, era=listing.era))

    def apply(self, changes: Changes) -> None:
        """Apply changes; those older than the known ones have no effect."""
        if changes.era != self.era:
            return
        for item in changes.items:
            known = self._items.get(item.key)
            if known is None or known.revision < item.revision:
                self._store(item)
        self.revision = max(self.revision, changes.revision)

    def has_changes(self, request: ChangesRequest) -> bool:
        """Return whether another VM doesn't know the last change."""
        newest = min(self.revision, self._changed_at_revision)
        return request.era == self.era and newest > request.after

    def answer(self, request: ChangesRequest) -> ChangesAnswer:
        """
        Return the changes that another VM doesn't know.

        :raises ForgottenChangesError: if a deletion among them was forgotten.
        """
        if request.era != self.era:
            return ChangesAnswer(self.era, self.revision, ())
        if 0 < request.after < self._forgotten_revision:
            raise ForgottenChangesError
        return ChangesAnswer(
            self.era,
            self.revision,
            tuple(
                self._share(item, request.digests.get(item.key, ''))
                for item in self._items.values()
                if item.revision > request.after
            ),
        )

    def read(self, answer: ChangesAnswer) -> Changes:
        """
        Return the changes in the answer of another VM.

        :raises DeltaError: if one differs from a value that isn't known.
        """
        items = (self._restore(change) for change in answer.changes)
        ordered = sorted(items, key=lambda item: item.revision)
        return Changes(tuple(ordered), answer.revision, era=answer.era)

    def _start_era(self, era: int) -> None:
        """Forget the items, as revisions count anew; keep large values."""
        self.era = era
        self.revision = 0
        self._changed_at_revision = 0
        self._forgotten_revision = 0
        self._deleted.clear()
        self._items.clear()
        self._digests.clear()

    def _store(self, item: Item) -> None:
        """Keep the last change of an item."""
        self._items[item.key] = item
        self._digests.pop(item.key, None)
        self._changed_at_revision = max(
            self._changed_at_revision, item.revision
        )
        self._deltas.clear()
        self._record_deletion(item)
        if item.value is None or len(item.value) < MIN_DELTA_BYTES:
            return
        digest = digest_value(item.value)
        self._digests[item.key] = digest
        self._kept[digest] = item.value
        self._kept.move_to_end(digest)
        if len(self._kept) > MAX_KEPT_VALUES:
            self._kept.popitem(last=False)

    def _record_deletion(self, item: Item) -> None:
        """Bound the number of deletions that are kept."""
        self._deleted.pop(item.key, None)
        if item.value is not None:
            return
        self._deleted[item.key] = None
        if len(self._deleted) > MAX_KEPT_DELETIONS:
            key, _ = self._deleted.popitem(last=False)
            forgotten = self._items.pop(key)
            self._forgotten_revision = max(
                self._forgotten_revision, forgotten.revision
            )

    def _share(self, item: Item, known_digest: str) -> SharedChange:
        """Return a change, as a difference from a known value if possible."""
        if item.value is None:
            return SharedChange(item.key, item.revision, None)
        digests = (known_digest, self._digests.get(item.key, ''))
        delta = self._deltas.get(digests)
        if delta is None:
            delta = make_delta(self._kept.get(known_digest), item.value)
            if all(digests):
                self._deltas[digests] = delta
        return SharedChange(item.key, item.revision, delta)

    def _restore(self, change: SharedChange) -> Item:
        """
        Return the item of a change.

        :raises DeltaError: if it differs from a value that isn't known.
        """
        if change.delta is None:
            return Item(change.key, change.revision, None)
        base = self._kept.get(change.delta.base)
        if base is None and change.delta.base:
            raise DeltaError(f'{change.delta.base!r} is not known')
        return Item(
            change.key, change.revision, apply_delta(base, change.delta)
        )


__all__ = ('ItemMirror',)
