"""State of one rollout at one keeper."""

import dataclasses
import hashlib

from fuchsiafork.configuration import Rollout
from fuchsiafork.kernel import Context
from fuchsiafork.messages import EvidenceReport, Observation
from fuchsiafork.rollouts.evidence import (
    FleetEvidence,
    KeeperEvidence,
    LocalTrials,
)
from fuchsiafork.rollouts.schedule import (
    INITIAL_REQUESTS,
    MAX_OPEN_TRIALS,
    MAX_UNPROVEN_IN_FLIGHT,
    RAMP_END,
    UNPROVEN_SHARE,
    Credit,
    Progress,
    allowed_share,
)
from fuchsiafork.rollouts.trials import Criteria


def section_digest(section: Rollout) -> str:
    """Return the digest of a rollout section without its owner."""
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
        # Kinds of events that are recorded once and already were.
        self.recorded_events: set[str] = set()
        self.started_locally = 0
        criteria = Criteria(section.max_error_share, section.max_slowdown)
        self.trials = LocalTrials(criteria)
        self.evidence = FleetEvidence(criteria)
        self._context = context
        self._credit = Credit()
        self._random_threshold = 1.0
        self._share_total = 0.0

    def share(self) -> float:
        """Return the share allowed by the evidence and the elapsed time."""
        elapsed = self._context.clock.wall() - self.start
        elapsed /= self.deadline - self.start
        proof_ratio = self.evidence.proof_ratio()
        needs_comparisons = self.trials.open_trials >= MAX_OPEN_TRIALS
        if needs_comparisons and proof_ratio < 1 and elapsed < RAMP_END:
            return 0
        return allowed_share(
            Progress(
                elapsed=elapsed,
                proof_ratio=proof_ratio,
                log_evidence=self.evidence.max_log_evidence(),
            ),
        )

    def allows(self, share: float) -> bool:
        """Return whether the next request may go to the new version."""
        if share <= 0:
            return False
        proven = self.evidence.proof_ratio() >= 1
        if not proven and self._in_flight_limit_reached():
            return False
        if share >= 1:
            return True
        if share <= UNPROVEN_SHARE:
            is_initial = self.evidence.started() < INITIAL_REQUESTS
            return is_initial or self._credit.allows(1 - share)
        return self._credit.allows(self._random_threshold - share)

    def count_start(self, share: float, *, new: bool) -> None:
        """Count a request of the route that was sent to either version."""
        self._credit.earn(share)
        self._share_total += share
        self._random_threshold = 1 - self._context.random.random()
        if new:
            if self.evidence.started() >= INITIAL_REQUESTS:
                self._credit.spend()
            self.started_locally += 1
            self.trials.own_evidence.started += 1
            self.merge_local()

    def within_share(self) -> bool:
        """Return whether this keeper stayed within the allowed shares."""
        return self.started_locally <= self._share_total + INITIAL_REQUESTS + 1

    def count_end(self, observation: Observation, *, new: bool) -> bool:
        """Count an ended request and return whether the evidence changed."""
        now = self._context.clock.now()
        if new:
            self.trials.add_new(now, observation)
        elif not self.trials.add_old(now, observation):
            return False
        self.merge_local()
        return True

    def merge_local(self) -> None:
        """Merge this keeper's observations into the fleet's evidence."""
        identity = self._context.identity
        own = self.trials.own_evidence
        self.evidence.merge(
            identity.holder,
            dataclasses.replace(
                own,
                domain=identity.domain,
                log_ratios=dict(own.log_ratios),
                received_at=self._context.clock.now(),
            ),
        )
        self.dirty = True

    def merge_report(self, report: EvidenceReport) -> None:
        """Merge the observations of another keeper."""
        reported = KeeperEvidence(
            domain=report.domain,
            started=report.started,
            observed=report.observed,
            failed=report.failed,
            log_ratios=report.log_ratios,
            received_at=self._context.clock.now(),
        )
        self.evidence.merge(report.node, reported)

    def report(self) -> EvidenceReport:
        """Return a report of this keeper's observations."""
        self.merge_local()
        self.dirty = False
        identity = self._context.identity
        own = self.trials.own_evidence
        return EvidenceReport(
            rollout=self.name,
            section=self.digest,
            domain=identity.domain,
            node=identity.holder,
            started=own.started,
            observed=own.observed,
            failed=own.failed,
            log_ratios=dict(own.log_ratios),
        )

    @property
    def is_suspect(self) -> bool:
        """Whether the new version must wait for pending comparisons."""
        now = self._context.clock.now()
        return self.evidence.is_suspect(self._context.identity.domain, now)

    @property
    def counts_in_flight(self) -> bool:
        """Whether this keeper has open requests that count for a limit."""
        own = self.trials.own_evidence
        open_here = own.started > own.observed
        return open_here and self.evidence.proof_ratio() < 1

    def _in_flight_limit_reached(self) -> bool:
        """Return whether too many requests have no observation yet."""
        bound = max(MAX_UNPROVEN_IN_FLIGHT, self.evidence.observed())
        now = self._context.clock.now()
        return self.evidence.in_flight(now) >= bound
