"""Processes of the measured fleet, and the target that counts spend."""

import collections
import dataclasses
import functools
from typing import TYPE_CHECKING, Any

from fuchsiafork import messages
from fuchsiafork.budgets import HolderSystem, ReservationTracker
from fuchsiafork.keeper import KeeperNode
from fuchsiafork.kernel import Context, Outbox
from fuchsiafork.kernel import outbox as effects
from fuchsiafork.membership import KEY_OWNER, MembershipSystem

if TYPE_CHECKING:
    from measurements.budgets_fleet import Fleet

ANSWER_LIMIT_S = 2.5
_REPEAT_RESERVE_S = 0.4


@dataclasses.dataclass(slots=True)
class Request:
    """
    A request of the demand, times in seconds, amounts in tokens.

    :ivar used: what the target will generate and count.
    """

    number: int
    at: float
    vm: str
    budget: str
    tokens: int
    used: int
    duration: float
    state: str = 'new'
    false: bool = False
    end: float = 0


class Target:
    """A target that counts what it generates, and keeps its records."""

    def __init__(self) -> None:
        """Start with nothing spent."""
        self.spent: collections.Counter[str] = collections.Counter()
        self.open: collections.Counter[str] = collections.Counter()
        self.records: dict[str, tuple[bool, int]] = {}

    def begin(self, request: Request) -> None:
        """Take a request."""
        self.records[str(request.number)] = (False, 0)
        self.open[request.budget] += request.tokens

    def finish(self, request: Request) -> None:
        """Count what a request used."""
        self.records[str(request.number)] = (True, request.used)
        self.open[request.budget] -= request.tokens
        self.spent[request.budget] += request.used


@dataclasses.dataclass(frozen=True, slots=True)
class Routed:
    """A message on its way to its home."""

    message: Any


class KeeperEnd:
    """A keeper on the virtual network."""

    def __init__(self, fleet: 'Fleet', context: Context) -> None:
        """Compose membership and budgets."""
        self.outbox = context.outbox
        self.context = context
        self.membership = MembershipSystem(context, '')
        self.holder = HolderSystem(context, self.membership)
        self.holder.query_target = functools.partial(fleet.query_target, self)
        self.node = KeeperNode(
            context,
            self.membership,
            [('budgets', self.holder)],
        )

    def receive(self, message: Any, sender: str, destination: str) -> None:
        """Take a message, or route it to its home."""
        if isinstance(message, Routed):
            self.node.receive(message.message, sender, KEY_OWNER)
        else:
            self.node.receive(message, sender, destination)

    def answer(self, message: effects.StoreAnswer) -> None:
        """Take a store answer."""
        self.node.answer(message)

    def tick(self) -> None:
        """Run the systems."""
        self.node.tick()


class RouterEnd:
    """A router on the virtual network, with its callers."""

    def __init__(self, fleet: 'Fleet', context: Context) -> None:
        """Start without requests."""
        self.outbox = Outbox()
        self.context = context
        self.reservation_tracker = ReservationTracker(context)
        self._fleet = fleet
        self._asked: dict[str, tuple[Request, float, float]] = {}

    def call(self, request: Request) -> None:
        """Take a caller's request."""
        now = self.context.clock.now()
        self._asked[str(request.number)] = (request, now, now)
        self._reserve(request)
        self.flush()

    def receive(self, message: Any, sender: str, destination: str) -> None:
        """Take an answer from a keeper."""
        if isinstance(message, messages.Reserved):
            self._use(message)
        elif isinstance(message, messages.ReserveRefused):
            asked = self._asked.pop(message.request_id, None)
            if asked is not None:
                self._fleet.refuse(asked[0])
        else:
            self.reservation_tracker.handle(message, sender)
        self.flush()

    def answer(self, message: effects.StoreAnswer) -> None:
        """Do nothing: a router does not use the store."""

    def tick(self) -> None:
        """Repeat what is due and give up on silent keepers."""
        self.reservation_tracker.tick()
        now = self.context.clock.now()
        for name, (request, asked, sent) in list(self._asked.items()):
            if now - asked > ANSWER_LIMIT_S:
                self._asked.pop(name)
                self._fleet.refuse(request)
            elif now - sent > _REPEAT_RESERVE_S:
                self._asked[name] = (request, asked, now)
                self._reserve(request)
        self.flush()

    def flush(self) -> None:
        """Send messages for homes to a keeper of this failure domain."""
        sends, _ = self.context.outbox.drain()
        for send in sends:
            if send.destination == KEY_OWNER:
                keeper = self._fleet.keeper_for(self.context.identity)
                self.outbox.send(keeper, Routed(send.message))
            else:
                self.outbox.send(send.destination, send.message)

    def _reserve(self, request: Request) -> None:
        """Ask for the worst case of a request."""
        self.context.outbox.send(
            KEY_OWNER,
            messages.Reserve(
                str(request.number),
                request.budget,
                request.budget,
                request.tokens,
                ANSWER_LIMIT_S,
                self.context.identity.vm,
            ),
        )

    def _use(self, reserved: messages.Reserved) -> None:
        """Send a request to the target when its reservation allows it."""
        name = reserved.request_id
        asked = self._asked.pop(name, None)
        if asked is None:
            self.reservation_tracker.accept_reservation(
                reserved, '', 0, wanted=False
            )
            return
        request, asked_at, _ = asked
        usable = self.reservation_tracker.accept_reservation(
            reserved,
            request.budget,
            asked_at,
        )
        if usable and self.reservation_tracker.start(name, 'target'):
            self._fleet.begin(self, request)
        else:
            self._fleet.refuse(request)
