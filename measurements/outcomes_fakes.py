"""Simple stand-ins of the holder and of the slot owner, for outcomes only."""

import collections
import dataclasses
import functools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.kernel import Context, System
from fuchsiafork.kernel.errors import NoTargetError
from fuchsiafork.router.request_ids import incarnation_of
from measurements.outcomes_router import VirtualRouter
from measurements.outcomes_targets import StandInTarget


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """An open reservation."""

    key: str
    tokens: int


class Ledger:
    """
    Settlements by key, one ledger for the whole fleet.

    :ivar bills: settle key to the reservation id and tokens that count.
    :ivar duplicates: reservation ids that were settled under a used key.
    :ivar taken_back: grants that a live router did not know of when asked.
    """

    def __init__(self) -> None:
        """Start without reservations."""
        self.open: dict[str, Reservation] = {}
        self.bills: dict[str, tuple[str, int]] = {}
        self.duplicates: list[str] = []
        self.taken_back = 0
        self._settled: set[str] = set()

    def reserve(self, message: messages.Reserve) -> None:
        """Open a reservation once."""
        if message.request_id not in self._settled:
            row = Reservation(message.key, message.tokens)
            self.open.setdefault(message.request_id, row)

    def settle(self, reservation_id: str, key: str, tokens: int) -> None:
        """Bill a reservation once, and a key once."""
        self.open.pop(reservation_id, None)
        if reservation_id in self._settled:
            return
        self._settled.add(reservation_id)
        if not tokens:
            return
        if key in self.bills:
            self.duplicates.append(reservation_id)
        else:
            self.bills[key] = (reservation_id, tokens)

    def close_lost(
        self,
        routers: dict[str, VirtualRouter],
        targets: dict[str, StandInTarget],
    ) -> None:
        """
        Settle what no router holds any more.

        A live router's word cancels; for a dead one the targets' records
        say what was used.
        """
        for reservation_id, row in tuple(self.open.items()):
            router = routers.get(incarnation_of(reservation_id))
            if router is None:
                found = [
                    target.record_of(reservation_id) or 0
                    for target in targets.values()
                ]
                used = min(max(found), row.tokens)
                self.settle(reservation_id, row.key, used)
            elif not router.holds(reservation_id, messages.SettleAccepted):
                self.settle(reservation_id, reservation_id, 0)
                self.taken_back += 1


class FakeHolder(System):
    """Grants every reservation and settles by key."""

    accepts = (messages.Reserve, messages.StartUse, messages.Settle)

    def __init__(self, context: Context, ledger: Ledger) -> None:
        """Share a ledger with the other holders."""
        super().__init__(context)
        self._ledger = ledger

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Take a message."""

    @handle.register
    def _(self, message: messages.Reserve, sender: str) -> None:
        self._ledger.reserve(message)
        self._context.outbox.send(
            sender,
            messages.Reserved(
                message.request_id,
                message.budget,
                self._context.identity.holder,
                message.tokens,
                5.0,
            ),
        )

    @handle.register
    def _(self, message: messages.Settle, sender: str) -> None:
        self._ledger.settle(message.request_id, message.key, message.tokens)
        self._context.outbox.send(
            sender,
            messages.SettleAccepted(
                message.request_id,
                message.budget,
                message.holder,
                durable=True,
            ),
        )

    def tick(self) -> None:
        """Do nothing."""


class FakeDispatch(System):
    """Gives any target of the domain that was not excluded."""

    accepts = (
        messages.AcquireSlot,
        messages.ReleaseSlot,
        messages.CancelAcquire,
    )

    def __init__(
        self,
        context: Context,
        targets: dict[str, StandInTarget],
        slots: dict[str, str],
    ) -> None:
        """Share the table of open slots, slot id to router."""
        super().__init__(context)
        self._targets = targets
        self._slots = slots

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Take a message."""

    @handle.register
    def _(self, message: messages.AcquireSlot, sender: str) -> None:
        names = [
            name
            for name, target in self._targets.items()
            if name not in message.exclude
            and message.group == f'{name.partition("-")[0]}:{target.domain}'
        ]
        reply = self._pick(message, names, sender)
        self._context.outbox.send(sender, reply)

    @handle.register(messages.ReleaseSlot)
    @handle.register(messages.CancelAcquire)
    def _(self, message: Any, sender: str) -> None:
        self._slots.pop(message.request_id, None)
        self._context.outbox.send(
            sender,
            messages.SlotReleased(message.request_id),
        )

    def tick(self) -> None:
        """Do nothing."""

    def _pick(
        self,
        message: messages.AcquireSlot,
        names: list[str],
        sender: str,
    ) -> Any:
        """Return the grant of a random target, or a refusal."""
        if not names:
            return messages.SlotRefused(
                message.request_id,
                message.route,
                NoTargetError.code,
                1.0,
            )
        self._slots[message.request_id] = sender
        target = self._context.random.choice(names)
        return messages.SlotAcquired(
            message.request_id,
            message.route,
            target,
            f'http://{target}',
            'v1',
            self._context.identity.node,
        )


def count_by_cause(targets: dict[str, StandInTarget]) -> dict[str, int]:
    """Return how often the targets made each fault."""
    total: collections.Counter[str] = collections.Counter()
    for target in targets.values():
        total.update(target.faults_made)
    return {name: count for name, count in sorted(total.items()) if name}
