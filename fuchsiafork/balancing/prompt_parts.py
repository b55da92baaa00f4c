"""Parts of prompts that targets hold already."""

import collections
import dataclasses

from fuchsiafork.kernel import Clock

# Time for which a target holds a part that this VM sent there.
HELD_S = 10.0
# Parts by target that are kept, those sent last.
MAX_SENT = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class PromptParts:
    """
    The parts of a prompt in order, of which the last one is its own.

    :ivar tokens: their sizes; parts beyond its end have an unknown size.
    """

    ids: tuple[str, ...] = ()
    tokens: tuple[int, ...] = ()

    @property
    def shared(self) -> tuple[tuple[str, int], ...]:
        """Ids and sizes of the parts that other prompts may share."""
        return tuple(zip(self.ids[:-1], self.tokens, strict=False))


class SentParts:
    """Parts that this VM sent to targets lately."""

    def __init__(self, clock: Clock) -> None:
        """Start without parts."""
        self._clock = clock
        # Times of sending by hash of target and part, oldest first.
        self._sent_at: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of parts by target."""
        return len(self._sent_at)

    def record(self, lifetime: str, parts: PromptParts) -> None:
        """Record that a prompt is sent to a target."""
        now = self._clock.now()
        sized = len(parts.tokens)
        for part_id in parts.ids[:sized]:
            key = hash((lifetime, part_id))
            self._sent_at.pop(key, None)
            self._sent_at[key] = now
        while len(self._sent_at) > MAX_SENT:
            self._sent_at.popitem(last=False)

    def held_tokens(self, lifetime: str, parts: PromptParts) -> int:
        """
        Return the tokens at the start of a prompt that a target holds.

        A target can use a part only if it holds all parts before it.
        """
        oldest = self._clock.now() - HELD_S
        held = 0
        for part_id, tokens in parts.shared:
            sent_at = self._sent_at.get(hash((lifetime, part_id)))
            if sent_at is None or sent_at < oldest:
                break
            held += tokens
        return held


__all__ = ('HELD_S', 'MAX_SENT', 'PromptParts', 'SentParts')
