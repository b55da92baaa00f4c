"""Routers and keepers of the targets measurement, on virtual time."""

import collections
import dataclasses
import random
from collections.abc import Callable
from typing import Any

from fuchsiafork import messages
from fuchsiafork.configuration import Document
from fuchsiafork.dispatch import (
    DispatchSystem,
    FixedVersions,
    RouterSlots,
    TargetSelector,
    request_group,
)
from fuchsiafork.dispatch.router_slots import UNUSED_OBSERVATION
from fuchsiafork.keeper.node import KeeperNode
from fuchsiafork.kernel import (
    Context,
    EventRing,
    HybridClock,
    Identity,
    Outbox,
    StrictInvariants,
)
from fuchsiafork.membership import KEY_OWNER, MembershipSystem
from measurements.targets_load import Call
from standins.engine_model import EngineModel
from standins.engine_types import UNFINISHED, EngineError, State
from standins.virtual import Scheduler

POLL_S = 0.25
_RETRIES = 2
_REQUEST_S = 60.0


class KeeperEnd:
    """A keeper that polls the targets it owns."""

    def __init__(
        self,
        identity: Identity,
        clock: Scheduler,
        chance: random.Random,
        document: Document,
        choice: TargetSelector | None,
    ) -> None:
        """Start with an empty view of its peers."""
        self.outbox = Outbox()
        hybrid = HybridClock(identity.node, clock.clock)
        context = Context(
            identity,
            clock.clock,
            chance,
            self.outbox,
            EventRing(hybrid),
            StrictInvariants(),
        )
        self.identity = identity
        self.membership = MembershipSystem(context, identity.node)
        policy = FixedVersions()
        policy.configure(document)
        self.dispatch = DispatchSystem(
            context,
            self.membership,
            policy,
            choice,
        )
        self.dispatch.configure(document)
        self._node = KeeperNode(
            context,
            self.membership,
            (('dispatch', self.dispatch),),
        )

    def receive(self, message: Any, sender: str, destination: str) -> None:
        """Take a message; those of routers go by way of the home."""
        self._node.receive(message, sender, destination)

    def answer(self, message: Any) -> None:
        """Take a store answer."""
        self._node.answer(message)

    def tick(self) -> None:
        """Run the systems."""
        self._node.tick()


@dataclasses.dataclass(slots=True)
class Open:
    """A request that a router has sent to a target."""

    call: Call
    target: str
    engine: EngineModel
    identity: str
    started: float


class RouterEnd:
    """A router with its callers; ``keeper`` is the one it talks to."""

    def __init__(
        self,
        node: str,
        domain: str,
        scheduler: Scheduler,
        document: Document,
        engines: dict[str, EngineModel],
    ) -> None:
        """Start without requests."""
        self.outbox: Outbox = HomeOutbox(self)
        self.keeper = ''
        self.counts: collections.Counter[str] = collections.Counter()
        self.open: dict[str, Open] = {}
        self.refused: set[str] = set()
        self._domain = domain
        self._clock = scheduler.clock
        self._scheduler = scheduler
        self._document = document
        self._engines = engines
        self._calls: dict[str, tuple[Call, tuple[str, ...]]] = {}
        self._slots = RouterSlots(node, scheduler.clock, self.outbox)
        self.alive = True

    @property
    def waiting(self) -> int:
        """Requests without an answer."""
        return len(self._calls)

    def submit(self, call: Call, exclude: tuple[str, ...] = ()) -> None:
        """Ask for a target for a request."""
        one = call.submission
        if one.request_id not in self._calls:
            self.counts['requests'] += 1
        self._calls[one.request_id] = (call, exclude)
        prefixes = one.prefixes
        group = request_group(
            self._document,
            self._domain,
            one.route,
            prefixes,
            one.request_id,
        )
        self._slots.acquire(
            messages.AcquireSlot(
                request_id=one.request_id,
                route=one.route,
                group=group,
                account=call.account,
                priority=one.priority,
                deadline_s=call.deadline_s,
                prefixes=prefixes,
                exclude=exclude,
                foreign=False,
            ),
        )

    def receive(self, message: Any, sender: str, destination: str) -> None:
        """Take a message from a keeper."""
        found = self._slots.handle(message)
        if isinstance(found, messages.SlotAcquired):
            self._send(found)
        elif isinstance(found, messages.SlotRefused):
            self.counts[f'refused_{found.code}'] += 1
            self._refuse(found.request_id)

    def answer(self, message: Any) -> None:
        """Take nothing; a router has no store."""

    def tick(self) -> None:
        """Look at the open streams and repeat what has no answer."""
        for request_id in self._slots.tick():
            self.counts['refused_late'] += 1
            self._refuse(request_id)
        for request_id, opened in list(self.open.items()):
            self._look(request_id, opened)

    def _refuse(self, request_id: str) -> None:
        """Tell the caller that the request was not run."""
        _, exclude = self._calls.pop(request_id)
        self.counts['refused'] += 1
        if not exclude:
            self.refused.add(request_id)

    def _send(self, grant: messages.SlotAcquired) -> None:
        """Send a request on its grant, if that is still good."""
        call, exclude = self._calls[grant.request_id]
        if not self._slots.may_send(grant.request_id):
            self.submit(call, exclude)
            return
        self._scheduler.call_later(0.001, lambda: self._arrive(grant, call))

    def _arrive(self, grant: messages.SlotAcquired, call: Call) -> None:
        """Hand a request to its target, as its bytes have arrived."""
        engine = self._engines[grant.target]
        try:
            engine.submit(call.submission)
        except EngineError as error:
            sent = 'fell over' in str(error)
            if self.alive:
                self._fail(grant.request_id, grant.target, sent=sent)
            return
        self.open[grant.request_id] = Open(
            call,
            grant.target,
            engine,
            engine.identity,
            self._clock.now(),
        )

    def _look(self, request_id: str, opened: Open) -> None:
        """Take note of the end of a stream."""
        engine = opened.engine
        engine.advance()
        record = engine.records.get(request_id)
        lost = opened.identity != engine.identity
        if lost or record is None or record.state is State.FAILED:
            self.open.pop(request_id)
            self._fail(request_id, opened.target, sent=True)
        elif record.state is State.DONE:
            self.open.pop(request_id)
            self._finish(request_id, failed=False, tokens=record.tokens)
        elif self._clock.now() - opened.started > _REQUEST_S:
            engine.cancel(request_id)
            self.open.pop(request_id)
            self._finish(request_id, failed=True, tokens=record.tokens)

    def _finish(self, request_id: str, *, failed: bool, tokens: int) -> None:
        """Release the slot of a request that has ended."""
        self._calls.pop(request_id, None)
        self.counts['failed' if failed else 'answered'] += 1
        observation = dataclasses.replace(
            UNUSED_OBSERVATION,
            sent=True,
            failed=failed,
            tokens=tokens,
        )
        self._slots.release(request_id, observation)

    def _fail(self, request_id: str, target: str, *, sent: bool) -> None:
        """Release the slot and try another target a few times."""
        observation = dataclasses.replace(
            UNUSED_OBSERVATION, sent=sent, failed=True
        )
        self._slots.release(request_id, observation)
        call, exclude = self._calls[request_id]
        if len(exclude) < _RETRIES:
            self.submit(call, (*exclude, target))
        else:
            self._calls.pop(request_id)
            self.counts['failed'] += 1

    def abandon(self, chance: random.Random) -> None:
        """Die; half of the targets notice the broken connection."""
        self.alive = False
        for request_id, opened in self.open.items():
            same = opened.identity == opened.engine.identity
            record = opened.engine.records.get(request_id)
            kept = same and record is not None and record.state in UNFINISHED
            if kept and chance.random() < 0.5:
                opened.engine.cancel(request_id)


class HomeOutbox(Outbox):
    """Sends what is for a home to the router's keeper."""

    def __init__(self, router: RouterEnd) -> None:
        """Read the keeper from the router at each message."""
        super().__init__()
        self._router = router

    def send(self, destination: str, message: Any) -> None:
        """Queue a message; without a keeper it is lost."""
        if destination == KEY_OWNER:
            destination = self._router.keeper
        if destination:
            super().send(destination, message)


ChoiceFactory = Callable[[random.Random], TargetSelector]
