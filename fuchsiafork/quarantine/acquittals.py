"""Acquittals that one VM is going to report, unless another one does."""

import dataclasses

from fuchsiafork.quarantine.progress import Progress


@dataclasses.dataclass(frozen=True, slots=True)
class Acquittal:
    """
    A part that an answer has shown to be harmless.

    :ivar harmless: up to where.
    :ivar until: revision of the newest report that the answer refutes.
    """

    part: str
    harmless: Progress
    until: int

    def includes(self, other: 'Acquittal') -> bool:
        """Return whether another one of the same part adds nothing."""
        return self.until >= other.until and self.harmless.covers(
            other.harmless
        )


class PendingAcquittals:
    """Acquittals with the times at which to report them."""

    def __init__(self) -> None:
        """Start without acquittals."""
        self._pending: dict[str, tuple[float, Acquittal]] = {}

    @property
    def next_due_at(self) -> float | None:
        """Time of the first report, seconds; None if there is none."""
        return min((at for at, _ in self._pending.values()), default=None)

    def schedule(self, acquittal: Acquittal, due_at: float) -> None:
        """Report an acquittal at a time, or earlier if one is due before."""
        known = self._pending.get(acquittal.part)
        if known is not None:
            due_at = min(known[0], due_at)
            if known[1].includes(acquittal):
                acquittal = known[1]
        self._pending[acquittal.part] = (due_at, acquittal)

    def drop(self, reported: Acquittal) -> None:
        """Drop the report of a part if another VM's says as much."""
        known = self._pending.get(reported.part)
        if known is not None and reported.includes(known[1]):
            self._pending.pop(reported.part)

    def pop_due(self, now: float) -> list[Acquittal]:
        """Remove and return the acquittals to report now."""
        due = [
            acquittal
            for due_at, acquittal in self._pending.values()
            if due_at <= now
        ]
        for acquittal in due:
            self._pending.pop(acquittal.part)
        return due


__all__ = ('Acquittal', 'PendingAcquittals')
