"""The part of a keeper without I/O: routes messages to its systems."""

from collections.abc import Sequence
from typing import Any

from fuchsiafork.kernel import Context, Outbox, System
from fuchsiafork.kernel.outbox import StoreAnswer
from fuchsiafork.membership import KEY_OWNER, MembershipSystem

# The answer to a store operation with the tag ``budgets:...`` goes to the
# system ``budgets``.
TAG_SEPARATOR = ':'


class KeeperNode:
    """Systems that share a context, with the membership for forwarding."""

    def __init__(
        self,
        context: Context,
        membership: MembershipSystem,
        systems: Sequence[tuple[str, System]],
    ) -> None:
        """Register the systems by name and by the message types they accept."""
        self.outbox: Outbox = context.outbox
        self.membership = membership
        self._context = context
        self._systems = dict(systems)
        self._system_by_type: dict[type, System] = {
            message_type: system
            for system in (membership, *self._systems.values())
            for message_type in system.accepts
        }

    def receive(self, message: Any, sender: str, destination: str) -> None:
        """Dispatch a message to a system or forward it to its destination."""
        if destination == KEY_OWNER:
            destination = self.membership.keeper_for(message)
        if destination == self._context.identity.node:
            self._dispatch(message, sender)
        elif destination:
            self.outbox.forward(destination, message, sender)

    def answer(self, message: StoreAnswer) -> None:
        """Pass the answer to a store operation to the system in its tag."""
        name = message.tag.partition(TAG_SEPARATOR)[0]
        system = self._systems.get(name)
        if system is not None:
            system.handle(message, '')

    def tick(self) -> None:
        """Run the periodic work of every system once."""
        self.membership.tick()
        for system in self._systems.values():
            system.tick()

    def _dispatch(self, message: Any, sender: str) -> None:
        """Pass a message to the system that accepts its type, if any."""
        system = self._system_by_type.get(type(message))
        if system is not None:
            system.handle(message, sender)
