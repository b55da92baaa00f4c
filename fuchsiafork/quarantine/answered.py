"""Parts that targets have answered lately, and lived on."""

import collections
import dataclasses

from fuchsiafork.quarantine.progress import EVERYTHING, Progress

# A part is remembered this long after its last answer.
REMEMBER_S = 60.0
# Parts remembered at most; the ones answered longest ago go first.
MAX_ANSWERED = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class _Proof:
    """The last answer on a part."""

    at: float
    harmless: Progress


class AnsweredParts:
    """
    Parts that have been answered on one VM.

    A target ends under a fatal part whenever it answers on it, so that one
    which was answered is not the cause.
    """

    def __init__(self) -> None:
        """Start without parts."""
        self._proofs: collections.OrderedDict[str, _Proof] = (
            collections.OrderedDict()
        )

    def record(
        self, part: str, now: float, harmless: Progress = EVERYTHING
    ) -> None:
        """
        Record an answer on a part.

        :param harmless: up to where it shows the part to be harmless.
        """
        self._proofs[part] = _Proof(now, harmless)
        self._proofs.move_to_end(part)
        if len(self._proofs) > MAX_ANSWERED:
            self._proofs.popitem(last=False)

    def has(self, part: str, now: float, within_s: float = REMEMBER_S) -> bool:
        """Return whether a part was answered lately."""
        return self.proof(part, now, within_s) is not None

    def proof(
        self, part: str, now: float, within_s: float = REMEMBER_S
    ) -> Progress | None:
        """
        Return up to where a part is known to be harmless, None if it isn't.

        :param within_s: age of the answer from which on it counts no more.
        """
        proof = self._proofs.get(part)
        if proof is None or now >= proof.at + within_s:
            return None
        return proof.harmless


__all__ = ('MAX_ANSWERED', 'REMEMBER_S', 'AnsweredParts')
