"""One rollout as a keeper sees it."""

import dataclasses
import hashlib

from fuchsiafork.configuration import Rollout
from fuchsiafork.kernel import Context
from fuchsiafork.messages import EvidenceReport, Observation
from fuchsiafork.rollouts.evidence import (
    Evidence,
    LocalTrials,
    Source,
)
from fuchsiafork.rollouts.schedule import (
    FIRST_REQUESTS,
    OPEN_TRIALS,
    RISE_TO,
    UNPROVEN_IN_FLIGHT,
    UNPROVEN_SHARE,
    Credit,
    Progress,
    share_of,
)
from fuchsiafork.rollouts.trials import Criteria


def section_digest(section: Rollout) -> str:
    """Return the digest of what a rollout does; its owner has no part."""
    text = section.model_dump_json(exclude={'owner'})
    return hashlib.sha256(text.encode()).hexdigest()


class RolloutState:
    """Section, evidence and credit of one rollout."""

    def __init__(self, name: str, section: Rollout, context: Context) -> None:
        """Start without evidence."""
        self.name = name
        self.section = section
        self.digest = section_digest(section)
        self.start = section.start.timestamp()
        self.deadline = section.deadline.timestamp()
        self.dirty = False
        self.next_report = 0.0
        # Kinds of events that were recorded and are not to be repeated.
        self.told: set[str] = set()
        self.started_here = 0
        criteria = Criteria(section.max_error_share, section.max_slowdown)
        self.trials = LocalTrials(criteria)
        self.evidence = Evidence(criteria)
        self._context = context
        self._credit = Credit()
        self._draw = 1.0
        self._earned = 0.0

    def share(self) -> float:
        """Return the share that evidence and time allow."""
        elapsed = self._context.clock.wall() - self.start
        elapsed /= self.deadline - self.start
        proofs = self.evidence.proofs()
        lacking = self.trials.open_trials >= OPEN_TRIALS
        if lacking and proofs < 1 and elapsed < RISE_TO:
            return 0
        return share_of(
            Progress(
                elapsed=elapsed,
                proofs=proofs,
                log_evidence=self.evidence.doubt(),
            ),
        )

    def allows(self, share: float) -> bool:
        """Return whether the next request may go to the new version."""
        if share <= 0:
            return False
        proven = self.evidence.proofs() >= 1
        if not proven and self._crowded():
            return False
        if share >= 1:
            return True
        if share <= UNPROVEN_SHARE:
            first = self.evidence.started() < FIRST_REQUESTS
            return first or self._credit.allows(1 - share)
        return self._credit.allows(self._draw - share)

    def count_start(self, share: float, *, new: bool) -> None:
        """Count a request of the route that was sent."""
        self._credit.earn(share)
        self._earned += share
        self._draw = 1 - self._context.random.random()
        if new:
            if self.evidence.started() >= FIRST_REQUESTS:
                self._credit.spend()
            self.started_here += 1
            self.trials.source.started += 1
            self.merge_own()

    def within_share(self) -> bool:
        """Return whether this keeper kept to the shares that were allowed."""
        return self.started_here <= self._earned + FIRST_REQUESTS + 1

    def count_end(self, observation: Observation, *, new: bool) -> bool:
        """Return whether the evidence changed with a request that ended."""
        now = self._context.clock.now()
        if new:
            self.trials.add_new(now, observation)
        elif not self.trials.add_old(now, observation):
            return False
        self.merge_own()
        return True

    def merge_own(self) -> None:
        """Merge what this keeper has seen into the evidence."""
        identity = self._context.identity
        source = self.trials.source
        self.evidence.merge(
            identity.holder,
            dataclasses.replace(
                source,
                domain=identity.domain,
                log_ratios=dict(source.log_ratios),
                received=self._context.clock.now(),
            ),
        )
        self.dirty = True

    def merge_report(self, report: EvidenceReport) -> None:
        """Merge what another keeper has seen."""
        source = Source(
            domain=report.domain,
            started=report.started,
            observed=report.observed,
            failed=report.failed,
            log_ratios=report.log_ratios,
            received=self._context.clock.now(),
        )
        self.evidence.merge(report.node, source)

    def report(self) -> EvidenceReport:
        """Return the report of what this keeper has seen."""
        self.merge_own()
        self.dirty = False
        identity = self._context.identity
        source = self.trials.source
        return EvidenceReport(
            rollout=self.name,
            section=self.digest,
            domain=identity.domain,
            node=identity.holder,
            started=source.started,
            observed=source.observed,
            failed=source.failed,
            log_ratios=dict(source.log_ratios),
        )

    @property
    def suspect(self) -> bool:
        """Whether the old version's requests are needed for comparison."""
        now = self._context.clock.now()
        return self.evidence.suspect(self._context.identity.domain, now)

    @property
    def waiting(self) -> bool:
        """Whether requests in flight are counted against a bound."""
        source = self.trials.source
        open_here = source.started > source.observed
        return open_here and self.evidence.proofs() < 1

    def _crowded(self) -> bool:
        """Return whether too many requests have no observation yet."""
        bound = max(UNPROVEN_IN_FLIGHT, self.evidence.observed())
        now = self._context.clock.now()
        return self.evidence.in_flight(now) >= bound
