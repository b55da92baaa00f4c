"""A fleet of pure nodes whose spend a stand-in target counts."""

import collections
import dataclasses
import functools
import random
from typing import Any

from fuchsiafork import messages
from fuchsiafork.budgets import HolderSystem, HoldingsSystem, ledger
from fuchsiafork.configuration.document import Budget, Document
from fuchsiafork.keeper import KeeperNode
from fuchsiafork.kernel import (
    Clock,
    Context,
    EventRing,
    HybridClock,
    Identity,
    Outbox,
    StrictInvariants,
)
from fuchsiafork.kernel import outbox as effects
from fuchsiafork.membership import HOME, Member, MembershipSystem
from standins.store_model import StoreModel
from standins.virtual import (
    Faults,
    Scheduler,
    VirtualClock,
    VirtualNetwork,
)

TICK_S = 0.05
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
        self.holder.ask_target = functools.partial(fleet.ask_target, self)
        self.node = KeeperNode(
            context,
            self.membership,
            [('budgets', self.holder)],
        )

    def receive(self, message: Any, sender: str, destination: str) -> None:
        """Take a message, or route it to its home."""
        if isinstance(message, Routed):
            self.node.receive(message.message, sender, HOME)
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
        self.holdings = HoldingsSystem(context)
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
            self.holdings.handle(message, sender)
        self.flush()

    def answer(self, message: effects.StoreAnswer) -> None:
        """Do nothing: a router does not use the store."""

    def tick(self) -> None:
        """Repeat what is due and give up on silent keepers."""
        self.holdings.tick()
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
            if send.destination == HOME:
                keeper = self._fleet.keeper_for(self.context.identity)
                self.outbox.send(keeper, Routed(send.message))
            else:
                self.outbox.send(send.destination, send.message)

    def _reserve(self, request: Request) -> None:
        """Ask for the worst case of a request."""
        self.context.outbox.send(
            HOME,
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
            self.holdings.note_reserved(reserved, '', 0, wanted=False)
            return
        request, asked_at, _ = asked
        usable = self.holdings.note_reserved(
            reserved,
            request.budget,
            asked_at,
        )
        if usable and self.holdings.start(name, 'target'):
            self._fleet.begin(self, request)
        else:
            self._fleet.refuse(request)


class Fleet:
    """Keepers, routers, a store and a target in virtual time."""

    def __init__(
        self,
        layout: dict[str, int],
        budgets: dict[str, int],
        seed: int,
        faults: Faults | None = None,
    ) -> None:
        """Start ``layout`` VMs by failure domain with opening credits."""
        self.chance = random.Random(seed)
        self.clock = VirtualClock()
        self.scheduler = Scheduler(self.clock)
        self.store = StoreModel(self.clock.now)
        self.network = VirtualNetwork(
            self.scheduler,
            self.store,
            self.chance,
            faults,
        )
        self.target = Target()
        self.prepaid = collections.Counter(budgets)
        self.document = Document(
            budgets={
                name: Budget(owner='o', opening_tokens=tokens)
                for name, tokens in budgets.items()
            },
        )
        self.keepers: dict[str, KeeperEnd] = {}
        self.routers: dict[str, RouterEnd] = {}
        self.domains = {
            f'{domain}-{number}': domain
            for domain, count in layout.items()
            for number in range(count)
        }
        self.served = 0
        self.overspent = 0
        self.refused: list[Request] = []
        self._starts: collections.Counter[str] = collections.Counter()
        for vm in self.domains:
            self.start(vm)

    def start(self, vm: str) -> None:
        """Start, or start again, the router and the keeper of a VM."""
        self.start_router(vm)
        self.start_keeper(vm)

    def start_router(self, vm: str) -> None:
        """Start the router of a VM."""
        router = RouterEnd(self, self._context(vm, 'router'))
        self._connect(router.context, router)
        self.routers[vm] = router

    def start_keeper(self, vm: str) -> None:
        """Start the keeper of a VM; links to all others come up."""
        keeper = KeeperEnd(self, self._context(vm, 'keeper'))
        keeper.membership.local_routers.add(f'{vm}/router')
        keeper.holder.configure(self.document)
        self.keepers[vm] = keeper
        self._connect(keeper.context, keeper)
        for other in self.keepers.values():
            self._introduce(keeper, other)
            self._introduce(other, keeper)

    def kill(self, vm: str) -> None:
        """Lose a VM with its router and keeper."""
        self.network.kill(f'{vm}/router')
        self.network.kill(f'{vm}/keeper')
        self.routers.pop(vm, None)
        self.keepers.pop(vm, None)

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.scheduler.run_until(self.clock.now() + seconds)

    def call(self, request: Request) -> None:
        """Give a request to its router, or to another one if it died."""
        router = self.routers.get(request.vm)
        if router is None:
            request.state = 'lost'
            return
        router.call(request)
        self.network.flush(router.context.identity.node)

    def begin(self, router: RouterEnd, request: Request) -> None:
        """Let the target run a request."""
        request.state = 'running'
        self.target.begin(request)
        self._check_spend(request.budget)

        def finish() -> None:
            request.state = 'served'
            self.served += 1
            self.target.finish(request)
            self._check_spend(request.budget)
            node = router.context.identity.node
            if self.network.endpoints.get(node) is router:
                router.holdings.settle(str(request.number), request.used)
                router.flush()
                self.network.flush(node)

        self.scheduler.call_later(request.duration, finish)

    def refuse(self, request: Request) -> None:
        """Count a refusal; it is false if the money was anywhere."""
        request.state = 'refused'
        request.end = self.clock.now()
        request.false = request.tokens <= self.left(request.budget)
        self.refused.append(request)

    def left(self, budget: str) -> int:
        """Return prepaid tokens neither spent nor promised to a stream."""
        spent = self.target.spent[budget] + self.target.open[budget]
        return self.prepaid[budget] - spent

    def top_up(self, budget: str, tokens: int, change_id: str) -> None:
        """Credit a budget as an operator does."""
        key = ledger.ledger_key(budget)
        revision, encoded = self.store.read(key)
        record = ledger.decode_record(encoded)
        known = record.budgets.get(budget, ledger.BudgetRow()).changes
        if change_id not in known:
            self.prepaid[budget] += tokens
        changed = ledger.top_up(record, budget, tokens, change_id)
        self.store.swap(key, revision, ledger.encode_record(changed))

    def keeper_for(self, identity: Identity) -> str:
        """Return the keeper that a router sends to."""
        vms = [identity.vm, *sorted(self.keepers)]
        for vm in vms:
            node = f'{vm}/keeper'
            up = node in self.network.endpoints
            near = self.domains[vm] == identity.domain
            if up and near and node not in self.network.paused:
                return node
        return ''

    def ask_target(
        self,
        keeper: KeeperEnd,
        request_id: str,
        budget: str,
        target: str,
    ) -> None:
        """Answer a keeper from the target's record of a request."""
        finished, tokens = self.target.records.get(request_id, (True, 0))
        node = keeper.context.identity.node
        record = messages.TargetRecord(request_id, budget, finished, tokens)
        keeper.outbox.send(node, record)

    def rows(self) -> dict[str, ledger.BudgetRow]:
        """Return all budgets of the ledger, outside the counted calls."""
        found = {}
        for key, row in self.store.rows.items():
            if key.startswith('ledger/'):
                found.update(ledger.decode_record(row.value).budgets)
        return found

    def withheld(self) -> int:
        """Return tokens in grants of holders that no longer run."""
        live = {keeper.holder.tables.holder for keeper in self.keepers.values()}
        return sum(
            max(0, tokens)
            for row in self.rows().values()
            for holder, tokens in row.grants.items()
            if holder not in live
        )

    def _check_spend(self, budget: str) -> None:
        """Note the greatest spend over the prepaid budget."""
        over = self.target.spent[budget] - self.prepaid[budget]
        self.overspent = max(self.overspent, over)

    def _context(self, vm: str, process: str) -> Context:
        """Return the surroundings of a new process."""
        node = f'{vm}/{process}'
        self._starts[node] += 1
        clock: Clock = self.clock
        return Context(
            Identity(node, self.domains[vm], vm, f'i{self._starts[node]}'),
            clock,
            random.Random(self.chance.random()),
            Outbox(),
            EventRing(HybridClock(node, clock)),
            StrictInvariants(),
        )

    def _connect(self, context: Context, endpoint: Any) -> None:
        """Put a process on the network."""
        identity = context.identity
        self.network.add(identity.node, identity.domain, endpoint)
        self.network.every(identity.node, TICK_S)

    def _introduce(self, keeper: KeeperEnd, other: KeeperEnd) -> None:
        """Let a keeper know another, as the link's Hello does."""
        identity = other.context.identity
        if keeper is other:
            return
        keeper.membership.members[identity.node] = Member(
            node=identity.node,
            domain=identity.domain,
            incarnation=identity.incarnation,
            address='',
            revision=0,
            leaving=False,
            routers=tuple(other.membership.local_routers),
            last_heard=self.clock.now(),
        )
