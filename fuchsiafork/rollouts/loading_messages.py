"""Orders to targets and what is read back from them."""

import dataclasses

from fuchsiafork.messages.registry import message


@message
@dataclasses.dataclass(frozen=True, slots=True)
class LoadOrder:
    """
    Asks the engine adapter to order a target to load a version.

    :ivar fence: fencing number, the revision of ``orders/<target>``; a
        fenced target refuses an order with a lower one than it has seen.
    :ivar order: id of the order, reported back by the target.
    """

    target: str
    version: str
    artifact: str
    order: str
    fence: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class AskLoaded:
    """Asks the engine adapter to read back what a target has loaded."""

    target: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class LoadedVersion:
    """
    What a target says that it has loaded.

    :ivar order: id of the last order that it carried out.
    :ivar ready: whether it serves that version now.
    """

    target: str
    version: str
    order: str
    ready: bool


@message
@dataclasses.dataclass(frozen=True, slots=True)
class OrderRefused:
    """A target has seen a higher fencing number than the order's."""

    target: str
    order: str
    fence: int
