"""Decides which version of a route gets the next request."""

import collections
import functools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.configuration import Document
from fuchsiafork.kernel import Context, System
from fuchsiafork.rollouts.peers import Peers
from fuchsiafork.rollouts.row import RolloutRow
from fuchsiafork.rollouts.spreading import Spreader
from fuchsiafork.rollouts.verdicts import (
    BAD,
    GOOD,
    Verdict,
    VerdictRecorder,
    VerdictRegistry,
)

TAKE_BACK = 'take_back'
# Time in which a verdict reaches every place that can be reached.
VERDICT_SPREAD_S = 2.0
_NO_OLD_TARGETS = 'rollback_impossible'


class RolloutSystem(System):
    """Rollouts by name; implements the interface ``VersionPolicy``."""

    accepts = (messages.EvidenceReport, messages.VerdictNotice)

    def __init__(self, context: Context, peers: Peers) -> None:
        """Start without a configuration and without verdicts."""
        super().__init__(context)
        self.rows: dict[str, RolloutRow] = {}
        self.verdicts = VerdictRegistry()
        self._spreader = Spreader(context, peers, self.verdicts)
        self._recorder = VerdictRecorder(context, self.verdicts)
        self._route_versions: dict[str, str] = {}
        self._available: dict[str, int] = {}
        self._by_route: dict[str, list[RolloutRow]] = {}
        self._bad_since: dict[str, float] = {}

    @property
    def verdict_count(self) -> int:
        """Number of rollouts with a verdict, for heartbeats."""
        return len(self.verdicts.rollouts())

    def configure(self, document: Document) -> None:
        """Take a configuration; a changed rollout starts without evidence."""
        self._route_versions = {
            name: route.version for name, route in document.routes.items()
        }
        rows = {
            name: RolloutRow(name, section, self._context)
            for name, section in document.rollouts.items()
        }
        for name, row in rows.items():
            known = self.rows.get(name)
            if known is not None and known.digest == row.digest:
                rows[name] = known
            else:
                self._admit(row)
        self.rows = rows
        self._by_route = collections.defaultdict(list)
        for row in sorted(rows.values(), key=lambda row: (row.start, row.name)):
            self._by_route[row.section.route].append(row)

    def set_available(self, version: str, count: int) -> None:
        """Tell how many targets of a version can serve here."""
        self._available[version] = count

    def choose(self, route: str) -> str:
        """
        Return the version that the route's next request goes to.

        Two calls without ``started`` between them return the same.
        """
        row = self._governing(route)
        if row is None:
            return self._route_versions.get(route, '')
        new, old = row.section.new, row.section.old
        if not self._serves(new):
            return old
        if not self._serves(old):
            self._tell_if_stuck(row)
            return new
        return new if row.allows(self._share(row)) else old

    def started(self, route: str, version: str) -> None:
        """Count a request that is sent to a version."""
        row = self._governing(route)
        if row is None:
            return
        is_new = version == row.section.new
        row.count_start(self._share(row), new=is_new)
        if is_new:
            self._check(row)
            self._spreader.report(row)

    def ended(
        self,
        route: str,
        version: str,
        observation: messages.Observation,
    ) -> None:
        """Take what was seen of a request that has ended."""
        row = self._governing(route)
        if row is None or version not in {row.section.new, row.section.old}:
            return
        is_new = version == row.section.new
        changed = row.count_end(observation, new=is_new)
        if changed and row.name not in self._bad_since:
            self._spreader.report(row, urgent=observation.failed)
            self._decide(row)

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Take one message, or an answer of the store."""
        self._recorder.handle(message)
        self._take_learned()

    @handle.register
    def _(self, message: messages.EvidenceReport, sender: str) -> None:
        row = self.rows.get(message.rollout)
        if row is None or row.digest != message.section:
            return
        row.merge_report(message)
        self._decide(row)
        self._spreader.relay(message, sender)

    @handle.register
    def _(self, message: messages.VerdictNotice, sender: str) -> None:
        verdict = Verdict(
            message.verdict,
            message.reason,
            message.domain,
            message.wall_ms,
        )
        if self.verdicts.add(message.rollout, message.section, verdict):
            self._learn(message.rollout, message.section, verdict)

    def tick(self) -> None:
        """Send reports and notices that are due."""
        now = self._context.clock.now()
        self._recorder.tick()
        self._spreader.greet(self.rows.values())
        for row in self.rows.values():
            if row.name in self._bad_since:
                continue
            if row.trials.settle(now):
                row.merge_own()
                self._decide(row)
            if row.dirty or row.waiting:
                self._spreader.report(row)
            self._tell_progress(row)

    def _admit(self, row: RolloutRow) -> None:
        """Start a rollout that is new here."""
        self._bad_since.pop(row.name, None)
        self._context.events.record(
            'rollout_configured',
            rollout=row.name,
            section=row.digest,
        )
        if row.section.take_back:
            self._reach(row, BAD, TAKE_BACK)
        verdict = self.verdicts.in_force(row.name, row.digest)
        if verdict is not None and verdict.verdict == BAD:
            self._bad_since[row.name] = self._context.clock.now()

    def _governing(self, route: str) -> RolloutRow | None:
        """Return the route's rollout that started last."""
        wall = self._context.clock.wall()
        for row in reversed(self._by_route.get(route, ())):
            if row.start <= wall:
                return row
        return None

    def _serves(self, version: str) -> bool:
        """Return whether a version has targets here; unknown counts as yes."""
        return self._available.get(version, 1) > 0

    def _verdict(self, row: RolloutRow) -> str:
        """Return the verdict in force, or an empty string."""
        verdict = self.verdicts.in_force(row.name, row.digest)
        return verdict.verdict if verdict else ''

    def _share(self, row: RolloutRow) -> float:
        """Return the share of the new version here and now."""
        verdict = self._verdict(row)
        if verdict == BAD or not self._serves(row.section.new):
            return 0
        if not self._serves(row.section.old):
            return 1
        if row.suspect:
            return 0
        return 1 if verdict == GOOD else row.share()

    def _check(self, row: RolloutRow) -> None:
        """Assert what must hold for a request sent to a new version."""
        now = self._context.clock.now()
        known_s = now - self._bad_since.get(row.name, now)
        self._context.invariants.check(
            'no_request_after_bad_verdict',
            known_s <= VERDICT_SPREAD_S or not self._serves(row.section.old),
            rollout=row.name,
            known_s=known_s,
        )
        self._context.invariants.check(
            'share_bound',
            row.within_share(),
            rollout=row.name,
            started=row.started_here,
        )

    def _decide(self, row: RolloutRow) -> None:
        """Reach a verdict if the evidence is enough."""
        verdict = self._verdict(row)
        if verdict == BAD:
            return
        if row.evidence.condemned:
            self._reach(row, BAD, row.evidence.worst()[1])
        elif not verdict and row.evidence.proofs() >= 1 and row.share() >= 1:
            self._reach(row, GOOD, 'proven')

    def _reach(self, row: RolloutRow, verdict: str, reason: str) -> None:
        """Keep a verdict, spread it and record it."""
        entry = Verdict(
            verdict,
            reason,
            self._context.identity.domain,
            int(self._context.clock.wall() * 1000),
        )
        if self.verdicts.add(row.name, row.digest, entry):
            self._learn(row.name, row.digest, entry)
            self._recorder.save(row.name)

    def _take_learned(self) -> None:
        """Act on the verdicts that the store's records held."""
        learned, self._recorder.learned = self._recorder.learned, []
        for rollout, section, verdict in learned:
            self._learn(rollout, section, verdict)

    def _learn(self, rollout: str, section: str, verdict: Verdict) -> None:
        """Act on a verdict that is new here."""
        row = self.rows.get(rollout)
        is_bad = verdict.verdict == BAD
        if row is not None and row.digest == section and is_bad:
            self._bad_since.setdefault(rollout, self._context.clock.now())
        self._context.events.record(
            f'verdict_{verdict.verdict}',
            rollout=rollout,
            section=section,
            reason=verdict.reason,
            verdict_domain=verdict.domain,
        )
        self._spreader.send_notices(rollout, section)

    def _tell_if_stuck(self, row: RolloutRow) -> None:
        """Tell the operator that a bad version cannot be taken back here."""
        stuck = self._verdict(row) == BAD or row.suspect
        if not stuck:
            row.told.discard(_NO_OLD_TARGETS)
        elif _NO_OLD_TARGETS not in row.told:
            row.told.add(_NO_OLD_TARGETS)
            self._context.events.record(
                _NO_OLD_TARGETS,
                rollout=row.name,
                old=row.section.old,
                verdict=self._verdict(row),
            )

    def _tell_progress(self, row: RolloutRow) -> None:
        """Tell the operator of a version that moved without being proven."""
        overdue = self._context.clock.wall() >= row.deadline
        if 'overdue' in row.told or not overdue:
            return
        row.told.add('overdue')
        if not self._verdict(row):
            self._context.events.record(
                'rollout_unproven_at_deadline',
                rollout=row.name,
                share=row.share(),
                log_evidence=row.evidence.worst()[0],
            )
