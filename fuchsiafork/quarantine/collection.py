"""Parts of the prompts that broke with a target, until they are reported."""

import dataclasses


@dataclasses.dataclass(slots=True)
class PendingEnd:
    """
    The end of a target, seen by this VM and not yet reported.

    :ivar lifetime: start of the target that ended.
    :ivar parts: parts under suspicion.
    """

    lifetime: str
    parts: dict[str, None]


class EndCollection:
    """Joins what several requests saw of the end of one target."""

    def __init__(self) -> None:
        """Start without ends."""
        self._pending: dict[str, PendingEnd] = {}

    def add(self, lifetime: str, parts: tuple[str, ...]) -> PendingEnd | None:
        """Add suspected parts; return the end if it is a new one."""
        known = self._pending.get(lifetime)
        if known is not None:
            known.parts.update(dict.fromkeys(parts))
            return None
        end = PendingEnd(lifetime, dict.fromkeys(parts))
        self._pending[lifetime] = end
        return end

    def acquit(self, part: str) -> None:
        """Remove a part on which an answer has begun."""
        for end in self._pending.values():
            end.parts.pop(part, None)

    def is_suspected(self, part: str, lifetime: str) -> bool:
        """Return whether a part is suspected for another target's end."""
        return any(
            part in end.parts
            for end in self._pending.values()
            if end.lifetime != lifetime
        )

    def pop(self, end: PendingEnd) -> tuple[str, ...]:
        """Remove an end; return the parts that are still suspected."""
        self._pending.pop(end.lifetime, None)
        return tuple(end.parts)


__all__ = ('EndCollection', 'PendingEnd')
