"""In-memory state of a holder."""

import collections
import dataclasses
import math

from fuchsiafork import messages
from fuchsiafork.budgets import ledger
from fuchsiafork.budgets.forecast import Forecast
from fuchsiafork.budgets.ledger_writes import HolderWrite, Settlement

# Longer than any copy of a message can be in transit.
DEDUPLICATION_S = 600.0


@dataclasses.dataclass(slots=True)
class UnconfirmedWrite:
    """
    A compare-and-swap whose outcome is not known yet.

    :ivar expected_revision: revision that the swap expects.
    :ivar new_record: record after the write.
    :ivar settled: tokens that it settles, by budget.
    :ivar net_transfers: net tokens of the transfers that it writes, by
        budget.
    """

    expected_revision: int
    write: HolderWrite
    new_record: ledger.Record
    settled: collections.Counter[str]
    net_transfers: collections.Counter[str]


@dataclasses.dataclass(slots=True)
class Shard:
    """
    Local copy of a ledger record.

    :ivar revision: revision of the record, -1 before the first read.
    :ivar unconfirmed_writes: writes without a known outcome, by sequence.
    :ivar operation_tag: tag of the open store operation, empty for none.
    :ivar retry_at: time before which no store operation is started.
    :ivar write_requested: whether the next write is due at once.
    :ivar registered: whether the record lists this holder.
    :ivar store_failing: whether the last store operation failed.
    :ivar needs_read: whether the record has to be read before a write.
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
    synced_at: float = -1e9
    written_at: float = -1e9
    write_requested: bool = False
    registered: bool = False
    store_failing: bool = False
    needs_read: bool = True


@dataclasses.dataclass(slots=True)
class BudgetState:
    """
    A budget at this holder, in tokens.

    :ivar unwritten_settlements: tokens settled here whose write to the
        ledger is not confirmed.
    :ivar net_transfers: net tokens of transfers that are not in the ledger.
    :ivar requests_sent: transfer requests sent in the current shortage.
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
        """Return the holder's grant in the local copy of the ledger."""
        row = self.shard.record.budgets.get(self.name)
        return row.grants.get(holder, 0) if row else 0

    def available(self, holder: str) -> int:
        """
        Return the tokens that can be reserved safely.

        An unconfirmed write may have lowered the grant, so the smallest of
        the possible balances counts.
        """
        local_balance = (
            self.net_transfers - self.reserved - self.unwritten_settlements
        )
        possible_balances = [self.granted(holder) + local_balance]
        for unconfirmed in self.shard.unconfirmed_writes.values():
            row = unconfirmed.new_record.budgets.get(self.name)
            grant = row.grants.get(holder, 0) if row else 0
            unwritten_change = (
                unconfirmed.settled[self.name]
                - unconfirmed.net_transfers[self.name]
            )
            possible_balances.append(grant + local_balance + unwritten_change)
        return min(possible_balances)


@dataclasses.dataclass(slots=True)
class Reservation:
    """
    Tokens reserved for a request.

    :ivar created_at: local clock time.
    :ivar target: target that the request is sent to, empty before StartUse.
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
    A request that waits for a reservation; times are on the local clock.

    :ivar usual_deadline: end of the usual wait.
    :ivar final_deadline: end of the wait while the ledger has not answered
        yet, or has free tokens that would cover the request.
    """

    message: messages.Reserve
    router: str
    usual_deadline: float
    arrived_at: float = 0
    final_deadline: float = math.inf


@dataclasses.dataclass(slots=True)
class LocalTransfer:
    """
    A transfer that this holder has to write to the ledger.

    :ivar credit: tokens gained, negative at the giver.
    :ivar counterpart_wrote: whether the other holder has written it.
    :ivar acknowledged: whether the receiver has acknowledged it.
    """

    transfer: ledger.Transfer
    credit: int
    counterpart_wrote: bool
    acknowledged: bool
    sent_at: float


class HolderTables:
    """
    Tables of one holder id, discarded together when it is closed out.

    :ivar sequence: number of the last write.
    :ivar pending_settlements: settlements to write, by request id.
    :ivar completed_settlements: local clock time by request id and holder.
    :ivar seen_transfers: local clock time by id of a transfer that this
        holder sent or received, to ignore duplicates.
    """

    def __init__(self, holder: str, shards: int) -> None:
        """Start with empty tables."""
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
        """Return the state of a budget, created if needed."""
        if name not in self.budgets:
            self.budgets[name] = BudgetState(
                name,
                self.shard_of(name),
                Forecast(now),
            )
        return self.budgets[name]

    def available(self, budget: str, now: float) -> int:
        """Return the tokens of a budget that can be reserved safely."""
        return self.budget(budget, now).available(self.holder)

    def has_grant(self, shard: Shard) -> bool:
        """Return whether the copy of a record has a grant of this holder."""
        return any(
            row.grants.get(self.holder, 0)
            for row in shard.record.budgets.values()
        )

    def settle(self, settlement: Settlement, now: float) -> None:
        """Replace a reservation by a settlement to write to the ledger."""
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
        """Drop entries that no duplicate message can refer to any more."""
        cutoff = now - DEDUPLICATION_S
        self.completed_settlements = {
            name: completed_at
            for name, completed_at in self.completed_settlements.items()
            if completed_at >= cutoff
        }
        self.seen_transfers = {
            name: seen_at
            for name, seen_at in self.seen_transfers.items()
            if seen_at >= cutoff
        }
