"""The pure part of a router: replies, and what the router holds."""

import collections
import functools
from collections.abc import Callable, Sequence
from typing import Any

from fuchsiafork import messages
from fuchsiafork.kernel import Context, Outbox, System
from fuchsiafork.kernel.outbox import StoreAnswer
from fuchsiafork.membership import HOME

# Types of the replies -> type of the message that they answer.
_ANSWERS: dict[type, type] = {
    messages.Reserved: messages.Reserve,
    messages.ReserveRefused: messages.Reserve,
    messages.SlotAcquired: messages.AcquireSlot,
    messages.SlotRefused: messages.AcquireSlot,
    messages.KeyBound: messages.BindKey,
    messages.KeyReplay: messages.BindKey,
    messages.KeyRefused: messages.BindKey,
    messages.OutcomeRecorded: messages.RecordOutcome,
}

ABANDONED_KEPT = 4096

_Waiter = Callable[[Any], None]


class RouterNode:
    """Matches replies with the requests that wait for them."""

    def __init__(self, context: Context, systems: Sequence[System]) -> None:
        """Compose the systems that hold reservations and slots."""
        self.outbox: Outbox = context.outbox
        self._context = context
        self._systems = tuple(systems)
        self._by_type: dict[type, list[System]] = {}
        for system in systems:
            for kind in system.accepts:
                self._by_type.setdefault(kind, []).append(system)
        self._waiters: dict[tuple[type, str], _Waiter] = {}
        # Only a reply to one of these is handed back: a repeated reply to a
        # request that goes on must not cancel what that request uses.
        self._abandoned: collections.OrderedDict[tuple[type, str], None] = (
            collections.OrderedDict()
        )

    def ask(self, message: Any, destination: str, resolve: _Waiter) -> None:
        """Send a message; ``resolve`` is called with its reply."""
        key = (type(message), message.request_id)
        self._abandoned.pop(key, None)
        self._waiters[key] = resolve
        self.outbox.send(destination, message)

    def forget(self, message: Any) -> None:
        """Stop waiting for the reply to a message."""
        key = (type(message), message.request_id)
        if self._waiters.pop(key, None) is not None:
            self._abandoned[key] = None
        while len(self._abandoned) > ABANDONED_KEPT:
            self._abandoned.popitem(last=False)

    def receive(self, message: Any, sender: str, destination: str) -> None:
        """Take a message from a keeper."""
        for system in self._by_type.get(type(message), ()):
            system.handle(message, sender)
        asked = _ANSWERS.get(type(message))
        if asked is None:
            return
        key = (asked, message.request_id)
        resolve = self._waiters.pop(key, None)
        if resolve is not None:
            resolve(message)
        elif key in self._abandoned:
            self._abandoned.pop(key)
            _return_unused(message, self.outbox)

    def answer(self, message: StoreAnswer) -> None:
        """Routers call no store."""

    def tick(self) -> None:
        """Run every system once."""
        for system in self._systems:
            system.tick()


@functools.singledispatch
def _return_unused(message: Any, outbox: Outbox) -> None:
    """Hand back what a late reply brought for a request that gave up."""


@_return_unused.register
def _(message: messages.Reserved, outbox: Outbox) -> None:
    outbox.send(
        HOME,
        messages.Settle(
            request_id=message.request_id,
            budget=message.budget,
            account='',
            holder=message.holder,
            tokens=0,
            key=message.request_id,
        ),
    )


@_return_unused.register
def _(message: messages.SlotAcquired, outbox: Outbox) -> None:
    unused = messages.Observation(
        sent=False,
        failed=False,
        truncated=False,
        first_token_s=-1,
        token_gap_s=-1,
        tokens=0,
    )
    outbox.send(
        message.owner,
        messages.ReleaseSlot(
            request_id=message.request_id,
            route=message.route,
            group='',
            target=message.target,
            version=message.version,
            owner=message.owner,
            observation=unused,
        ),
    )
