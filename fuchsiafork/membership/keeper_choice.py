"""Choice of the keeper for a message that names no node."""

import functools
from typing import Any, Protocol

from fuchsiafork import messages
from fuchsiafork.kernel import rank
from fuchsiafork.membership.routing_keys import routing_key


class MembershipView(Protocol):
    """The part of the membership that the choice depends on."""

    def ranked_keepers(self, key: str, domain: str = '') -> list[str]:
        """Return the keepers that may own a key, the owner first."""

    def live(self, domain: str = '') -> list[str]:
        """Return the live keepers of a domain."""

    def domains(self) -> list[str]:
        """Return the reachable failure domains."""


@functools.singledispatch
def choose_keeper(message: Any, membership: MembershipView) -> str:
    """Return the owner of the message's key in this failure domain."""
    return _first(membership.ranked_keepers(routing_key(message)))


@choose_keeper.register
def _(message: messages.Reserve, membership: MembershipView) -> str:
    """
    Return the first-ranked holder that is not on the router's own VM.

    The record of a reservation is then kept on two VMs.
    """
    keepers = membership.ranked_keepers(routing_key(message))
    vm_prefix = f'{message.exclude_vm}/'
    others = [node for node in keepers if not node.startswith(vm_prefix)]
    return _first(others or keepers)


@choose_keeper.register(messages.BindKey)
@choose_keeper.register(messages.RecordOutcome)
def _(message: Any, membership: MembershipView) -> str:
    """Return the key's owner in its first-ranked reachable domain."""
    key = routing_key(message)
    domain = rank(key, membership.domains())[0]
    return _first(membership.ranked_keepers(key, domain))


@choose_keeper.register(messages.StartUse)
@choose_keeper.register(messages.Settle)
def _(message: Any, membership: MembershipView) -> str:
    """Return the holder if it is live, else the keeper that closes it out."""
    node = message.holder.partition('#')[0]
    if node in membership.live():
        return node
    return _first(membership.ranked_keepers(routing_key(message)))


def _first(nodes: list[str]) -> str:
    """Return the first node, or an empty string."""
    return nodes[0] if nodes else ''
