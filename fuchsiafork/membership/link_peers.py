"""The keepers that a keeper keeps links to, and the routes to all others."""

import dataclasses
from collections.abc import Callable, Collection, Mapping

from fuchsiafork.kernel import Identity, rank

REMOTE_PEERS_PER_DOMAIN = 2
# Longer than a link takes to open and a heartbeat to be answered.
ANSWER_TIMEOUT_S = 5.0

_LiveKeepers = Callable[[str], list[str]]


@dataclasses.dataclass(slots=True)
class Member:
    """
    A keeper as known to this keeper; times are of the local clock.

    :ivar routers: node ids of the routers linked to the keeper.
    :ivar last_heard: time of the last heartbeat or acknowledgement.
    :ivar added_at: time at which a keeper was added before its first
        heartbeat, else 0.
    """

    node: str
    domain: str
    incarnation: str
    address: str
    revision: int
    leaving: bool
    routers: tuple[str, ...]
    last_heard: float
    verdicts: int = 0
    added_at: float = 0.0
    admins: tuple[str, ...] = ()

    @property
    def vm(self) -> str:
        """The VM that the keeper runs on."""
        return self.node.partition('/')[0]


class LinkPeers:
    """
    Selects the keepers to keep links to.

    These are all keepers of the own failure domain and a few of each other
    one, the remote peers. A remote peer is kept while it answers: keepers that
    have not selected this one send messages only in reply, so a new selection
    at each heartbeat would open and close links all the time.
    """

    def __init__(self, identity: Identity) -> None:
        """Start without remote peers."""
        self._identity = identity
        self._remote_peers: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}

    def select(self, members: Mapping[str, Member], now: float) -> list[str]:
        """Return all members of the own domain and the remote peers."""
        by_domain: dict[str, list[Member]] = {}
        for member in members.values():
            by_domain.setdefault(member.domain, []).append(member)
        same_domain = by_domain.pop(self._identity.domain, [])
        nodes = [member.node for member in same_domain]
        remote_peers: dict[str, float] = {}
        for _, domain_members in sorted(by_domain.items()):
            remote_peers.update(self._select_remote(domain_members, now))
        self._remote_peers = remote_peers
        self._failed_at = {
            node: moment
            for node, moment in self._failed_at.items()
            if node in members
        }
        return nodes + list(remote_peers)

    def _select_remote(
        self, members: list[Member], now: float
    ) -> dict[str, float]:
        """Return a domain's remote peers with the times of their selection."""
        kept = {}
        for member in members:
            selected_at = self._remote_peers.get(member.node)
            if selected_at is None:
                continue
            if self._is_lost(member, selected_at, now):
                self._failed_at[member.node] = now
            else:
                kept[member.node] = selected_at
        for node in self._candidates(members):
            if len(kept) >= REMOTE_PEERS_PER_DOMAIN:
                break
            kept.setdefault(node, now)
        return kept

    def _is_lost(self, member: Member, selected_at: float, now: float) -> bool:
        """Return whether a remote peer did not answer within the limit."""
        silent = now - max(member.last_heard, selected_at)
        return silent > ANSWER_TIMEOUT_S

    def _candidates(self, members: list[Member]) -> list[str]:
        """Return a domain's members, the most recently failed ones last."""
        ranked = rank(self._identity.node, [member.node for member in members])
        return sorted(ranked, key=lambda node: self._failed_at.get(node, -1.0))


def find_next_hop(
    destination: str,
    members: Mapping[str, Member],
    linked: Collection[str] | None,
    live: _LiveKeepers,
) -> str:
    """Return the linked node through which a keeper or router is reached."""
    member = members.get(destination)
    if member is None:
        member = next(
            (
                known
                for known in members.values()
                if destination in known.routers
            ),
            None,
        )
    if member is None:
        return ''
    if linked is None or member.node in linked:
        return member.node
    candidates = [node for node in live(member.domain) if node in linked]
    return rank(destination, candidates)[0] if candidates else ''
