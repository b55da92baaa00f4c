"""
The memory and the connections that all callers of a process take.

Decides, without I/O, what may be kept and who gives something up for it. Sizes
are estimates of resident memory, not bytes on the wire.
"""

import dataclasses

from fuchsiafork.transport.holders import (
    Holder,
    Kind,
    Stage,
    order_for_connections,
    order_for_memory,
    stands_still,
)

# Resident bytes of an open connection: transport, parser and timers.
CONNECTION_BYTES = 12_288
# Resident bytes of a header field: its two texts, their pair, and what the
# parser and the request to the target take of it.
FIELD_BYTES = 256
# A body is in memory while it is received, and once more until it is sent.
BODY_COPIES = 2
# A connection that holds at most this much, unread responses aside, is small.
# The others may together take this share of the memory, so that ordinary
# requests, and responses, find room beside large ones.
SMALL_BYTES = 65_536
LARGE_SHARE = 0.75
# Unfinished requests without progress for this long are refused as soon as
# resources are short, which they are above this share of a limit.
SLOW_S = 3.0
SHORT_SHARE = 0.5
# Shares of the memory and of the connections that those that stand still give
# up beyond what is needed, so that not each newcomer causes a search.
MEMORY_SLACK = 0.0625
CONNECTIONS_SLACK = 0.015625
# Time after a search in vain in which there is no other one.
SEARCH_INTERVAL_S = 0.1
# Groups of listeners, and the largest share of the connections of each.
CALLERS = 'callers'
INTERNAL = 'internal'
_GROUP_SHARES = {CALLERS: 0.75, INTERNAL: 0.5}


@dataclasses.dataclass(frozen=True, slots=True)
class ResourceLimits:
    """
    Limits on the callers of a process.

    :ivar memory_bytes: resident memory that they may take.
    :ivar connections: connections that may be open.
    """

    memory_bytes: int
    connections: int


UNLIMITED = ResourceLimits(1 << 50, 1 << 30)


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """
    Whether something may be kept.

    :ivar kept: whether it may be.
    :ivar shed: holders that have given up what they held, and whose
        connections are to be closed.
    """

    kept: bool
    shed: tuple[Holder, ...] = ()


_KEPT = Decision(kept=True)
_REFUSED = Decision(kept=False)


class CallerResources:
    """
    What the callers of a process hold together.

    The sums don't pass the limits unless these are lowered.

    :ivar limits: the limits in force.
    :ivar used: bytes that are held.
    :ivar used_by_kind: the same by kind.
    """

    def __init__(self, limits: ResourceLimits = UNLIMITED) -> None:
        """Start without connections."""
        self.limits = limits
        self.used = 0
        self.used_by_kind = [0 for _ in Kind]
        self._large_used = 0
        self._holders: set[Holder] = set()
        self._counts = dict.fromkeys(_GROUP_SHARES, 0)
        # Time up to which there is no search, by whether it would be urgent.
        self._no_search_until = {False: 0.0, True: 0.0}

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._holders)

    @property
    def large_used(self) -> int:
        """Bytes held by those that are not small."""
        return self._large_used

    @property
    def short(self) -> bool:
        """Whether memory or connections are short."""
        limits = self.limits
        return (
            self.used > SHORT_SHARE * limits.memory_bytes
            or len(self._holders) > SHORT_SHARE * limits.connections
        )

    def count(self, group: str) -> int:
        """Return the number of open connections of a group of listeners."""
        return self._counts[group]

    def open(self, holder: Holder, now: float) -> Decision:
        """Decide whether a new connection may stay open."""
        shed: tuple[Holder, ...] = ()
        if not self._has_place(holder.group):
            shed = self._find_connections(holder.group, now)
            if not shed:
                return _REFUSED
            for other in shed:
                self.close(other)
        self._holders.add(holder)
        self._counts[holder.group] += 1
        decision = self.resize(holder, Kind.CONNECTION, CONNECTION_BYTES, now)
        if not decision.kept:
            self.close(holder)
        return Decision(decision.kept, shed + decision.shed)

    def close(self, holder: Holder) -> None:
        """Forget a connection, unless it is forgotten already."""
        if holder not in self._holders:
            return
        self._holders.remove(holder)
        self._counts[holder.group] -= 1
        for kind, size in enumerate(holder.sizes):
            if size:
                self._grow(holder, kind, -size)

    def enter(self, holder: Holder, stage: Stage, now: float) -> None:
        """Record that a connection has got to a stage."""
        holder.stage = stage
        holder.progress_at = now

    def give_up(self, holder: Holder) -> None:
        """Release all that a connection holds beside itself."""
        for kind, size in enumerate(holder.sizes):
            if size and kind != Kind.CONNECTION:
                self._grow(holder, kind, -size)

    def resize(
        self,
        holder: Holder,
        kind: Kind,
        size: int,
        now: float,
        *,
        optional: bool = False,
    ) -> Decision:
        """
        Decide whether a holder may keep some bytes of a kind.

        If not, it keeps what it had.

        :param size: all its bytes of this kind.
        :param optional: whether nobody gives up anything for them.
        """
        growth = size - holder.sizes[kind]
        if growth > 0 and not self._may_grow(holder, kind, growth):
            shed: tuple[Holder, ...] = ()
            if not optional:
                shed = self._find_memory(holder, kind, growth, now)
            if not shed:
                return _REFUSED
            for other in shed:
                self.give_up(other)
            self._grow(holder, kind, growth)
            return Decision(kept=True, shed=shed)
        if growth and holder in self._holders:
            self._grow(holder, kind, growth)
        return _KEPT

    def find_slow(self, now: float) -> list[Holder]:
        """Return the unfinished requests to refuse, if resources are short."""
        if not self.short:
            return []
        return [
            holder
            for holder in self._holders
            if holder.stage is Stage.RECEIVING
            and holder.stalled_s(now) >= SLOW_S
        ]

    def _has_place(self, group: str) -> bool:
        """Return whether there is room for a connection of a group."""
        limit = self.limits.connections
        within = self._counts[group] < _GROUP_SHARES[group] * limit
        return within and len(self._holders) < limit

    def _find_connections(self, group: str, now: float) -> tuple[Holder, ...]:
        """Return whose connections are closed for one of a group."""
        limit = self.limits.connections
        candidates: set[Holder] = self._holders
        if self._counts[group] >= _GROUP_SHARES[group] * limit:
            candidates = {
                holder for holder in candidates if holder.group == group
            }
        ordered = order_for_connections(candidates, now)
        batch = ordered[: 1 + int(CONNECTIONS_SLACK * limit)]
        still = [holder for holder in batch if stands_still(holder, now)]
        return tuple(still or ordered[:1])

    def _find_memory(
        self, holder: Holder, kind: Kind, growth: int, now: float
    ) -> tuple[Holder, ...]:
        """Return who gives up memory so that a holder may grow, if any."""
        heavier_than: float | None = None
        if kind is Kind.RESPONSE:
            heavier_than = 0.0
        elif holder.total + growth <= SMALL_BYTES:
            heavier_than = holder.weight(now)
        urgent = heavier_than is not None
        if now < self._no_search_until[urgent]:
            return ()
        shed: list[Holder] = []
        freed, freed_large = 0, 0
        wanted = growth + int(MEMORY_SLACK * self.limits.memory_bytes)
        others = self._holders - {holder}
        for other in order_for_memory(others, now, heavier_than):
            enough = freed >= wanted or not stands_still(other, now)
            if enough and self._may_grow(
                holder, kind, growth, freed, freed_large
            ):
                break
            shed.append(other)
            freed += other.total - other.sizes[Kind.CONNECTION]
            freed_large += _large_part(other.bounded)
        if self._may_grow(holder, kind, growth, freed, freed_large):
            return tuple(shed)
        self._no_search_until[urgent] = now + SEARCH_INTERVAL_S
        return ()

    def _may_grow(
        self,
        holder: Holder,
        kind: Kind,
        growth: int,
        freed: int = 0,
        freed_large: int = 0,
    ) -> bool:
        """
        Return whether a holder may grow once others have given up some bytes.

        :param freed: these bytes.
        :param freed_large: bytes of those of them that are not small.
        """
        limit = self.limits.memory_bytes
        if holder not in self._holders or self.used - freed + growth > limit:
            return False
        bounded = holder.bounded + growth
        if kind is Kind.RESPONSE or bounded <= SMALL_BYTES:
            return True
        large = self._large_used - freed_large - _large_part(holder.bounded)
        return large + bounded <= LARGE_SHARE * limit

    def _grow(self, holder: Holder, kind: int, growth: int) -> None:
        """Add to the bytes that a holder keeps, or take some away."""
        if kind != Kind.RESPONSE:
            bounded = holder.bounded
            holder.bounded += growth
            if bounded > SMALL_BYTES or holder.bounded > SMALL_BYTES:
                self._large_used += _large_part(holder.bounded)
                self._large_used -= _large_part(bounded)
        holder.sizes[kind] += growth
        holder.total += growth
        self.used += growth
        self.used_by_kind[kind] += growth


def _large_part(bounded: int) -> int:
    """Return the bytes of a holder that count as those of a large one."""
    return bounded if bounded > SMALL_BYTES else 0


__all__ = (
    'BODY_COPIES',
    'CALLERS',
    'CONNECTION_BYTES',
    'FIELD_BYTES',
    'INTERNAL',
    'SMALL_BYTES',
    'UNLIMITED',
    'CallerResources',
    'Decision',
    'ResourceLimits',
)
