"""Which keepers this one is linked with, and the way to all others."""

import dataclasses
from collections.abc import Callable, Collection, Mapping

from fuchsiafork.kernel import Identity, rank

GATEWAYS_PER_DOMAIN = 2
# A member of a lost domain that is still called, so that the domain is seen
# when it comes back.
PROBES_PER_DOMAIN = 1

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
    introduced_at: float = 0.0
    admins: tuple[str, ...] = ()

    @property
    def vm(self) -> str:
        """The VM it runs on."""
        return self.node.partition('/')[0]


def choose_contacts(
    identity: Identity,
    members: Mapping[str, Member],
    live: _Live,
) -> list[str]:
    """
    Return all members of the own failure domain and a few of each other.

    Live ones come first: a dead keeper that ranks high must not take the
    place of a gateway.
    """
    by_domain: dict[str, list[str]] = {}
    for member in members.values():
        by_domain.setdefault(member.domain, []).append(member.node)
    contacts = by_domain.pop(identity.domain, [])
    for domain, nodes in sorted(by_domain.items()):
        awake = set(live(domain))
        silent = [node for node in nodes if node not in awake]
        gateways = rank(identity.node, awake)[:GATEWAYS_PER_DOMAIN]
        missing = GATEWAYS_PER_DOMAIN - len(gateways)
        probes = rank(identity.node, silent)
        contacts.extend(gateways)
        contacts.extend(probes[: max(PROBES_PER_DOMAIN, missing)])
    return contacts


def find_hop(
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
