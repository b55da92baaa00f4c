"""Messages about the rollout of target versions."""

import dataclasses

from fuchsiafork.messages.registry import message


@message
@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceReport:
    """
    Evidence of one keeper about a rollout's new version.

    All counts are cumulative, so the next report replaces a lost one.

    :ivar section: digest of the rollout section that the evidence belongs to.
    :ivar domain: failure domain of the keeper.
    :ivar node: id of the keeper process, including its incarnation.
    :ivar started: requests that were sent to the new version.
    :ivar observed: requests to the new version that ended.
    :ivar failed: requests to the new version that failed.
    :ivar log_ratios: log likelihood ratio against the version, by test and
        alternative.
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
    A verdict on a rollout, final for that section digest.

    :ivar section: digest of the rollout section that it was reached under.
    :ivar verdict: ``bad`` or ``good``.
    :ivar wall_ms: Unix time of the verdict in milliseconds.
    """

    rollout: str
    section: str
    verdict: str
    reason: str
    domain: str
    wall_ms: int
