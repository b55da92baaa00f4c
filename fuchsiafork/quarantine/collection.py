"""Parts of the requests that broke with a target, until they are reported."""

import dataclasses
from collections.abc import Iterable

from fuchsiafork.quarantine.progress import EVERYTHING, START, Progress


@dataclasses.dataclass(slots=True)
class PendingEnd:
    """
    The end of a target, seen by this VM and not yet reported.

    :ivar lifetime: start of the target that ended.
    :ivar parts: parts under suspicion, with how far their answers had got.
    :ivar confirmed: whether the target was found to have ended.
    """

    lifetime: str
    parts: dict[str, Progress]
    confirmed: bool = False


class EndCollection:
    """Joins what several requests saw of the end of one target."""

    def __init__(self) -> None:
        """Start without ends."""
        self._pending: dict[str, PendingEnd] = {}

    def __len__(self) -> int:
        """Return the number of targets that may have ended."""
        return len(self._pending)

    def add(
        self,
        lifetime: str,
        parts: Iterable[str],
        progress: Progress = START,
    ) -> PendingEnd | None:
        """
        Add suspected parts; return the end if it is a new one.

        :param progress: how far the answer on them had got.
        """
        known = self._pending.get(lifetime)
        end = known or PendingEnd(lifetime, {})
        self._pending[lifetime] = end
        for part in parts:
            end.parts[part] = progress.join(end.parts.get(part, progress))
        return None if known else end

    def acquit(self, part: str, harmless: Progress = EVERYTHING) -> None:
        """
        Remove a part that an answer shows to be harmless.

        :param harmless: up to where.
        """
        for end in self._pending.values():
            progress = end.parts.get(part)
            if progress is not None and harmless.covers(progress):
                end.parts.pop(part)

    def is_suspected(self, part: str, lifetime: str) -> bool:
        """Return whether a part is suspected for another target's end."""
        return any(
            part in end.parts
            for end in self._pending.values()
            if end.lifetime != lifetime
        )

    def unconfirmed(self, parts: Iterable[str], lifetime: str) -> list[str]:
        """Return the other targets that may have ended under some parts."""
        suspected = set(parts)
        return [
            end.lifetime
            for end in self._pending.values()
            if end.lifetime != lifetime
            and not end.confirmed
            and suspected & end.parts.keys()
        ]

    def discard(self, lifetime: str) -> None:
        """Remove the end of a target that turned out to live."""
        self._pending.pop(lifetime, None)

    def is_known(self, lifetime: str) -> bool:
        """Return whether a target may have ended."""
        return lifetime in self._pending

    def is_pending(self, end: PendingEnd) -> bool:
        """Return whether an end was neither reported nor removed."""
        return self._pending.get(end.lifetime) is end

    def pop(self, end: PendingEnd) -> tuple[str, ...]:
        """Remove an end; return the parts that are still suspected."""
        self._pending.pop(end.lifetime, None)
        return tuple(end.parts)


__all__ = ('EndCollection', 'PendingEnd')
