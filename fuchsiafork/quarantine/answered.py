"""Parts that targets have answered lately, and lived on."""

import collections
import dataclasses

from fuchsiafork.quarantine.progress import EVERYTHING, Progress

# A part is remembered this long after its last answer.
REMEMBER_S = 60.0
# Parts remembered at most; the ones answered longest ago go first.
MAX_ANSWERED = 4096
# An answer refutes all ends that are heard of in this time: many targets may
# end at once.
REFUTE_S = 1.5
# It refutes this many of the ones heard of until later, so that a part which
# has become fatal since is suspected.
REFUTE_FEW_S = 10.0
FEW_ENDS = 1


@dataclasses.dataclass(slots=True)
class _Proof:
    """
    The last answer on a part.

    :ivar refuted: targets whose late ends it refutes.
    """

    at: float
    harmless: Progress
    refuted: set[str] = dataclasses.field(default_factory=set)

    def refutes(self, lifetime: str, now: float) -> bool:
        """Return whether the end of a target counts for nothing."""
        age_s = now - self.at
        if age_s < REFUTE_S or lifetime in self.refuted:
            return True
        if age_s >= REFUTE_FEW_S or len(self.refuted) >= FEW_ENDS:
            return False
        self.refuted.add(lifetime)
        return True


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

    def has(self, part: str, now: float) -> bool:
        """Return whether a part was answered lately."""
        return self.proof(part, now) is not None

    def proof(self, part: str, now: float) -> Progress | None:
        """Return up to where a part is known to be harmless, if it is."""
        proof = self._proofs.get(part)
        if proof is None or now >= proof.at + REMEMBER_S:
            return None
        return proof.harmless

    def proof_against(
        self, part: str, lifetime: str, now: float
    ) -> Progress | None:
        """
        Return the same if the answer bears on the end of a target.

        :param lifetime: start of the target, whose end is heard of now.
        """
        proof = self._proofs.get(part)
        if proof is None or not proof.refutes(lifetime, now):
            return None
        return proof.harmless


__all__ = (
    'FEW_ENDS',
    'MAX_ANSWERED',
    'REFUTE_FEW_S',
    'REFUTE_S',
    'REMEMBER_S',
    'AnsweredParts',
)
