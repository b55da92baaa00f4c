"""Messages between the loading system and the engine adapter."""

import dataclasses

from fuchsiafork.messages.registry import message


@message
@dataclasses.dataclass(frozen=True, slots=True)
class LoadOrder:
    """
    Requests the engine adapter to order a target to load a version.

    :ivar fence: fencing number, the revision of ``orders/<target>``; a
        fenced target refuses an order with a lower number than it has seen.
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
    """Requests the engine adapter to read which version a target has loaded."""

    target: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class LoadedVersion:
    """
    The version that a target reports as loaded.

    :ivar order: id of the last order that the target carried out.
    :ivar ready: whether the target serves that version now.
    """

    target: str
    version: str
    order: str
    ready: bool


@message
@dataclasses.dataclass(frozen=True, slots=True)
class OrderRefused:
    """Reports that a target has seen a higher fencing number than this."""

    target: str
    order: str
    fence: int
