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
# Time in which a verdict reaches every place that can be reached.
VERDICT_SPREAD_S = 2.0
_NO_OLD_TARGETS = 'rollback_impossible'


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
        self._available: dict[str, int] = {}
        self._by_route: dict[str, list[RolloutState]] = {}
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
        states = {
            name: RolloutState(name, section, self._context)
            for name, section in document.rollouts.items()
        }
        for name, state in states.items():
            known = self.states.get(name)
            if known is not None and known.digest == state.digest:
                states[name] = known
            else:
                self._admit(state)
        self.states = states
        self._by_route = collections.defaultdict(list)
        for state in sorted(
            states.values(), key=lambda state: (state.start, state.name)
        ):
            self._by_route[state.section.route].append(state)

    def set_target_count(self, version: str, count: int) -> None:
        """Tell how many targets of a version can serve here."""
        self._available[version] = count

    def choose(self, route: str) -> str:
        """
        Return the version that the route's next request goes to.

        Two calls without ``started`` between them return the same.
        """
        state = self._governing(route)
        if state is None:
            return self._route_versions.get(route, '')
        new, old = state.section.new, state.section.old
        if not self._serves(new):
            return old
        if not self._serves(old):
            self._tell_if_stuck(state)
            return new
        return new if state.allows(self._share(state)) else old

    def started(self, route: str, version: str) -> None:
        """Count a request that is sent to a version."""
        state = self._governing(route)
        if state is None:
            return
        is_new = version == state.section.new
        state.count_start(self._share(state), new=is_new)
        if is_new:
            self._check(state)
            self._broadcaster.report(state)

    def ended(
        self,
        route: str,
        version: str,
        observation: messages.Observation,
    ) -> None:
        """Take what was seen of a request that has ended."""
        state = self._governing(route)
        if state is None or version not in {
            state.section.new,
            state.section.old,
        }:
            return
        is_new = version == state.section.new
        changed = state.count_end(observation, new=is_new)
        if changed and state.name not in self._bad_since:
            self._broadcaster.report(state, urgent=observation.failed)
            self._decide(state)

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Take one message, or an answer of the store."""
        self._recorder.handle(message)
        self._take_learned()

    @handle.register
    def _(self, message: messages.EvidenceReport, sender: str) -> None:
        state = self.states.get(message.rollout)
        if state is None or state.digest != message.section:
            return
        state.merge_report(message)
        self._decide(state)
        self._broadcaster.relay(message, sender)

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
        self._broadcaster.greet(self.states.values())
        for state in self.states.values():
            if state.name in self._bad_since:
                continue
            if state.trials.settle(now):
                state.merge_own()
                self._decide(state)
            if state.dirty or state.waiting:
                self._broadcaster.report(state)
            self._tell_progress(state)

    def _admit(self, state: RolloutState) -> None:
        """Start a rollout that is new here."""
        self._bad_since.pop(state.name, None)
        self._context.events.record(
            'rollout_configured',
            rollout=state.name,
            section=state.digest,
        )
        if state.section.take_back:
            self._reach(state, BAD, TAKE_BACK)
        verdict = self.verdicts.in_force(state.name, state.digest)
        if verdict is not None and verdict.verdict == BAD:
            self._bad_since[state.name] = self._context.clock.now()

    def _governing(self, route: str) -> RolloutState | None:
        """Return the route's rollout that started last."""
        wall = self._context.clock.wall()
        for state in reversed(self._by_route.get(route, ())):
            if state.start <= wall:
                return state
        return None

    def _serves(self, version: str) -> bool:
        """Return whether a version has targets here; unknown counts as yes."""
        return self._available.get(version, 1) > 0

    def _verdict(self, state: RolloutState) -> str:
        """Return the verdict in force, or an empty string."""
        verdict = self.verdicts.in_force(state.name, state.digest)
        return verdict.verdict if verdict else ''

    def _share(self, state: RolloutState) -> float:
        """Return the share of the new version here and now."""
        verdict = self._verdict(state)
        if verdict == BAD or not self._serves(state.section.new):
            return 0
        if not self._serves(state.section.old):
            return 1
        if state.suspect:
            return 0
        return 1 if verdict == GOOD else state.share()

    def _check(self, state: RolloutState) -> None:
        """Assert what must hold for a request sent to a new version."""
        now = self._context.clock.now()
        known_s = now - self._bad_since.get(state.name, now)
        self._context.invariants.check(
            'no_request_after_bad_verdict',
            known_s <= VERDICT_SPREAD_S or not self._serves(state.section.old),
            rollout=state.name,
            known_s=known_s,
        )
        self._context.invariants.check(
            'share_bound',
            state.within_share(),
            rollout=state.name,
            started=state.started_here,
        )

    def _decide(self, state: RolloutState) -> None:
        """Reach a verdict if the evidence is enough."""
        verdict = self._verdict(state)
        if verdict == BAD:
            return
        if state.evidence.condemned:
            self._reach(state, BAD, state.evidence.worst()[1])
        elif (
            not verdict and state.evidence.proofs() >= 1 and state.share() >= 1
        ):
            self._reach(state, GOOD, 'proven')

    def _reach(self, state: RolloutState, verdict: str, reason: str) -> None:
        """Keep a verdict, spread it and record it."""
        entry = Verdict(
            verdict,
            reason,
            self._context.identity.domain,
            int(self._context.clock.wall() * 1000),
        )
        if self.verdicts.add(state.name, state.digest, entry):
            self._learn(state.name, state.digest, entry)
            self._recorder.save(state.name)

    def _take_learned(self) -> None:
        """Act on the verdicts that the store's records held."""
        learned, self._recorder.learned = self._recorder.learned, []
        for rollout, section, verdict in learned:
            self._learn(rollout, section, verdict)

    def _learn(self, rollout: str, section: str, verdict: Verdict) -> None:
        """Act on a verdict that is new here."""
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
        self._broadcaster.send_notices(rollout, section)

    def _tell_if_stuck(self, state: RolloutState) -> None:
        """Tell the operator that a bad version cannot be taken back here."""
        stuck = self._verdict(state) == BAD or state.suspect
        if not stuck:
            state.told.discard(_NO_OLD_TARGETS)
        elif _NO_OLD_TARGETS not in state.told:
            state.told.add(_NO_OLD_TARGETS)
            self._context.events.record(
                _NO_OLD_TARGETS,
                rollout=state.name,
                old=state.section.old,
                verdict=self._verdict(state),
            )

    def _tell_progress(self, state: RolloutState) -> None:
        """Tell the operator of a version that moved without being proven."""
        overdue = self._context.clock.wall() >= state.deadline
        if 'overdue' in state.told or not overdue:
            return
        state.told.add('overdue')
        if not self._verdict(state):
            self._context.events.record(
                'rollout_unproven_at_deadline',
                rollout=state.name,
                share=state.share(),
                log_evidence=state.evidence.worst()[0],
            )
