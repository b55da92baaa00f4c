"""Tables of a holder: budgets, reservations, settlements, transfers."""

import collections
import dataclasses
import math

from fuchsiafork import messages
from fuchsiafork.budgets import ledger
from fuchsiafork.budgets.forecast import Forecast
from fuchsiafork.budgets.writes import HolderWrite, Settlement

# Longer than any copy of a message can still be on its way.
MEMORY_S = 600.0


@dataclasses.dataclass(slots=True)
class Attempt:
    """
    A write whose outcome is not known yet.

    :ivar base: revision that it expects.
    :ivar after: the record as it would be.
    :ivar settled: tokens that it settles, by budget.
    :ivar moved: net tokens of transfers that it writes, by budget.
    """

    base: int
    write: HolderWrite
    after: ledger.Record
    settled: collections.Counter[str]
    moved: collections.Counter[str]


@dataclasses.dataclass(slots=True)
class Shard:
    """
    A ledger record as last seen.

    :ivar revision: its revision, -1 before the first read.
    :ivar busy: tag of the store operation that is on its way.
    :ivar retry_at: time before which the store is not asked again.
    """

    key: str
    record: ledger.Record = dataclasses.field(default_factory=ledger.Record)
    revision: int = -1
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    busy: str = ''
    busy_since: float = 0
    retry_at: float = 0
    synced_at: float = -1e9
    written_at: float = -1e9
    urgent: bool = False
    registered: bool = False
    failing: bool = False
    must_read: bool = True


@dataclasses.dataclass(slots=True)
class BudgetState:
    """
    A budget at this holder, in tokens.

    :ivar moved: net transfers that are not in the ledger yet.
    :ivar unwritten: settled here and not known to be in the ledger.
    """

    name: str
    shard: Shard
    forecast: Forecast
    reserved: int = 0
    unwritten: int = 0
    moved: int = 0
    last_ask: float = -1e9
    asked: int = 0

    def granted(self, holder: str) -> int:
        """Return the holder's grant in the ledger as last seen."""
        row = self.shard.record.budgets.get(self.name)
        return row.grants.get(holder, 0) if row else 0

    def available(self, holder: str) -> int:
        """
        Return what can be reserved whatever became of open writes.

        A write on its way may lower the grant, so the least grant counts.
        """
        base = self.moved - self.reserved - self.unwritten
        rooms = [self.granted(holder) + base]
        for attempt in self.shard.attempts.values():
            row = attempt.after.budgets.get(self.name)
            grant = row.grants.get(holder, 0) if row else 0
            shift = attempt.settled[self.name] - attempt.moved[self.name]
            rooms.append(grant + base + shift)
        return min(rooms)


@dataclasses.dataclass(slots=True)
class Reservation:
    """
    Tokens promised to a request.

    :ivar made_at: local clock time.
    :ivar target: target that got the request, empty before StartUse.
    :ivar key: digest of the idempotency key, empty for none.
    """

    request_id: str
    budget: str
    account: str
    router: str
    tokens: int
    made_at: float
    target: str = ''
    asked_target_at: float = -1e9
    key: str = ''


@dataclasses.dataclass(slots=True)
class Waiting:
    """
    A request for which there is no money yet; times are of the local clock.

    :ivar until: end of the usual wait.
    :ivar limit: end of the wait while the ledger has not answered yet, or
        has money that would cover the request.
    """

    message: messages.Reserve
    router: str
    until: float
    arrived: float = 0
    limit: float = math.inf


@dataclasses.dataclass(slots=True)
class LocalTransfer:
    """
    A transfer that this holder has to write.

    :ivar change: tokens gained, negative at the giver.
    :ivar in_ledger: the other side has written it.
    :ivar received: the receiver has acknowledged it.
    """

    transfer: ledger.Transfer
    change: int
    in_ledger: bool
    received: bool
    sent_at: float


class HolderTables:
    """All rows of one holder; dropped together when it is closed out."""

    def __init__(self, holder: str, shards: int) -> None:
        """Start empty under a holder id."""
        self.holder = holder
        self.shard_count = shards
        self.sequence = 0
        self.shards: dict[str, Shard] = {}
        self.budgets: dict[str, BudgetState] = {}
        self.reservations: dict[str, Reservation] = {}
        self.pending: dict[str, Settlement] = {}
        self.done: dict[tuple[str, str], float] = {}
        self.waiting: dict[str, Waiting] = {}
        self.transfers: dict[str, LocalTransfer] = {}
        self.seen_transfers: dict[str, float] = {}

    def shard_of(self, budget: str) -> Shard:
        """Return the shard of a budget."""
        known = self.budgets.get(budget)
        if known is not None:
            return known.shard
        key = ledger.ledger_key(budget, self.shard_count)
        return self.shards.setdefault(key, Shard(key))

    def budget(self, name: str, now: float) -> BudgetState:
        """Return the row of a budget, a new one if needed."""
        if name not in self.budgets:
            self.budgets[name] = BudgetState(
                name,
                self.shard_of(name),
                Forecast(now),
            )
        return self.budgets[name]

    def available(self, budget: str, now: float) -> int:
        """Return what can be reserved of a budget."""
        return self.budget(budget, now).available(self.holder)

    def has_grant(self, shard: Shard) -> bool:
        """Return whether a record, as last seen, has a grant of this holder."""
        return any(
            row.grants.get(self.holder, 0)
            for row in shard.record.budgets.values()
        )

    def settle(self, settlement: Settlement, now: float) -> None:
        """Turn a reservation into tokens used that the ledger must learn."""
        request_id = settlement.request_id
        held = None
        if settlement.holder == self.holder:
            held = self.reservations.pop(request_id, None)
        state = self.budget(settlement.budget, now)
        if held is not None:
            state.reserved -= held.tokens
        if not settlement.tokens:
            self.done[request_id, settlement.holder] = now
            return
        self.pending[request_id] = settlement
        if settlement.holder == self.holder:
            state.unwritten += settlement.tokens

    def forget_old(self, now: float) -> None:
        """Drop what no copy of a message can ask for any more."""
        old = now - MEMORY_S
        self.done = {name: at for name, at in self.done.items() if at >= old}
        self.seen_transfers = {
            name: at for name, at in self.seen_transfers.items() if at >= old
        }
