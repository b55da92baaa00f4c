"""A fleet of pure nodes whose spend a stand-in target counts."""

import collections
import random
from typing import Any

from fuchsiafork import messages
from fuchsiafork.budgets import ledger
from fuchsiafork.configuration.document import Budget, Document
from fuchsiafork.kernel import (
    Clock,
    Context,
    EventRing,
    HybridClock,
    Identity,
    Outbox,
    StrictInvariants,
)
from fuchsiafork.membership import Member
from measurements.budgets_ends import KeeperEnd, Request, RouterEnd, Target
from standins.store_model import StoreModel
from standins.virtual import (
    Faults,
    Scheduler,
    VirtualClock,
    VirtualNetwork,
)

TICK_S = 0.05


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
                router.reservation_tracker.settle(
                    str(request.number), request.used
                )
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

    def query_target(
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
        self.network.tick_every(identity.node, TICK_S)

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
