"""The router's record of its reservations and settlements."""

import dataclasses
import functools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.kernel import Context
from fuchsiafork.membership import HOME

REPEAT_INTERVAL_S = 0.5
# Repeats slow down to this while no keeper makes a settlement durable.
MAX_REPEAT_INTERVAL_S = 4.0


@dataclasses.dataclass(slots=True)
class RouterReservation:
    """
    A reservation of this router.

    :ivar valid_until: local clock time by which the first byte goes out.
    :ivar settled: tokens used, -1 while the request is open.
    """

    request_id: str
    budget: str
    account: str
    holder: str
    tokens: int
    valid_until: float
    started: bool = False
    settled: int = -1
    key: str = ''
    repeat_at: float = 0
    repeat_interval_s: float = REPEAT_INTERVAL_S


class ReservationTracker:
    """
    Open reservations, and settlements that are not durable yet.

    Messages for a holder go to ``@home``, which the router's keeper
    resolves to the holder or to the keeper that closes it out.
    """

    accepts = (messages.SettleAccepted, messages.AskOpenReservations)

    def __init__(self, context: Context) -> None:
        """Start without holdings."""
        self._context = context
        self._started_at = context.clock.now()
        self._reservations: dict[str, RouterReservation] = {}

    @property
    def unsettled(self) -> int:
        """Number of settlements that are not known to be durable."""
        return sum(row.settled >= 0 for row in self._reservations.values())

    @property
    def open(self) -> int:
        """Number of reservations that are not settled."""
        return len(self._reservations) - self.unsettled

    def accept_reservation(
        self,
        reserved: messages.Reserved,
        account: str,
        requested_at: float,
        *,
        wanted: bool = True,
    ) -> bool:
        """
        Return whether a reservation that arrived can be used.

        One that nobody waits for any more, or that is too late, is given
        back at once.

        :param asked_at: local clock time of the request for it.
        """
        name = reserved.request_id
        if name in self._reservations:
            # A copy of the answer, or a second holder's: keep the first.
            same = self._reservations[name].holder == reserved.holder
            if not same:
                self._cancel(reserved, account)
            return same and self._reservations[name].settled < 0
        valid_until = requested_at + reserved.valid_s
        if not wanted or self._context.clock.now() >= valid_until:
            self._cancel(reserved, account)
            return False
        self._reservations[name] = RouterReservation(
            name,
            reserved.budget,
            account,
            reserved.holder,
            reserved.tokens,
            valid_until,
        )
        return True

    def start(self, request_id: str, target: str) -> bool:
        """
        Return whether the first byte may go out now.

        Called immediately before it does, on the clock that counts
        suspension.
        """
        reservation = self._reservations.get(request_id)
        if reservation is None or reservation.settled >= 0:
            return False
        if (
            self._context.clock.now() >= reservation.valid_until
            and not reservation.started
        ):
            self.settle(request_id, 0)
            return False
        reservation.started = True
        self._context.outbox.send(
            HOME,
            messages.StartUse(
                request_id,
                reservation.budget,
                reservation.holder,
                target,
            ),
        )
        return True

    def settle(self, request_id: str, tokens: int, key: str = '') -> None:
        """Record the tokens used and tell the holder until it is durable."""
        reservation = self._reservations.get(request_id)
        if reservation is None or reservation.settled >= 0:
            return
        reservation.settled = min(tokens, reservation.tokens)
        reservation.key = key or request_id
        self._send_settlement(reservation)

    def tick(self) -> None:
        """Repeat settlements; give unused reservations back."""
        now = self._context.clock.now()
        for reservation in list(self._reservations.values()):
            if reservation.settled >= 0 and now >= reservation.repeat_at:
                self._send_settlement(reservation)
            lapsed = not reservation.started and now >= reservation.valid_until
            if reservation.settled < 0 and lapsed:
                self.settle(reservation.request_id, 0)

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Take one message."""

    @handle.register
    def _(self, message: messages.SettleAccepted, sender: str) -> None:
        reservation = self._reservations.get(message.request_id)
        same = reservation is not None and reservation.holder == message.holder
        if (
            message.durable
            and same
            and reservation
            and reservation.settled >= 0
        ):
            self._reservations.pop(message.request_id)

    @handle.register
    def _(self, message: messages.AskOpenReservations, sender: str) -> None:
        rows = tuple(
            messages.OpenReservation(
                reservation.request_id,
                reservation.budget,
                reservation.account,
                reservation.tokens
                if reservation.settled < 0
                else reservation.settled,
                reservation.settled,
                reservation.key,
            )
            for reservation in self._reservations.values()
            if reservation.holder == message.holder
        )
        self._context.outbox.send(
            sender,
            messages.OpenReservations(
                self._context.identity.node,
                message.holder,
                rows,
                self._context.clock.now() - self._started_at,
            ),
        )

    def _send_settlement(self, reservation: RouterReservation) -> None:
        """Send a settlement and set the time of its next repeat."""
        reservation.repeat_at = (
            self._context.clock.now() + reservation.repeat_interval_s
        )
        reservation.repeat_interval_s = min(
            2 * reservation.repeat_interval_s, MAX_REPEAT_INTERVAL_S
        )
        self._context.outbox.send(
            HOME,
            messages.Settle(
                reservation.request_id,
                reservation.budget,
                reservation.account,
                reservation.holder,
                reservation.settled,
                reservation.key,
            ),
        )

    def _cancel(self, reserved: messages.Reserved, account: str) -> None:
        """Cancel a reservation; a lost message is made good by reports."""
        self._context.outbox.send(
            HOME,
            messages.Settle(
                reserved.request_id,
                reserved.budget,
                account,
                reserved.holder,
                0,
                reserved.request_id,
            ),
        )
