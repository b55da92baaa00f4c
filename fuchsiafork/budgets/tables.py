"""Tables of a holder: budgets, reservations, settlements, transfers."""

import collections
import dataclasses
import math

from fuchsiafork import messages
from fuchsiafork.budgets import ledger
from fuchsiafork.budgets.forecast import Forecast
from fuchsiafork.budgets.ledger_writes import HolderWrite, Settlement

# Longer than any copy of a message can still be on its way.
DEDUPLICATION_S = 600.0


@dataclasses.dataclass(slots=True)
class UnconfirmedWrite:
    """
    A write whose outcome is not known yet.

    :ivar base: revision that it expects.
    :ivar after: the record as it would be.
    :ivar settled: tokens that it settles, by budget.
    :ivar moved: net tokens of transfers that it writes, by budget.
    """

    expected_revision: int
    write: HolderWrite
    new_record: ledger.Record
    settled: collections.Counter[str]
    net_transfers: collections.Counter[str]


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
    unconfirmed_writes: dict[int, UnconfirmedWrite] = dataclasses.field(
        default_factory=dict
    )
    operation_tag: str = ''
    operation_started_at: float = 0
    retry_at: float = 0
    read_at: float = -1e9
    written_at: float = -1e9
    write_requested: bool = False
    registered: bool = False
    store_failing: bool = False
    needs_read: bool = True


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
    unwritten_settlements: int = 0
    net_transfers: int = 0
    last_request_at: float = -1e9
    requests_sent: int = 0

    def granted(self, holder: str) -> int:
        """Return the holder's grant in the ledger as last seen."""
        row = self.shard.record.budgets.get(self.name)
        return row.grants.get(holder, 0) if row else 0

    def available(self, holder: str) -> int:
        """
        Return what can be reserved whatever became of open writes.

        A write on its way may lower the grant, so the least grant counts.
        """
        base = self.net_transfers - self.reserved - self.unwritten_settlements
        possible_balances = [self.granted(holder) + base]
        for write in self.shard.unconfirmed_writes.values():
            row = write.new_record.budgets.get(self.name)
            grant = row.grants.get(holder, 0) if row else 0
            shift = write.settled[self.name] - write.net_transfers[self.name]
            possible_balances.append(grant + base + shift)
        return min(possible_balances)


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
    created_at: float
    target: str = ''
    target_queried_at: float = -1e9
    key: str = ''


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """
    A request for which there is no money yet; times are of the local clock.

    :ivar until: end of the usual wait.
    :ivar limit: end of the wait while the ledger has not answered yet, or
        has money that would cover the request.
    """

    message: messages.Reserve
    router: str
    usual_deadline: float
    arrived_at: float = 0
    final_deadline: float = math.inf


@dataclasses.dataclass(slots=True)
class LocalTransfer:
    """
    A transfer that this holder has to write.

    :ivar change: tokens gained, negative at the giver.
    :ivar in_ledger: the other side has written it.
    :ivar received: the receiver has acknowledged it.
    """

    transfer: ledger.Transfer
    credit: int
    counterpart_wrote: bool
    acknowledged: bool
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
        self.pending_settlements: dict[str, Settlement] = {}
        self.completed_settlements: dict[tuple[str, str], float] = {}
        self.waiting: dict[str, QueuedRequest] = {}
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
        reservation = None
        if settlement.holder == self.holder:
            reservation = self.reservations.pop(request_id, None)
        state = self.budget(settlement.budget, now)
        if reservation is not None:
            state.reserved -= reservation.tokens
        if not settlement.tokens:
            self.completed_settlements[request_id, settlement.holder] = now
            return
        self.pending_settlements[request_id] = settlement
        if settlement.holder == self.holder:
            state.unwritten_settlements += settlement.tokens

    def drop_expired(self, now: float) -> None:
        """Drop what no copy of a message can ask for any more."""
        cutoff = now - DEDUPLICATION_S
        self.completed_settlements = {
            name: completed_at
            for name, completed_at in self.completed_settlements.items()
            if completed_at >= cutoff
        }
        self.seen_transfers = {
            name: completed_at
            for name, completed_at in self.seen_transfers.items()
            if completed_at >= cutoff
        }
