"""I/O that a system requests and its program carries out."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """
    A message to another process, or to another system of this process.

    :ivar destination: node id, such as ``delta-a-1/keeper``.
    :ivar sender: node id of the process that created a forwarded message,
        empty if this process created it.
    """

    destination: str
    message: Any
    sender: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ReadKey:
    """
    A read of one key of the key-value service.

    :ivar tag: copied to the result, names the system that receives it.
    """

    key: str
    tag: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListKeys:
    """
    A read of all keys with a prefix from the key-value service.

    :ivar tag: copied to the result, names the system that receives it.
    """

    prefix: str
    tag: str


@dataclasses.dataclass(frozen=True, slots=True)
class CompareAndSwap:
    """
    A write that is applied only if the key is at the expected revision.

    :ivar expected_revision: revision of the key's last write, 0 if the key
        must not exist.
    :ivar value: new value, or None to delete the key.
    :ivar tag: copied to the result, names the system that receives it.
    """

    key: str
    expected_revision: int
    value: bytes | None
    tag: str


StoreOperation = ReadKey | ListKeys | CompareAndSwap


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRead:
    """Result of `ReadKey`: revision 0 and value None for a missing key."""

    tag: str
    key: str
    revision: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeysListed:
    """
    Result of `ListKeys`.

    :ivar rows: key, revision and value of each key found.
    """

    tag: str
    prefix: str
    rows: tuple[tuple[str, int, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SwapDone:
    """
    Result of `CompareAndSwap`.

    :ivar revision: new revision of the key if the write succeeded.
    """

    tag: str
    key: str
    succeeded: bool
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """
    Result of an operation that the key-value service did not answer.

    :ivar outcome_unknown: whether a write may have been applied.
    """

    tag: str
    key: str
    outcome_unknown: bool


StoreAnswer = KeyRead | KeysListed | SwapDone | StoreFailed


def store_failure(
    operation: StoreOperation,
    *,
    unknown: bool,
) -> StoreFailed:
    """Return the result of an operation that was not answered."""
    key = getattr(operation, 'key', getattr(operation, 'prefix', ''))
    return StoreFailed(operation.tag, key, outcome_unknown=unknown)


class Outbox:
    """Collects the messages and store operations of one step, in order."""

    def __init__(self) -> None:
        """Start empty."""
        self._sends: list[Send] = []
        self._operations: list[StoreOperation] = []

    def send(self, destination: str, message: Any) -> None:
        """Queue a message for a node."""
        self._sends.append(Send(destination, message))

    def forward(self, destination: str, message: Any, sender: str) -> None:
        """Queue a message that another process sent for a node."""
        self._sends.append(Send(destination, message, sender))

    def store(self, operation: StoreOperation) -> None:
        """Queue an operation on the key-value service."""
        self._operations.append(operation)

    def drain(self) -> tuple[list[Send], list[StoreOperation]]:
        """Return and remove all queued messages and operations."""
        drained = (self._sends, self._operations)
        self._sends = []
        self._operations = []
        return drained
