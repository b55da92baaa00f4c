"""The pure part of a router: what it asks keepers for and what it holds."""

import functools
from collections.abc import Callable
from typing import Any

from fuchsiafork import messages
from fuchsiafork.budgets import ReservationTracker
from fuchsiafork.dispatch import RouterSlots
from fuchsiafork.kernel import Context, Outbox
from fuchsiafork.kernel.outbox import StoreAnswer
from fuchsiafork.router.configuration import ConfigurationClient
from fuchsiafork.router.directory import Directory
from fuchsiafork.router.resender import Resender

_Waiter = Callable[[Any], None]

# Types of the replies -> type of the message that they answer.
_ANSWERS: dict[type, type] = {
    messages.KeyBound: messages.BindKey,
    messages.KeyReplay: messages.BindKey,
    messages.KeyRefused: messages.BindKey,
    messages.ReserveRefused: messages.Reserve,
}
_SLOT_MESSAGES = (
    messages.SlotAcquired,
    messages.SlotRefused,
    messages.SlotReleased,
    messages.AskOpenSlots,
)


class RouterNode:
    """Matches replies with the requests that wait for them."""

    def __init__(
        self,
        context: Context,
        apply: Callable[[Directory], None],
    ) -> None:
        """Hand each newer configuration to ``apply``."""
        self.outbox: Outbox = context.outbox
        self.reservation_tracker = ReservationTracker(context)
        self.slots = RouterSlots(
            context.identity.node,
            context.clock,
            context.outbox,
        )
        self.resender = Resender(context)
        self.configuration = ConfigurationClient(context, apply)
        self._context = context
        self._waiters: dict[tuple[type, str], _Waiter] = {}
        self._asked_at: dict[str, tuple[str, float]] = {}

    @property
    def unacknowledged(self) -> int:
        """Settlements and outcomes that no keeper has confirmed yet."""
        return self.reservation_tracker.unsettled + self.resender.count

    def request_reply(
        self, message: Any, destination: str, resolve: _Waiter
    ) -> None:
        """Send a message; ``resolve`` is called with its reply."""
        self._waiters[type(message), message.request_id] = resolve
        self._send(message, destination)

    def forget(self, message: Any) -> None:
        """Stop waiting for the reply to a message."""
        self._waiters.pop((type(message), message.request_id), None)
        if isinstance(message, messages.AcquireSlot):
            self.slots.cancel(message.request_id)

    def send_message(self, message: Any, destination: str) -> None:
        """Send a message without a reply; repeated ones until confirmed."""
        self._send(message, destination)

    def receive(self, message: Any, sender: str, destination: str) -> None:
        """Take a message from a keeper."""
        if isinstance(message, _SLOT_MESSAGES):
            answer = self.slots.handle(message)
            if answer is not None:
                self._resolve(messages.AcquireSlot, answer)
        elif isinstance(message, messages.Reserved):
            self._take_reserved(message)
        elif type(message) in _ANSWERS:
            self._resolve(_ANSWERS[type(message)], message)
        elif isinstance(message, messages.OutcomeRecorded):
            self.resender.confirm(message.request_id)
        elif isinstance(message, ReservationTracker.accepts):
            self.reservation_tracker.handle(message, sender)
        else:
            self.configuration.handle(message, sender)

    def answer(self, message: StoreAnswer) -> None:
        """Routers call no store."""

    def tick(self) -> None:
        """Do what is due by the clock."""
        self.configuration.tick()
        self.reservation_tracker.tick()
        self.resender.tick()
        for request_id in self.slots.tick():
            self._waiters.pop((messages.AcquireSlot, request_id), None)

    @functools.singledispatchmethod
    def _send(self, message: Any, destination: str) -> None:
        """Send a message, or have the part send it that repeats it."""
        self.outbox.send(destination, message)

    @_send.register
    def _(self, message: messages.Reserve, destination: str) -> None:
        now = self._context.clock.now()
        self._asked_at.setdefault(message.request_id, (message.account, now))
        self.outbox.send(destination, message)

    @_send.register
    def _(self, message: messages.StartUse, destination: str) -> None:
        self.reservation_tracker.start(message.request_id, message.target)

    @_send.register
    def _(self, message: messages.Settle, destination: str) -> None:
        self.reservation_tracker.settle(
            message.request_id, message.tokens, message.key
        )

    @_send.register
    def _(self, message: messages.AcquireSlot, destination: str) -> None:
        self.slots.acquire(message)

    @_send.register
    def _(self, message: messages.CancelAcquire, destination: str) -> None:
        self.slots.cancel(message.request_id)

    @_send.register
    def _(self, message: messages.ReleaseSlot, destination: str) -> None:
        self.slots.release(message.request_id, message.observation)

    @_send.register
    def _(self, message: messages.RecordOutcome, destination: str) -> None:
        self.resender.send(message, destination)

    def _take_reserved(self, message: messages.Reserved) -> None:
        """Keep a reservation, or give it back if nobody waits for it."""
        key = (messages.Reserve, message.request_id)
        never = ('', -message.valid_s)
        account, asked_at = self._asked_at.pop(message.request_id, never)
        self.reservation_tracker.accept_reservation(
            message,
            account,
            asked_at,
            wanted=key in self._waiters,
        )
        self._resolve(messages.Reserve, message)

    def _resolve(self, asked: type, reply: Any) -> None:
        """Hand a reply to the request that waits for it, if any."""
        resolve = self._waiters.pop((asked, reply.request_id), None)
        if asked is messages.Reserve:
            self._asked_at.pop(reply.request_id, None)
        if resolve is not None:
            resolve(reply)
