"""The router's record of its reservations and settlements."""

import dataclasses
import functools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.kernel import Context
from fuchsiafork.membership import KEY_OWNER

REPEAT_S = 0.5
# Repeats slow down to this while no keeper makes a settlement durable.
REPEAT_MOST_S = 4.0


@dataclasses.dataclass(slots=True)
class Holding:
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
    repeat_s: float = REPEAT_S


class HoldingsSystem:
    """
    Open reservations, and settlements that are not durable yet.

    Messages for a holder go to ``@home``, which the router's keeper
    resolves to the holder or to the keeper that closes it out.
    """

    accepts = (messages.SettleAccepted, messages.AskOpenReservations)

    def __init__(self, context: Context) -> None:
        """Start without holdings."""
        self._context = context
        self._started = context.clock.now()
        self._holdings: dict[str, Holding] = {}

    @property
    def unsettled(self) -> int:
        """Number of settlements that are not known to be durable."""
        return sum(row.settled >= 0 for row in self._holdings.values())

    @property
    def open(self) -> int:
        """Number of reservations that are not settled."""
        return len(self._holdings) - self.unsettled

    def note_reserved(
        self,
        reserved: messages.Reserved,
        account: str,
        asked_at: float,
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
        if name in self._holdings:
            # A copy of the answer, or a second holder's: keep the first.
            same = self._holdings[name].holder == reserved.holder
            if not same:
                self._give_back(reserved, account)
            return same and self._holdings[name].settled < 0
        valid_until = asked_at + reserved.valid_s
        if not wanted or self._context.clock.now() >= valid_until:
            self._give_back(reserved, account)
            return False
        self._holdings[name] = Holding(
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
        held = self._holdings.get(request_id)
        if held is None or held.settled >= 0:
            return False
        if self._context.clock.now() >= held.valid_until and not held.started:
            self.settle(request_id, 0)
            return False
        held.started = True
        self._context.outbox.send(
            KEY_OWNER,
            messages.StartUse(
                request_id,
                held.budget,
                held.holder,
                target,
            ),
        )
        return True

    def settle(self, request_id: str, tokens: int, key: str = '') -> None:
        """Record the tokens used and tell the holder until it is durable."""
        held = self._holdings.get(request_id)
        if held is None or held.settled >= 0:
            return
        held.settled = min(tokens, held.tokens)
        held.key = key or request_id
        self._send(held)

    def tick(self) -> None:
        """Repeat settlements; give unused reservations back."""
        now = self._context.clock.now()
        for held in list(self._holdings.values()):
            if held.settled >= 0 and now >= held.repeat_at:
                self._send(held)
            lapsed = not held.started and now >= held.valid_until
            if held.settled < 0 and lapsed:
                self.settle(held.request_id, 0)

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Take one message."""

    @handle.register
    def _(self, message: messages.SettleAccepted, sender: str) -> None:
        held = self._holdings.get(message.request_id)
        same = held is not None and held.holder == message.holder
        if message.durable and same and held and held.settled >= 0:
            self._holdings.pop(message.request_id)

    @handle.register
    def _(self, message: messages.AskOpenReservations, sender: str) -> None:
        rows = tuple(
            messages.OpenReservation(
                held.request_id,
                held.budget,
                held.account,
                held.tokens if held.settled < 0 else held.settled,
                held.settled,
                held.key,
            )
            for held in self._holdings.values()
            if held.holder == message.holder
        )
        self._context.outbox.send(
            sender,
            messages.OpenReservations(
                self._context.identity.node,
                message.holder,
                rows,
                self._context.clock.now() - self._started,
            ),
        )

    def _send(self, held: Holding) -> None:
        """Send a settlement and set the time of its next repeat."""
        held.repeat_at = self._context.clock.now() + held.repeat_s
        held.repeat_s = min(2 * held.repeat_s, REPEAT_MOST_S)
        self._context.outbox.send(
            KEY_OWNER,
            messages.Settle(
                held.request_id,
                held.budget,
                held.account,
                held.holder,
                held.settled,
                held.key,
            ),
        )

    def _give_back(self, reserved: messages.Reserved, account: str) -> None:
        """Cancel a reservation; a lost message is made good by reports."""
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
