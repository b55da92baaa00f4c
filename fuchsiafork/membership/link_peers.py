"""Which keepers this one is linked with, and the way to all others."""

import dataclasses
from collections.abc import Callable, Collection, Mapping

from fuchsiafork.kernel import Identity, rank

REMOTE_PEERS_PER_DOMAIN = 2
# Longer than a link takes to open and a heartbeat to be answered.
ANSWER_LIMIT_S = 5.0

_Live = Callable[[str], list[str]]


@dataclasses.dataclass(slots=True)
class Member:
    """
    A keeper as this one sees it.

    :ivar last_heard: local clock time of its last heartbeat, seconds.
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
        """The VM it runs on."""
        return self.node.partition('/')[0]


class LinkPeers:
    """
    Chooses a few keepers of each other failure domain to be linked with.

    A choice stays while it answers: keepers that did not choose this one
    are only heard when they are called, so a new choice at each heartbeat
    would open and close links all the time.
    """

    def __init__(self, identity: Identity) -> None:
        """Start without a choice."""
        self._identity = identity
        self._chosen: dict[str, float] = {}
        self._failed: dict[str, float] = {}

    def select(self, members: Mapping[str, Member], now: float) -> list[str]:
        """Return all members of the own domain and the gateways of others."""
        by_domain: dict[str, list[Member]] = {}
        for member in members.values():
            by_domain.setdefault(member.domain, []).append(member)
        near = by_domain.pop(self._identity.domain, [])
        link_peers = [member.node for member in near]
        chosen: dict[str, float] = {}
        for _, domain_members in sorted(by_domain.items()):
            chosen.update(self._choose(domain_members, now))
        self._chosen = chosen
        self._failed = {
            node: moment
            for node, moment in self._failed.items()
            if node in members
        }
        return link_peers + list(chosen)

    def _choose(self, members: list[Member], now: float) -> dict[str, float]:
        """Return a domain's gateways with the time of their choice."""
        kept = {}
        for member in members:
            since = self._chosen.get(member.node)
            if since is None:
                continue
            if self._is_lost(member, since, now):
                self._failed[member.node] = now
            else:
                kept[member.node] = since
        for node in self._candidates(members):
            if len(kept) >= REMOTE_PEERS_PER_DOMAIN:
                break
            kept.setdefault(node, now)
        return kept

    def _is_lost(self, member: Member, since: float, now: float) -> bool:
        """Return whether a gateway had time to answer and did not."""
        silent = now - max(member.last_heard, since)
        return silent > ANSWER_LIMIT_S

    def _candidates(self, members: list[Member]) -> list[str]:
        """Return a domain's members, those that failed last at the end."""
        ranked = rank(self._identity.node, [one.node for one in members])
        return sorted(ranked, key=lambda node: self._failed.get(node, -1.0))


def find_next_hop(
    destination: str,
    members: Mapping[str, Member],
    linked: Collection[str] | None,
    live: _Live,
) -> str:
    """Return the linked node on the way to a keeper or to a router."""
    member = members.get(destination)
    if member is None:
        member = next(
            (one for one in members.values() if destination in one.routers),
            None,
        )
    if member is None:
        return ''
    if linked is None or member.node in linked:
        return member.node
    gateways = [node for node in live(member.domain) if node in linked]
    return rank(destination, gateways)[0] if gateways else ''
