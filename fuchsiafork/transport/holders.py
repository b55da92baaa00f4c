"""What each connection of a caller holds, and in which order they give up."""

import enum
from collections.abc import Iterable

# A sender or reader makes progress as long as it keeps this rate, bytes a
# second.
MIN_RATE = 16_384
# Time without progress after which an unfinished request, or an idle
# connection, gives way to any other one.
STALLED_S = 1.0
# The same for a response that its caller does not read.
UNREAD_S = 5.0


class Kind(enum.IntEnum):
    """What a connection keeps in memory."""

    CONNECTION = 0
    HEAD = 1
    BODY = 2
    # Bytes received while a request is being served.
    PIPELINED = 3
    # Bytes of a response that the caller has not read.
    RESPONSE = 4
    # A response that is kept until it is whole.
    ANSWER = 5


class Stage(enum.IntEnum):
    """How far a connection has got."""

    # Refused; the caller may still read the refusal.
    CLOSING = 0
    RECEIVING = 1
    IDLE = 2
    # The whole response is written, but not read yet.
    RESPONDING = 3
    SERVING = 4


class Holder:
    """
    What one connection holds.

    :ivar owner: the connection.
    :ivar group: group of listeners that it belongs to.
    :ivar stage: how far it has got.
    :ivar sizes: bytes by kind.
    :ivar total: sum of the sizes.
    :ivar bounded: the same without responses that are not read, which have
        no share of their own.
    :ivar progress_at: time up to which it has made progress, seconds.
    """

    __slots__ = (
        'bounded',
        'group',
        'owner',
        'progress_at',
        'sizes',
        'stage',
        'total',
    )

    def __init__(self, owner: object, group: str, now: float) -> None:
        """Hold nothing yet."""
        self.owner = owner
        self.group = group
        self.stage = Stage.IDLE
        self.sizes = [0 for _ in Kind]
        self.total = 0
        self.bounded = 0
        self.progress_at = now

    @property
    def unread(self) -> bool:
        """Whether the caller has not read all that was written."""
        return self.stage is Stage.RESPONDING or (
            self.stage is Stage.SERVING and self.sizes[Kind.RESPONSE] > 0
        )

    def record_progress(self, size: int, now: float) -> None:
        """Record that some bytes were received, or read by the caller."""
        self.progress_at = min(now, self.progress_at + size / MIN_RATE)

    def stalled_s(self, now: float) -> float:
        """Return the seconds without progress."""
        return max(0.0, now - self.progress_at)

    def weight(self, now: float) -> float:
        """Return how much it holds for how long, in byte seconds."""
        return self.total * (self.stalled_s(now) + STALLED_S)


def order_for_memory(
    holders: Iterable[Holder], now: float, heavier_than: float | None
) -> list[Holder]:
    """
    Return the holders that give up memory for another one, first to last.

    Unfinished requests come first, and among them the one that holds most
    for longest without progress.

    :param heavier_than: weight above which an unfinished request gives up its
        memory even if it makes progress; None if only those that stand still
        do. Responses that are not read follow unless it is None.
    """
    ranked: list[tuple[int, float, Holder]] = []
    for holder in holders:
        tier = _memory_tier(holder, now, heavier_than)
        if tier is not None:
            ranked.append((tier, -holder.weight(now), holder))
    ranked.sort(key=_rank)
    return [holder for _, _, holder in ranked]


def order_for_connections(
    holders: Iterable[Holder], now: float
) -> list[Holder]:
    """
    Return the holders whose connections are closed for another one.

    The first to last; those that stand still for longest come first.
    """
    ranked: list[tuple[int, float, Holder]] = []
    for holder in holders:
        tier = _connection_tier(holder, now)
        if tier is not None:
            ranked.append((tier, -holder.stalled_s(now), holder))
    ranked.sort(key=_rank)
    return [holder for _, _, holder in ranked]


def stands_still(holder: Holder, now: float) -> bool:
    """Return whether a holder gives way to any other one."""
    if holder.stage is Stage.CLOSING:
        return True
    waits = holder.stage in {Stage.RECEIVING, Stage.IDLE}
    return waits and holder.stalled_s(now) >= STALLED_S


def _rank(entry: tuple[int, float, Holder]) -> tuple[int, float]:
    """Return the sort key of a ranked holder."""
    return entry[:2]


def _memory_tier(
    holder: Holder, now: float, heavier_than: float | None
) -> int | None:
    """Return when a holder gives up memory, None for never."""
    receiving = holder.stage is Stage.RECEIVING
    if receiving and stands_still(holder, now):
        return 0
    if heavier_than is None:
        return None
    if receiving:
        return 1 if holder.weight(now) > heavier_than else None
    stalled = holder.unread and holder.stalled_s(now) >= UNREAD_S
    return 2 if stalled else None


def _connection_tier(holder: Holder, now: float) -> int | None:
    """Return when the connection of a holder is closed, None for never."""
    still = stands_still(holder, now)
    if holder.stage in {Stage.CLOSING, Stage.RECEIVING, Stage.IDLE}:
        return holder.stage if still else holder.stage + Stage.RESPONDING
    stalled = holder.unread and holder.stalled_s(now) >= UNREAD_S
    return 2 * Stage.RESPONDING if stalled else None


__all__ = (
    'MIN_RATE',
    'STALLED_S',
    'UNREAD_S',
    'Holder',
    'Kind',
    'Stage',
    'order_for_connections',
    'order_for_memory',
    'stands_still',
)
