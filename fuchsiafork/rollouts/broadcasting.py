"""Sends evidence and verdicts to the other keepers."""

from collections.abc import Iterable
from typing import Any

from fuchsiafork.kernel import Context
from fuchsiafork.messages import EvidenceReport, VerdictNotice
from fuchsiafork.rollouts.peers import Peers
from fuchsiafork.rollouts.rollout_state import RolloutState
from fuchsiafork.rollouts.verdicts import VerdictRegistry

_INTERVAL_S = 0.5
_IDLE_INTERVAL_S = 2.0
# Makes up for messages that a closing link has lost.
_REPEAT_S = 10.0


class PeerBroadcaster:
    """Reports at bounded rates, and notices of verdicts."""

    def __init__(
        self,
        context: Context,
        peers: Peers,
        verdicts: VerdictRegistry,
    ) -> None:
        """Send to these peers what the rows and the book hold."""
        self._context = context
        self._peers = peers
        self._verdicts = verdicts
        self._known: set[str] = set()
        self._next_repeat = 0.0

    def report(self, state: RolloutState, *, urgent: bool = False) -> None:
        """
        Send this keeper's evidence if that is due.

        While a version is unproven its few requests are reported at once.
        """
        now = self._context.clock.now()
        at_once = state.dirty and (urgent or state.evidence.proofs() < 1)
        if now < state.next_report and not at_once:
            return
        interval = _INTERVAL_S if state.dirty else _IDLE_INTERVAL_S
        state.next_report = now + interval
        self._send(
            state.report(),
            [*self._peers.same_domain(), *self._peers.other_domains()],
        )

    def greet(self, states: Iterable[RolloutState]) -> None:
        """
        Send all to peers that were not there before.

        A domain that was cut off learns the verdicts when it is back.
        """
        now = self._context.clock.now()
        peers = {*self._peers.same_domain(), *self._peers.other_domains()}
        if now >= self._next_repeat:
            self._next_repeat = now + _REPEAT_S
            self._known = set()
        fresh = sorted(peers - self._known)
        self._known = peers
        if fresh:
            for state in states:
                self._send(state.report(), fresh)
                self._send_verdicts(state.name, state.digest, fresh)

    def relay(self, report: EvidenceReport, sender: str) -> None:
        """Pass a report that came straight from another domain on in ours."""
        direct = report.node.partition('#')[0] == sender
        if direct and report.domain != self._context.identity.domain:
            self._send(report, self._peers.same_domain())

    def send_notices(self, rollout: str, section: str) -> None:
        """Send the verdicts on a rollout section to all peers."""
        nodes = [*self._peers.same_domain(), *self._peers.other_domains()]
        self._send_verdicts(rollout, section, nodes)

    def _send_verdicts(
        self,
        rollout: str,
        section: str,
        nodes: list[str],
    ) -> None:
        """Send the verdicts on a rollout section to some keepers."""
        for known, verdict in self._verdicts.entries(rollout):
            if known == section:
                notice = VerdictNotice(
                    rollout=rollout,
                    section=section,
                    verdict=verdict.verdict,
                    reason=verdict.reason,
                    domain=verdict.domain,
                    wall_ms=verdict.wall_ms,
                )
                self._send(notice, nodes)

    def _send(self, message: Any, nodes: list[str]) -> None:
        """Queue a message for some keepers."""
        for node in nodes:
            self._context.outbox.send(node, message)
