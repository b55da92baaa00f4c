"""What calls of the platform's store return."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """
    A key of the store and its value.

    :ivar revision: revision of the last change, 0 if the key doesn't exist.
    :ivar value: None if the key was deleted or never existed.
    """

    key: str
    revision: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """
    Items of a listing, or the changes of a watch in order.

    :ivar revision: store revision after which a watch continues.
    :ivar transfer_s: seconds for which the values were received.
    :ivar era: era of the store in which the revisions count.
    """

    items: tuple[Item, ...]
    revision: int
    transfer_s: float = 0.0
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Swap:
    """
    Result of a conditional write.

    :ivar revision: revision of the write, 0 if the condition failed.
    :ivar current: current items if the condition failed.
    """

    revision: int
    current: tuple[Item, ...] = ()


__all__ = ('Changes', 'Item', 'Swap')
