"""Selects the keepers that receive evidence and verdicts."""

from typing import Protocol

from fuchsiafork.kernel import rank
from fuchsiafork.membership import MembershipSystem

# Two, so that one of them may fail.
_PEERS_PER_DOMAIN = 2


class Peers(Protocol):
    """Other keepers that this keeper has links to."""

    def same_domain(self) -> list[str]:
        """Return the other keepers of this failure domain."""

    def other_domains(self) -> list[str]:
        """Return the linked keepers of other failure domains."""


class MembershipPeers:
    """Peers according to the membership view."""

    def __init__(self, node: str, membership: MembershipSystem) -> None:
        """Use the view of this node's membership system."""
        self._node = node
        self._membership = membership

    def same_domain(self) -> list[str]:
        """Return the other live keepers of this failure domain."""
        return [node for node in self._membership.live() if node != self._node]

    def other_domains(self) -> list[str]:
        """Return up to two live keepers of each other failure domain."""
        same_domain_nodes = set(self._membership.live())
        return [
            node
            for domain in self._membership.domains()
            for node in rank(self._node, self._membership.live(domain))[
                :_PEERS_PER_DOMAIN
            ]
            if node not in same_domain_nodes
        ]
