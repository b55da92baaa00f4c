"""Chooses the target that is expected to answer a request first."""

import dataclasses
import operator
import random
from collections.abc import Iterator, Sequence

from fuchsiafork.balancing.candidates import (
    AnyCandidate,
    Assessment,
    Choice,
    ChoiceRequest,
    Reason,
)
from fuchsiafork.kernel import rank_first

# Up to so many targets are all compared.
MAX_COMPARED = 8
# Of more targets, those compared by the ranking for the shared part of the
# prompt, and in all.
RANKED_CANDIDATES = 2
CANDIDATES = 4

_score = operator.attrgetter('score_s')


class TargetChoice:
    """
    Compares a few targets by the expected time to the first event.

    VMs whose views agree would all choose the target with the least work, until
    their views show what they sent. Targets that are drawn at random differ.
    """

    def __init__(self, assessment: Assessment, rng: random.Random) -> None:
        """Choose by an assessment of the targets."""
        self._assessment = assessment
        self._rng = rng

    def choose(
        self, candidates: Sequence[AnyCandidate], request: ChoiceRequest
    ) -> Choice[AnyCandidate] | None:
        """
        Return the target to send a request to, None if there is none.

        :param candidates: targets that accept it.
        """
        choices = [
            self._assessment.assess(candidate, request, reason)
            for candidate, reason in self._compared(candidates, request)
        ]
        if len(choices) == 1:
            return dataclasses.replace(choices[0], reason=Reason.ONLY)
        # The first of equal ones: those of the ranking come first.
        return min(choices, key=_score, default=None)

    def _compared(
        self, candidates: Sequence[AnyCandidate], request: ChoiceRequest
    ) -> Iterator[tuple[AnyCandidate, Reason]]:
        """Return the targets to compare, and why they are."""
        by_id = {
            candidate.target.target_id: candidate for candidate in candidates
        }
        ranked = _rank(by_id, request)
        for target_id, reason in ranked.items():
            yield by_id.pop(target_id), reason
        count = len(by_id)
        if len(candidates) > MAX_COMPARED:
            count = CANDIDATES - len(ranked)
        for candidate in self._rng.sample(tuple(by_id.values()), count):
            yield candidate, Reason.SAMPLED


def _rank(
    by_id: dict[str, AnyCandidate], request: ChoiceRequest
) -> dict[str, Reason]:
    """
    Return the targets that are first for the shared part of the prompt.

    The home of the part may be a target that the request avoids, and the next
    one then needn't hold the part.
    """
    if not request.affinity_key:
        return {}
    ids = by_id.keys() | request.excluded_ids
    count = RANKED_CANDIDATES + len(request.excluded_ids)
    ranked = rank_first(request.affinity_key, ids, count)
    reasons = {
        target_id: Reason.SECOND for target_id in ranked if target_id in by_id
    }
    if ranked and ranked[0] in by_id:
        reasons[ranked[0]] = Reason.HOME
    return dict(tuple(reasons.items())[:RANKED_CANDIDATES])


__all__ = ('CANDIDATES', 'MAX_COMPARED', 'TargetChoice')
