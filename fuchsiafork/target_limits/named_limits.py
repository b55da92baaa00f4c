"""Limits that targets in need name in their answers, as one VM knows them."""

import dataclasses
import enum
from collections.abc import Container


class LimitChange(enum.StrEnum):
    """What an answer changed of a target's limit."""

    NONE = 'none'
    NAMED = 'named'
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True, slots=True)
class NamedLimit:
    """
    The limit of a target.

    :ivar rate: requests a second that it accepts from all VMs together.
    :ivar named_at: time of the last answer that named it, seconds.
    """

    rate: float
    named_at: float


class NamedLimits:
    """The limits in force, by the target's lifetime."""

    def __init__(self) -> None:
        """Start without limits."""
        self._limits: dict[str, NamedLimit] = {}

    def __len__(self) -> int:
        """Return the number of limited targets."""
        return len(self._limits)

    def get(self, lifetime: str) -> NamedLimit | None:
        """Return the limit of a target, None if it has none."""
        return self._limits.get(lifetime)

    def record_answer(
        self, lifetime: str, rate: float | None, now: float
    ) -> LimitChange:
        """
        Record the limit in an answer; one without it ends the limit.

        :param rate: requests a second, None if the answer names no limit.
        """
        known = self._limits.get(lifetime)
        if rate is None:
            self._limits.pop(lifetime, None)
            return LimitChange.NONE if known is None else LimitChange.ENDED
        self._limits[lifetime] = NamedLimit(rate, now)
        same = known is not None and known.rate == rate
        return LimitChange.NONE if same else LimitChange.NAMED

    def end(self, lifetime: str, limit: NamedLimit) -> None:
        """Forget a limit unless it was named again meanwhile."""
        if self._limits.get(lifetime) == limit:
            self._limits.pop(lifetime)

    def retain(self, lifetimes: Container[str]) -> None:
        """Forget the targets that are not among the given ones."""
        gone = [key for key in self._limits if key not in lifetimes]
        for lifetime in gone:
            self._limits.pop(lifetime)


__all__ = ('LimitChange', 'NamedLimit', 'NamedLimits')
