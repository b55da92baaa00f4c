"""Sends evidence reports and verdicts to the other keepers."""

from collections.abc import Iterable
from typing import Any

from fuchsiafork.kernel import Context
from fuchsiafork.messages import EvidenceReport, VerdictNotice
from fuchsiafork.rollouts.peers import Peers
from fuchsiafork.rollouts.rollout_state import RolloutState
from fuchsiafork.rollouts.verdicts import VerdictRegistry

_REPORT_INTERVAL_S = 0.5
_IDLE_REPORT_INTERVAL_S = 2.0
# Everything is sent again at this interval, because a closing link may have
# lost messages.
_RESEND_INTERVAL_S = 10.0


class PeerBroadcaster:
    """Sends evidence reports at a limited rate, and verdict notices."""

    def __init__(
        self,
        context: Context,
        peers: Peers,
        verdicts: VerdictRegistry,
    ) -> None:
        """Start with no known peers."""
        self._context = context
        self._peers = peers
        self._verdicts = verdicts
        self._known_peers: set[str] = set()
        self._next_resend = 0.0

    def report_evidence(
        self, state: RolloutState, *, urgent: bool = False
    ) -> None:
        """
        Send this keeper's evidence if a report is due.

        New evidence is sent without waiting for the interval if it is urgent,
        or while the version is unproven and gets few requests.
        """
        now = self._context.clock.now()
        send_now = state.dirty and (urgent or state.evidence.proof_ratio() < 1)
        if now < state.next_report and not send_now:
            return
        interval = (
            _REPORT_INTERVAL_S if state.dirty else _IDLE_REPORT_INTERVAL_S
        )
        state.next_report = now + interval
        self._send(
            state.report(),
            [*self._peers.same_domain(), *self._peers.other_domains()],
        )

    def send_to_new_peers(self, states: Iterable[RolloutState]) -> None:
        """
        Send all evidence and verdicts to peers that are newly reachable.

        A failure domain that was partitioned thereby receives the verdicts
        once it is connected again.
        """
        now = self._context.clock.now()
        peers = {*self._peers.same_domain(), *self._peers.other_domains()}
        if now >= self._next_resend:
            self._next_resend = now + _RESEND_INTERVAL_S
            self._known_peers = set()
        new_peers = sorted(peers - self._known_peers)
        self._known_peers = peers
        if new_peers:
            for state in states:
                self._send(state.report(), new_peers)
                self._send_verdicts(state.name, state.digest, new_peers)

    def relay_report(self, report: EvidenceReport, sender: str) -> None:
        """Forward a report received directly from another failure domain."""
        direct = report.node.partition('#')[0] == sender
        if direct and report.domain != self._context.identity.domain:
            self._send(report, self._peers.same_domain())

    def broadcast_verdicts(self, rollout: str, section: str) -> None:
        """Send the verdicts on a rollout section to all peers."""
        nodes = [*self._peers.same_domain(), *self._peers.other_domains()]
        self._send_verdicts(rollout, section, nodes)

    def _send_verdicts(
        self,
        rollout: str,
        section: str,
        nodes: list[str],
    ) -> None:
        """Send the verdicts on a rollout section to the given keepers."""
        for verdict_section, verdict in self._verdicts.entries(rollout):
            if verdict_section == section:
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
        """Queue a message for each of the given keepers."""
        for node in nodes:
            self._context.outbox.send(node, message)
