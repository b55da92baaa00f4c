"""The keepers that evidence and verdicts are sent to."""

from typing import Protocol

from fuchsiafork.kernel import rank
from fuchsiafork.membership import MembershipSystem

# Two of each domain: one may be dying.
_GATEWAYS = 2


class Peers(Protocol):
    """Other keepers that this one has links to."""

    def same_domain(self) -> list[str]:
        """Return the other keepers of this failure domain."""

    def other_domains(self) -> list[str]:
        """Return the linked keepers of other failure domains."""


class MembershipPeers:
    """Peers by the membership view."""

    def __init__(self, node: str, membership: MembershipSystem) -> None:
        """Look at the view of this node's membership system."""
        self._node = node
        self._membership = membership

    def same_domain(self) -> list[str]:
        """Return the live keepers of this domain but this one."""
        return [node for node in self._membership.live() if node != self._node]

    def other_domains(self) -> list[str]:
        """Return two live keepers of each other domain."""
        local = set(self._membership.live())
        return [
            node
            for domain in self._membership.domains()
            for node in rank(self._node, self._membership.live(domain))[
                :_GATEWAYS
            ]
            if node not in local
        ]
