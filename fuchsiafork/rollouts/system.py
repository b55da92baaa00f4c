"""Decides which version of a route gets the next request."""

import collections
import functools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.configuration import Document
from fuchsiafork.kernel import Context, System
from fuchsiafork.rollouts.broadcasting import PeerBroadcaster
from fuchsiafork.rollouts.peers import Peers
from fuchsiafork.rollouts.rollout_state import RolloutState
from fuchsiafork.rollouts.verdicts import (
    BAD,
    GOOD,
    Verdict,
    VerdictRecorder,
    VerdictRegistry,
)

TAKE_BACK = 'take_back'
# Time within which a verdict reaches every reachable keeper.
VERDICT_PROPAGATION_S = 2.0
_ROLLBACK_IMPOSSIBLE = 'rollback_impossible'


class RolloutSystem(System):
    """Rollouts by name; implements the interface ``VersionPolicy``."""

    accepts = (messages.EvidenceReport, messages.VerdictNotice)

    def __init__(self, context: Context, peers: Peers) -> None:
        """Start without a configuration and without verdicts."""
        super().__init__(context)
        self.states: dict[str, RolloutState] = {}
        self.verdicts = VerdictRegistry()
        self._broadcaster = PeerBroadcaster(context, peers, self.verdicts)
        self._recorder = VerdictRecorder(context, self.verdicts)
        self._route_versions: dict[str, str] = {}
        self._target_counts: dict[str, int] = {}
        self._by_route: dict[str, list[RolloutState]] = {}
        self._bad_since: dict[str, float] = {}

    @property
    def verdict_count(self) -> int:
        """Number of rollouts with a verdict, sent in heartbeats."""
        return len(self.verdicts.rollouts())

    def configure(self, document: Document) -> None:
        """Apply a configuration; a changed rollout starts without evidence."""
        self._route_versions = {
            name: route.version for name, route in document.routes.items()
        }
        states = {
            name: RolloutState(name, section, self._context)
            for name, section in document.rollouts.items()
        }
        for name, state in states.items():
            known = self.states.get(name)
            if known is not None and known.digest == state.digest:
                states[name] = known
            else:
                self._start_rollout(state)
        self.states = states
        self._by_route = collections.defaultdict(list)
        for state in sorted(
            states.values(), key=lambda state: (state.start, state.name)
        ):
            self._by_route[state.section.route].append(state)

    def set_target_count(self, version: str, count: int) -> None:
        """Set the number of targets of a version that can serve here."""
        self._target_counts[version] = count

    def choose(self, route: str) -> str:
        """
        Return the version that the route's next request goes to.

        Repeated calls return the same version until ``started`` is called.
        """
        state = self._current_rollout(route)
        if state is None:
            return self._route_versions.get(route, '')
        new, old = state.section.new, state.section.old
        if not self._has_targets(new):
            return old
        if not self._has_targets(old):
            self._record_blocked_rollback(state)
            return new
        return new if state.allows(self._current_share(state)) else old

    def started(self, route: str, version: str) -> None:
        """Count a request that was sent to a version."""
        state = self._current_rollout(route)
        if state is None:
            return
        is_new = version == state.section.new
        state.count_start(self._current_share(state), new=is_new)
        if is_new:
            self._check_invariants(state)
            self._broadcaster.report_evidence(state)

    def ended(
        self,
        route: str,
        version: str,
        observation: messages.Observation,
    ) -> None:
        """Evaluate the observation of a request that has ended."""
        state = self._current_rollout(route)
        if state is None or version not in {
            state.section.new,
            state.section.old,
        }:
            return
        is_new = version == state.section.new
        changed = state.count_end(observation, new=is_new)
        if changed and state.name not in self._bad_since:
            self._broadcaster.report_evidence(state, urgent=observation.failed)
            self._evaluate(state)

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Handle a message or an answer of the store."""
        self._recorder.handle(message)
        self._apply_stored_verdicts()

    @handle.register
    def _(self, message: messages.EvidenceReport, sender: str) -> None:
        state = self.states.get(message.rollout)
        if state is None or state.digest != message.section:
            return
        state.merge_report(message)
        self._evaluate(state)
        self._broadcaster.relay_report(message, sender)

    @handle.register
    def _(self, message: messages.VerdictNotice, sender: str) -> None:
        verdict = Verdict(
            message.verdict,
            message.reason,
            message.domain,
            message.wall_ms,
        )
        if self.verdicts.add(message.rollout, message.section, verdict):
            self._apply_verdict(message.rollout, message.section, verdict)

    def tick(self) -> None:
        """Send due reports and notices, and evaluate pending trials."""
        now = self._context.clock.now()
        self._recorder.tick()
        self._broadcaster.send_to_new_peers(self.states.values())
        for state in self.states.values():
            if state.name in self._bad_since:
                continue
            if state.trials.compare_pending(now):
                state.merge_local()
                self._evaluate(state)
            if state.dirty or state.counts_in_flight:
                self._broadcaster.report_evidence(state)
            self._record_unproven_at_deadline(state)

    def _start_rollout(self, state: RolloutState) -> None:
        """Start a rollout that is new at this keeper."""
        self._bad_since.pop(state.name, None)
        self._context.events.record(
            'rollout_configured',
            rollout=state.name,
            section=state.digest,
        )
        if state.section.take_back:
            self._issue_verdict(state, BAD, TAKE_BACK)
        verdict = self.verdicts.in_force(state.name, state.digest)
        if verdict is not None and verdict.verdict == BAD:
            self._bad_since[state.name] = self._context.clock.now()

    def _current_rollout(self, route: str) -> RolloutState | None:
        """Return the route's most recently started rollout."""
        wall = self._context.clock.wall()
        for state in reversed(self._by_route.get(route, ())):
            if state.start <= wall:
                return state
        return None

    def _has_targets(self, version: str) -> bool:
        """Return whether a version has targets here, True if unknown."""
        return self._target_counts.get(version, 1) > 0

    def _verdict_in_force(self, state: RolloutState) -> str:
        """Return the verdict in force, empty if there is none."""
        verdict = self.verdicts.in_force(state.name, state.digest)
        return verdict.verdict if verdict else ''

    def _current_share(self, state: RolloutState) -> float:
        """Return the share that the new version may get at present."""
        verdict = self._verdict_in_force(state)
        if verdict == BAD or not self._has_targets(state.section.new):
            return 0
        if not self._has_targets(state.section.old):
            return 1
        if state.is_suspect:
            return 0
        return 1 if verdict == GOOD else state.share()

    def _check_invariants(self, state: RolloutState) -> None:
        """Check the invariants for a request sent to a new version."""
        now = self._context.clock.now()
        known_s = now - self._bad_since.get(state.name, now)
        self._context.invariants.check(
            'no_request_after_bad_verdict',
            known_s <= VERDICT_PROPAGATION_S
            or not self._has_targets(state.section.old),
            rollout=state.name,
            known_s=known_s,
        )
        self._context.invariants.check(
            'share_bound',
            state.within_share(),
            rollout=state.name,
            started=state.started_locally,
        )

    def _evaluate(self, state: RolloutState) -> None:
        """Issue a verdict if the evidence suffices."""
        verdict = self._verdict_in_force(state)
        if verdict == BAD:
            return
        if state.evidence.proves_bad:
            self._issue_verdict(
                state, BAD, state.evidence.strongest_evidence()[1]
            )
        elif (
            not verdict
            and state.evidence.proof_ratio() >= 1
            and state.share() >= 1
        ):
            self._issue_verdict(state, GOOD, 'proven')

    def _issue_verdict(
        self, state: RolloutState, verdict: str, reason: str
    ) -> None:
        """Add a verdict of this domain, broadcast it and store it."""
        entry = Verdict(
            verdict,
            reason,
            self._context.identity.domain,
            int(self._context.clock.wall() * 1000),
        )
        if self.verdicts.add(state.name, state.digest, entry):
            self._apply_verdict(state.name, state.digest, entry)
            self._recorder.save(state.name)

    def _apply_stored_verdicts(self) -> None:
        """Apply the verdicts that were read from the store."""
        new_verdicts, self._recorder.new_verdicts = (
            self._recorder.new_verdicts,
            [],
        )
        for rollout, section, verdict in new_verdicts:
            self._apply_verdict(rollout, section, verdict)

    def _apply_verdict(
        self, rollout: str, section: str, verdict: Verdict
    ) -> None:
        """Apply and broadcast a verdict that is new at this keeper."""
        state = self.states.get(rollout)
        is_bad = verdict.verdict == BAD
        if state is not None and state.digest == section and is_bad:
            self._bad_since.setdefault(rollout, self._context.clock.now())
        self._context.events.record(
            f'verdict_{verdict.verdict}',
            rollout=rollout,
            section=section,
            reason=verdict.reason,
            verdict_domain=verdict.domain,
        )
        self._broadcaster.broadcast_verdicts(rollout, section)

    def _record_blocked_rollback(self, state: RolloutState) -> None:
        """Record that a bad version has no old version to fall back to."""
        is_blocked = self._verdict_in_force(state) == BAD or state.is_suspect
        if not is_blocked:
            state.recorded_events.discard(_ROLLBACK_IMPOSSIBLE)
        elif _ROLLBACK_IMPOSSIBLE not in state.recorded_events:
            state.recorded_events.add(_ROLLBACK_IMPOSSIBLE)
            self._context.events.record(
                _ROLLBACK_IMPOSSIBLE,
                rollout=state.name,
                old=state.section.old,
                verdict=self._verdict_in_force(state),
            )

    def _record_unproven_at_deadline(self, state: RolloutState) -> None:
        """Record a version that has no verdict at its deadline."""
        overdue = self._context.clock.wall() >= state.deadline
        if 'overdue' in state.recorded_events or not overdue:
            return
        state.recorded_events.add('overdue')
        if not self._verdict_in_force(state):
            self._context.events.record(
                'rollout_unproven_at_deadline',
                rollout=state.name,
                share=state.share(),
                log_evidence=state.evidence.strongest_evidence()[0],
            )
