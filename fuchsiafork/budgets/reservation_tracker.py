"""A router's open reservations and unconfirmed settlements."""

import dataclasses
import functools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.kernel import Context
from fuchsiafork.membership import KEY_OWNER

RESEND_INTERVAL_S = 0.5
# Bound of the exponential backoff while no settlement becomes durable.
MAX_RESEND_INTERVAL_S = 4.0


@dataclasses.dataclass(slots=True)
class RouterReservation:
    """
    A reservation that a holder made for this router.

    :ivar valid_until: local clock time before which the first byte has to be
        sent to the target.
    :ivar settled: tokens used, -1 while the request is running.
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
    resend_at: float = 0
    resend_interval_s: float = RESEND_INTERVAL_S


class ReservationTracker:
    """
    Tracks open reservations and settlements that are not durable yet.

    Messages to a holder are addressed to ``@home``; the router's keeper
    forwards them to the holder, or to the keeper that closes it out.
    """

    accepts = (messages.SettleAccepted, messages.AskOpenReservations)

    def __init__(self, context: Context) -> None:
        """Start without reservations."""
        self._context = context
        self._started_at = context.clock.now()
        self._reservations: dict[str, RouterReservation] = {}

    @property
    def unsettled(self) -> int:
        """Number of settlements without a durable acknowledgement."""
        return sum(row.settled >= 0 for row in self._reservations.values())

    @property
    def open(self) -> int:
        """Number of reservations without a settlement."""
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
        Store a received reservation and return whether it can be used.

        A reservation that is no longer wanted, or that has expired, is
        cancelled at once.

        :param requested_at: local clock time at which it was requested.
        :param wanted: whether the request still waits for it.
        """
        name = reserved.request_id
        if name in self._reservations:
            # A duplicate, or the reservation of a second holder: the first
            # one stays.
            same_holder = self._reservations[name].holder == reserved.holder
            if not same_holder:
                self._cancel(reserved, account)
            return same_holder and self._reservations[name].settled < 0
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
        Mark a reservation as used and return whether it is still valid.

        To be called immediately before the first byte is sent. The clock
        includes the time that the machine was suspended.
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
            KEY_OWNER,
            messages.StartUse(
                request_id,
                reservation.budget,
                reservation.holder,
                target,
            ),
        )
        return True

    def settle(self, request_id: str, tokens: int, key: str = '') -> None:
        """Record the tokens used; send it until the holder made it durable."""
        reservation = self._reservations.get(request_id)
        if reservation is None or reservation.settled >= 0:
            return
        reservation.settled = min(tokens, reservation.tokens)
        reservation.key = key or request_id
        self._send_settlement(reservation)

    def tick(self) -> None:
        """Resend unconfirmed settlements; cancel expired reservations."""
        now = self._context.clock.now()
        for reservation in list(self._reservations.values()):
            if reservation.settled >= 0 and now >= reservation.resend_at:
                self._send_settlement(reservation)
            expired = not reservation.started and now >= reservation.valid_until
            if reservation.settled < 0 and expired:
                self.settle(reservation.request_id, 0)

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Handle one message."""

    @handle.register
    def _(self, message: messages.SettleAccepted, sender: str) -> None:
        reservation = self._reservations.get(message.request_id)
        same_holder = (
            reservation is not None and reservation.holder == message.holder
        )
        if (
            message.durable
            and same_holder
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
        """Send a settlement and schedule the next resend."""
        reservation.resend_at = (
            self._context.clock.now() + reservation.resend_interval_s
        )
        reservation.resend_interval_s = min(
            2 * reservation.resend_interval_s, MAX_RESEND_INTERVAL_S
        )
        self._context.outbox.send(
            KEY_OWNER,
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
        """
        Cancel a reservation.

        If the message is lost, the holder releases the reservation when
        this router's reports don't list it.
        """
        self._context.outbox.send(
            KEY_OWNER,
            messages.Settle(
                reserved.request_id,
                reserved.budget,
                account,
                reserved.holder,
                0,
                reserved.request_id,
            ),
        )
