"""Messages about rollouts of versions."""

import dataclasses

from fuchsiafork.messages.registry import message


@message
@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceReport:
    """
    Evidence of one failure domain about a rollout's new version.

    All counts are cumulative, so a lost report is made up for by the next.

    :ivar section: digest of the rollout section the evidence is about.
    :ivar node: holder id of the keeper's start that saw the requests.
    :ivar log_ratios: log likelihood ratio against the version, by test and
        alternative.
    :ivar started: requests that went to the new version.
    :ivar observed: requests of the new version that ended.
    """

    rollout: str
    section: str
    domain: str
    node: str
    started: int
    observed: int
    failed: int
    log_ratios: dict[str, float]


@message
@dataclasses.dataclass(frozen=True, slots=True)
class VerdictNotice:
    """
    A verdict on a rollout, which is final for that section digest.

    :ivar verdict: ``bad`` or ``good``.
    :ivar section: digest of the rollout section it was reached under.
    """

    rollout: str
    section: str
    verdict: str
    reason: str
    domain: str
    wall_ms: int
