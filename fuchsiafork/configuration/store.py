"""Operator's side of the stored document: reads and applies changes."""

import dataclasses
from collections.abc import Callable
from typing import Any, Protocol

from fuchsiafork.configuration.head import (
    HEAD_KEY,
    PART_PREFIX,
    Change,
    Head,
    decode_head,
    garbage,
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
# Other teams' changes each cost one attempt; 1,100 a day seldom meet.
_ATTEMPTS = 8

Edit = Callable[[Sections], Sections]


class StoreExecutor(Protocol):
    """The part of the key-value adapter that is used here."""

    def execute(self, operation: StoreOperation) -> Any:
        """Return the answer of an operation."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """
    One revision as it was read.

    :ivar swap_revision: revision of the head's key in the service.
    """

    swap_revision: int
    head: Head
    text: str

    @property
    def sections(self) -> Sections:
        """Sections by title."""
        return split_sections(self.text) if self.text else {}


class ConfigurationStore:
    """Blocking access to the document in the key-value service."""

    def __init__(self, client: StoreExecutor) -> None:
        """Use the given adapter."""
        self._client = client

    def read(self) -> Snapshot:
        """
        Return the newest revision.

        :raises StoreUnavailableError: if the service gave no answer.
        :raises ConfigurationError: if what is stored is malformed.
        """
        swap_revision, raw = self._read_key(HEAD_KEY)
        head = decode_head(raw)
        found = {}
        for name in head.parts:
            _, part = self._read_key(f'{PART_PREFIX}{name}')
            if part is not None:
                found[name] = part
        return Snapshot(swap_revision, head, join_parts(head, found))

    def apply(self, change: Change, edit: Edit) -> Change:
        """
        Return the change with its revision, after it was applied once.

        A change that changes nothing makes no revision.

        The parts are written before the head that names them, so that a
        reader never finds a head whose parts are still to come.

        :param edit: returns the wanted sections from those in force; it is
            called again when another team's change came between.
        :raises ConfigurationError: if the result is invalid.
        :raises ConfigurationConflictError: if the edit finds a conflict.
        :raises StoreUnavailableError: if the service gave no answer; the
            same change id may be applied again.
        """
        for _ in range(_ATTEMPTS):
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
            f'other changes came first {_ATTEMPTS} times',
        )

    def _write(
        self,
        before: Snapshot,
        change: Change,
        sections: Sections,
    ) -> Head | None:
        """Return the new head, or None if it must be read again."""
        text = join_sections(sections)
        parse_document(text)
        parts = split_parts(sections)
        head = next_head(before.head, text, parts, change)
        unused = self._locate(garbage(before.head, head))
        for part in parts:
            self._write_part(part, before.head)
        answer = self._client.execute(
            CompareAndSwap(
                HEAD_KEY,
                before.swap_revision,
                head.encode(),
                _TAG,
            )
        )
        # The change id in the head shows whether an unanswered write took
        # effect; one that failed for certain is not repeated in an outage.
        if isinstance(answer, StoreFailed):
            if answer.outcome_unknown:
                return None
            raise _unavailable(answer)
        if not answer.succeeded:
            return None
        self._delete(unused)
        return head

    def _write_part(self, part: bytes, present: Head) -> None:
        """
        Store a part, unless the present head names it already.

        A part that is found there was left by an earlier head and may be
        about to be deleted by the program that replaced that head. It is
        written again, so that a delete at its old revision fails.
        """
        name = part_digest(part)
        if name in present.parts:
            return
        key = f'{PART_PREFIX}{name}'
        revision = 0
        for _ in range(_ATTEMPTS):
            answer = self._client.execute(
                CompareAndSwap(key, revision, part, _TAG),
            )
            if getattr(answer, 'succeeded', False):
                return
            found = self._present_revision(answer)
            if revision and found not in {0, revision}:
                # Written since it was seen, perhaps by this very write.
                return
            revision = found
        raise ConfigurationConflictError(f'{key!r} changed all the time')

    def _locate(self, names: list[str]) -> list[tuple[str, int]]:
        """
        Return key and revision of parts.

        They are read before the head is replaced, see :meth:`_write_part`.
        """
        keys = [f'{PART_PREFIX}{name}' for name in names]
        return [(key, self._read_key(key)[0]) for key in keys]

    def _delete(self, located: list[tuple[str, int]]) -> None:
        """Delete parts that were not written since; a failure leaks one."""
        for key, revision in located:
            self._client.execute(CompareAndSwap(key, revision, None, _TAG))

    def _present_revision(self, answer: Any) -> int:
        """
        Return a part's revision after a write without success.

        :raises StoreUnavailableError: if the service gave no answer.
        """
        if not isinstance(answer, StoreFailed):
            return int(answer.revision)
        if not answer.outcome_unknown:
            raise _unavailable(answer)
        return self._read_key(answer.key)[0]

    def _read_key(self, key: str) -> tuple[int, bytes | None]:
        """Return revision and value of a key."""
        answer = self._client.execute(ReadKey(key, _TAG))
        if isinstance(answer, StoreFailed):
            raise _unavailable(answer)
        return answer.revision, answer.value


def _unavailable(answer: StoreFailed) -> StoreUnavailableError:
    """Return the error for a call without an answer."""
    return StoreUnavailableError(f'no answer for {answer.key!r}')
