"""Complete answers whose targets haven't yet shown that they live on."""

import collections
import dataclasses

from fuchsiafork.quarantine.progress import Progress

# A target that ends this soon after an answer may have ended under it.
SETTLE_S = 0.6
# Answers kept at most; the oldest ones count for nothing above that.
MAX_SETTLING = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """
    An answer that a target has sent to its end.

    :ivar lifetime: start of the target.
    :ivar parts: parts of the request on which it was written.
    """

    lifetime: str
    parts: tuple[str, ...]
    progress: Progress


class SettlingAnswers:
    """
    Complete answers of the last moments, on one VM.

    An answer proves nothing for its parts until its target has lived on for a
    while; if the target ends before, its parts are suspected.
    """

    def __init__(self) -> None:
        """Start without answers."""
        self._answers: collections.deque[tuple[float, CompleteAnswer]] = (
            collections.deque(maxlen=MAX_SETTLING)
        )

    def __len__(self) -> int:
        """Return the number of answers that aren't settled."""
        return len(self._answers)

    def add(self, answer: CompleteAnswer, now: float) -> None:
        """Add an answer that has just ended."""
        self._answers.append((now, answer))

    def pop_settled(self, now: float) -> list[tuple[float, CompleteAnswer]]:
        """Remove and return the answers that count, with their times."""
        settled = []
        while self._answers and self._answers[0][0] + SETTLE_S <= now:
            settled.append(self._answers.popleft())
        return settled

    def pop_lifetime(self, lifetime: str) -> list[CompleteAnswer]:
        """Remove and return the answers of a target that may have ended."""
        popped = [
            answer for _, answer in self._answers if answer.lifetime == lifetime
        ]
        if popped:
            kept = [
                entry
                for entry in self._answers
                if entry[1].lifetime != lifetime
            ]
            self._answers.clear()
            self._answers.extend(kept)
        return popped


__all__ = ('MAX_SETTLING', 'SETTLE_S', 'CompleteAnswer', 'SettlingAnswers')
