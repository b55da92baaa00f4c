"""The pure part of a keeper: routes messages to its systems."""

from collections.abc import Sequence
from typing import Any

from fuchsiafork.kernel import Context, Outbox, System
from fuchsiafork.kernel.outbox import StoreAnswer
from fuchsiafork.membership import KEY_OWNER, MembershipSystem

# A tag names its system: ``budgets:...`` goes to the system ``budgets``.
TAG_SEPARATOR = ':'


class KeeperNode:
    """Systems over one context, with a membership view for forwarding."""

    def __init__(
        self,
        context: Context,
        membership: MembershipSystem,
        systems: Sequence[tuple[str, System]],
    ) -> None:
        """Compose the systems; each one's name starts its store tags."""
        self.outbox: Outbox = context.outbox
        self.membership = membership
        self._context = context
        self._systems = dict(systems)
        self._by_type: dict[type, System] = {
            kind: system
            for system in (membership, *self._systems.values())
            for kind in system.accepts
        }

    def receive(self, message: Any, sender: str, destination: str) -> None:
        """Take, or pass on, a message that arrived."""
        if destination == KEY_OWNER:
            destination = self.membership.keeper_for(message)
        if destination == self._context.identity.node:
            self._dispatch(message, sender)
        elif destination:
            self.outbox.forward(destination, message, sender)

    def answer(self, message: StoreAnswer) -> None:
        """Take the answer of a store operation."""
        name = message.tag.partition(TAG_SEPARATOR)[0]
        system = self._systems.get(name)
        if system is not None:
            system.handle(message, '')

    def tick(self) -> None:
        """Run every system once."""
        self.membership.tick()
        for system in self._systems.values():
            system.tick()

    def _dispatch(self, message: Any, sender: str) -> None:
        """Give a message to the system that accepts its type."""
        system = self._by_type.get(type(message))
        if system is not None:
            system.handle(message, sender)
