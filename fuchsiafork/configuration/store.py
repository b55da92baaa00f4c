"""Reads and changes the stored document, for operator commands."""

import dataclasses
from collections.abc import Callable
from typing import Any, Protocol

from fuchsiafork.configuration.head import (
    HEAD_KEY,
    PART_PREFIX,
    Change,
    Head,
    decode_head,
    deletable_parts,
    join_parts,
    next_head,
    part_digest,
    split_parts,
)
from fuchsiafork.configuration.parsing import parse_document
from fuchsiafork.configuration.sections import (
    Sections,
    join_sections,
    split_sections,
)
from fuchsiafork.kernel.errors import (
    ConfigurationConflictError,
    StoreUnavailableError,
)
from fuchsiafork.kernel.outbox import (
    CompareAndSwap,
    ReadKey,
    StoreFailed,
    StoreOperation,
)

_TAG = 'configuration:operator'
# Each concurrent change of another team costs one attempt; at 1,100 changes a
# day, collisions are rare.
_MAX_ATTEMPTS = 8

Edit = Callable[[Sections], Sections]


class StoreExecutor(Protocol):
    """A client of the key-value service that runs single operations."""

    def execute(self, operation: StoreOperation) -> Any:
        """Return the result of an operation."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """
    One revision as read from the store.

    :ivar key_revision: revision of the head's key in the key-value service.
    """

    key_revision: int
    head: Head
    text: str

    @property
    def sections(self) -> Sections:
        """Sections by title."""
        return split_sections(self.text) if self.text else {}


class ConfigurationStore:
    """Blocking access to the document in the key-value service."""

    def __init__(self, client: StoreExecutor) -> None:
        """Run all operations with the given client."""
        self._client = client

    def read(self) -> Snapshot:
        """
        Return the newest revision.

        :raises StoreUnavailableError: if the service did not answer.
        :raises ConfigurationError: if the stored document is malformed.
        """
        key_revision, raw = self._read_key(HEAD_KEY)
        head = decode_head(raw)
        found = {}
        for name in head.parts:
            _, part = self._read_key(f'{PART_PREFIX}{name}')
            if part is not None:
                found[name] = part
        return Snapshot(key_revision, head, join_parts(head, found))

    def apply(self, change: Change, edit: Edit) -> Change:
        """
        Apply a change exactly once and return it with its revision.

        An edit without effect creates no revision.

        The parts are written before the head that lists them, so that a
        reader never finds a head whose parts are not yet stored.

        :param edit: function from the stored sections to the wanted ones; it
            is called again after a concurrent change of another team.
        :raises ConfigurationError: if the result is invalid.
        :raises ConfigurationConflictError: if the edit finds a conflict.
        :raises StoreUnavailableError: if the service did not answer; the change
            can be retried with the same id.
        """
        for _ in range(_MAX_ATTEMPTS):
            before = self.read()
            applied = before.head.find(change.change_id)
            if applied is not None:
                return applied
            present = before.sections
            wanted = edit(present)
            if wanted == present:
                return dataclasses.replace(
                    change,
                    revision=before.head.revision,
                )
            head = self._write(before, change, wanted)
            if head is not None:
                return head.changes[-1]
        raise ConfigurationConflictError(
            f'other changes came first {_MAX_ATTEMPTS} times',
        )

    def _write(
        self,
        before: Snapshot,
        change: Change,
        sections: Sections,
    ) -> Head | None:
        """Write a revision; return None if the head must be read again."""
        text = join_sections(sections)
        parse_document(text)
        parts = split_parts(sections)
        head = next_head(before.head, text, parts, change)
        deletable = self._read_part_revisions(
            deletable_parts(before.head, head)
        )
        for part in parts:
            self._write_part(part, before.head)
        answer = self._client.execute(
            CompareAndSwap(
                HEAD_KEY,
                before.key_revision,
                head.encode(),
                _TAG,
            )
        )
        # After a write of unknown outcome, the next read finds the change id
        # in the head if the write took effect. A write that certainly failed
        # is not retried, so that an outage ends the command.
        if isinstance(answer, StoreFailed):
            if answer.outcome_unknown:
                return None
            raise _unavailable_error(answer)
        if not answer.succeeded:
            return None
        self._delete(deletable)
        return head

    def _write_part(self, part: bytes, present: Head) -> None:
        """
        Store a part unless the current head lists it.

        A part that is stored but not listed was left by an earlier head,
        and the process that replaced that head may be about to delete it.
        It is written again, so that a delete at its old revision fails.
        """
        name = part_digest(part)
        if name in present.parts:
            return
        key = f'{PART_PREFIX}{name}'
        revision = 0
        for _ in range(_MAX_ATTEMPTS):
            answer = self._client.execute(
                CompareAndSwap(key, revision, part, _TAG),
            )
            if getattr(answer, 'succeeded', False):
                return
            found = self._current_revision(answer)
            if revision and found not in {0, revision}:
                # Rewritten since the last read, possibly by this write.
                return
            revision = found
        raise ConfigurationConflictError(f'{key!r} kept changing')

    def _read_part_revisions(self, names: list[str]) -> list[tuple[str, int]]:
        """
        Return key and revision of each part.

        They must be read before the head is replaced, see
        :meth:`_write_part`.
        """
        keys = [f'{PART_PREFIX}{name}' for name in names]
        return [(key, self._read_key(key)[0]) for key in keys]

    def _delete(self, parts: list[tuple[str, int]]) -> None:
        """Delete parts that were not rewritten; a failure leaks one."""
        for key, revision in parts:
            self._client.execute(CompareAndSwap(key, revision, None, _TAG))

    def _current_revision(self, answer: Any) -> int:
        """
        Return a part's current revision after an unsuccessful write.

        :raises StoreUnavailableError: if the service did not answer.
        """
        if not isinstance(answer, StoreFailed):
            return int(answer.revision)
        if not answer.outcome_unknown:
            raise _unavailable_error(answer)
        return self._read_key(answer.key)[0]

    def _read_key(self, key: str) -> tuple[int, bytes | None]:
        """Return revision and value of a key."""
        answer = self._client.execute(ReadKey(key, _TAG))
        if isinstance(answer, StoreFailed):
            raise _unavailable_error(answer)
        return answer.revision, answer.value


def _unavailable_error(answer: StoreFailed) -> StoreUnavailableError:
    """Return the error for an operation that was not answered."""
    return StoreUnavailableError(f'no answer for {answer.key!r}')
