"""Effects that a pure system asks its program to carry out."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """
    A message for another process, or for a system of this one.

    :ivar destination: node id, such as ``delta-a-1/keeper``.
    :ivar sender: node id of the process that made a forwarded message,
        empty for one of this process.
    """

    destination: str
    message: Any
    sender: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ReadKey:
    """A read of one key of the key-value service."""

    key: str
    tag: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListKeys:
    """A read of all keys with a prefix."""

    prefix: str
    tag: str


@dataclasses.dataclass(frozen=True, slots=True)
class CompareAndSwap:
    """
    A write that takes effect only at the expected revision.

    :ivar expected_revision: revision of the key's last write, 0 for none.
    :ivar value: new value, or None to delete the key.
    """

    key: str
    expected_revision: int
    value: bytes | None
    tag: str


StoreOperation = ReadKey | ListKeys | CompareAndSwap


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRead:
    """The answer to a read; revision 0 and no value for a missing key."""

    tag: str
    key: str
    revision: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeysListed:
    """The answer to a list: rows of key, revision and value."""

    tag: str
    prefix: str
    rows: tuple[tuple[str, int, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SwapDone:
    """
    The answer to a compare-and-swap.

    :ivar revision: the key's new revision when it succeeded.
    """

    tag: str
    key: str
    succeeded: bool
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """
    An operation without an answer.

    :ivar outcome_unknown: a write may have taken effect.
    """

    tag: str
    key: str
    outcome_unknown: bool


StoreAnswer = KeyRead | KeysListed | SwapDone | StoreFailed


def failed(
    operation: StoreOperation,
    *,
    unknown: bool,
) -> StoreFailed:
    """Return the answer that stands for no answer."""
    key = getattr(operation, 'key', getattr(operation, 'prefix', ''))
    return StoreFailed(operation.tag, key, outcome_unknown=unknown)


class Outbox:
    """Collects the effects of one step, in order."""

    def __init__(self) -> None:
        """Start empty."""
        self._sends: list[Send] = []
        self._operations: list[StoreOperation] = []

    def send(self, destination: str, message: Any) -> None:
        """Queue a message for a node."""
        self._sends.append(Send(destination, message))

    def forward(self, destination: str, message: Any, sender: str) -> None:
        """Queue a message of another process for a node."""
        self._sends.append(Send(destination, message, sender))

    def store(self, operation: StoreOperation) -> None:
        """Queue an operation on the key-value service."""
        self._operations.append(operation)

    def drain(self) -> tuple[list[Send], list[StoreOperation]]:
        """Return all queued effects and empty the box."""
        drained = (self._sends, self._operations)
        self._sends = []
        self._operations = []
        return drained
