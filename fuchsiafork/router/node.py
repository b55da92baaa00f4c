"""Message handling of a router; it performs no I/O itself."""

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

# Type of a reply -> type of the request that it answers.
_REQUEST_TYPES: dict[type, type] = {
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
    """Sends messages to keepers and matches replies with waiting requests."""

    def __init__(
        self,
        context: Context,
        apply: Callable[[Directory], None],
    ) -> None:
        """Call ``apply`` with each newer configuration."""
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
        self._reserve_sent_at: dict[str, tuple[str, float]] = {}

    @property
    def unacknowledged(self) -> int:
        """Number of settlements and outcomes not confirmed by a keeper."""
        return self.reservation_tracker.unsettled + self.resender.count

    def request_reply(
        self, message: Any, destination: str, resolve: _Waiter
    ) -> None:
        """Send a message and call ``resolve`` with its reply."""
        self._waiters[type(message), message.request_id] = resolve
        self._send(message, destination)

    def cancel_wait(self, message: Any) -> None:
        """Stop waiting for the reply to a message."""
        self._waiters.pop((type(message), message.request_id), None)
        if isinstance(message, messages.AcquireSlot):
            self.slots.cancel(message.request_id)

    def send_message(self, message: Any, destination: str) -> None:
        """Send a message without waiting for a reply."""
        self._send(message, destination)

    def receive(self, message: Any, sender: str, destination: str) -> None:
        """Handle a message from a keeper."""
        if isinstance(message, _SLOT_MESSAGES):
            answer = self.slots.handle(message)
            if answer is not None:
                self._resolve(messages.AcquireSlot, answer)
        elif isinstance(message, messages.Reserved):
            self._handle_reserved(message)
        elif type(message) in _REQUEST_TYPES:
            self._resolve(_REQUEST_TYPES[type(message)], message)
        elif isinstance(message, messages.OutcomeRecorded):
            self.resender.confirm(message.request_id)
        elif isinstance(message, ReservationTracker.accepts):
            self.reservation_tracker.handle(message, sender)
        else:
            self.configuration.handle(message, sender)

    def answer(self, message: StoreAnswer) -> None:
        """Do nothing; routers make no store calls."""

    def tick(self) -> None:
        """Run periodic work that is due."""
        self.configuration.tick()
        self.reservation_tracker.tick()
        self.resender.tick()
        for request_id in self.slots.tick():
            self._waiters.pop((messages.AcquireSlot, request_id), None)

    @functools.singledispatchmethod
    def _send(self, message: Any, destination: str) -> None:
        """Send a message, through the component that resends it if any."""
        self.outbox.send(destination, message)

    @_send.register
    def _(self, message: messages.Reserve, destination: str) -> None:
        now = self._context.clock.now()
        self._reserve_sent_at.setdefault(
            message.request_id, (message.account, now)
        )
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

    def _handle_reserved(self, message: messages.Reserved) -> None:
        """Track a reservation, or cancel it if no request waits for it."""
        key = (messages.Reserve, message.request_id)
        unknown = ('', -message.valid_s)
        account, sent_at = self._reserve_sent_at.pop(
            message.request_id, unknown
        )
        self.reservation_tracker.accept_reservation(
            message,
            account,
            sent_at,
            wanted=key in self._waiters,
        )
        self._resolve(messages.Reserve, message)

    def _resolve(self, request_type: type, reply: Any) -> None:
        """Pass a reply to the request that waits for it, if any."""
        resolve = self._waiters.pop((request_type, reply.request_id), None)
        if request_type is messages.Reserve:
            self._reserve_sent_at.pop(reply.request_id, None)
        if resolve is not None:
            resolve(reply)
