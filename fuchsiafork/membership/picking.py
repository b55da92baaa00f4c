"""Which keeper takes a message that names no node."""

import functools
from typing import Any, Protocol

from fuchsiafork import messages
from fuchsiafork.kernel import rank
from fuchsiafork.membership.homes import home_key


class View(Protocol):
    """The membership as far as homes depend on it."""

    def homes(self, key: str, domain: str = '') -> list[str]:
        """Return the keepers that take a key, best first."""

    def live(self, domain: str = '') -> list[str]:
        """Return the live keepers of a domain."""

    def domains(self) -> list[str]:
        """Return the reachable failure domains."""


@functools.singledispatch
def pick_home(message: Any, membership: View) -> str:
    """Return the first-ranked keeper of this failure domain."""
    return _first(membership.homes(home_key(message)))


@pick_home.register
def _(message: messages.Reserve, membership: View) -> str:
    """
    Return the first-ranked holder that is not on the router's own VM.

    The record of a reservation then lies on two VMs.
    """
    homes = membership.homes(home_key(message))
    prefix = f'{message.exclude_vm}/'
    others = [node for node in homes if not node.startswith(prefix)]
    return _first(others or homes)


@pick_home.register(messages.BindKey)
@pick_home.register(messages.RecordOutcome)
def _(message: Any, membership: View) -> str:
    """Return the key's home in its first-ranked reachable domain."""
    key = home_key(message)
    domain = rank(key, membership.domains())[0]
    return _first(membership.homes(key, domain))


@pick_home.register(messages.StartUse)
@pick_home.register(messages.Settle)
def _(message: Any, membership: View) -> str:
    """Return the holder, or the keeper that closes it out."""
    node = message.holder.partition('#')[0]
    if node in membership.live():
        return node
    return _first(membership.homes(home_key(message)))


def _first(nodes: list[str]) -> str:
    """Return the first node, or an empty string."""
    return nodes[0] if nodes else ''
