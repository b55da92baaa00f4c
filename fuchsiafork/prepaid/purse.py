"""The tokens that one process may spend, without I/O."""

import dataclasses
import math

from fuchsiafork.prepaid.ledger import AccountEntry, Ledger

# Time constant of the demand's average, seconds.
DEMAND_S = 8.0
# Seconds of the fleet's demand that the live VMs hold together, so that they
# go on serving while the store is away. What they hold when they die stays
# withheld, so it is no more than that.
HORIZON_S = 11.0
# Bounds on what they hold together, as shares of the tokens that are left.
LEAST_HELD_SHARE = 0.22
HELD_SHARE = 0.6
# Part of a VM's share that goes by its demand; the rest is equal for all.
BY_DEMAND = 0.6
# A grant is lowered when it is this many times larger than its target, or
# than SCARCE_FACTOR times, when little is free for others.
KEEP_FACTOR = 1.25
SCARCE_FACTOR = 1.15
SCARCE_SHARE = 0.15
# Another VM that asks for tokens gets this part of the rest besides, so that
# it need not ask for each request.
SPARE_DIVISOR = 4


@dataclasses.dataclass(slots=True)
class Reservation:
    """
    The most that a request may cost.

    :ivar open: whether it hasn't been settled yet.
    """

    account: str
    tokens: int
    open: bool = True


@dataclasses.dataclass(slots=True)
class _Pocket:
    """
    One account's tokens in this process.

    :ivar granted: grant in the last record known to be stored.
    :ivar used: settled tokens that are not in that record.
    :ivar reserved: most that the open requests may cost.
    :ivar demand: average of tokens spent a second.
    :ivar counted: tokens spent since the average was last taken.
    :ivar lacked: largest reservation that was refused since the last write.
    :ivar frozen: whether nothing is spent until the next write, since the
        budget was lowered.
    """

    granted: int = 0
    used: int = 0
    reserved: int = 0
    demand: float = 0.0
    counted: float = 0.0
    lacked: int = 0
    frozen: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """
    What one write of the ledger does to this process's grants.

    :ivar number: of the write, in `Ledger.writes`.
    :ivar base: revision of the record that the write replaces.
    :ivar settled: tokens moved from the grant to the account's spent ones.
    :ivar granted: grant by account after the write.
    """

    number: int
    base: int
    settled: dict[str, int]
    granted: dict[str, int]


class Purse:
    """Reserves, settles and plans the writes that renew the grants."""

    def __init__(self, holder: str, address: str = '') -> None:
        """
        Start without tokens, as a holder that never wrote.

        :param address: IP:PORT at which other VMs ask for tokens.
        """
        self._holder = holder
        self._address = address
        self._pockets: dict[str, _Pocket] = {}
        self._unknown: list[Change] = []
        self._number = 0
        self._leaving = False
        self._age_s = 0.0
        self._known: Ledger | None = None
        self._prepaid: dict[str, int] = {}

    @property
    def unsettled(self) -> bool:
        """Whether tokens were used that the ledger doesn't show."""
        return any(
            pocket.used
            for account, pocket in self._pockets.items()
            if account in self._prepaid
        )

    @property
    def lacking(self) -> bool:
        """Whether a reservation was refused since the last write."""
        return any(pocket.lacked for pocket in self._pockets.values())

    def set_prepaid(self, prepaid: dict[str, int]) -> None:
        """Take over the prepaid tokens by account."""
        for account, tokens in prepaid.items():
            if tokens < self._prepaid.get(account, 0):
                pocket = self._pockets.setdefault(account, _Pocket())
                pocket.frozen = True
                pocket.lacked = max(1, pocket.lacked)
        self._prepaid = prepaid

    def bounded(self, account: str) -> bool:
        """Return whether an account has a budget."""
        return account in self._prepaid

    def available(self, account: str) -> int:
        """
        Return the tokens that may be reserved now.

        While the outcome of a write is unknown, the least of what the
        grant would be with and without it counts.
        """
        pocket = self._pockets.get(account)
        if pocket is None or pocket.frozen:
            return 0
        least = pocket.granted - pocket.used
        for change in self._unknown:
            settled = change.settled.get(account, 0)
            after = change.granted.get(account, 0)
            least = min(least, after - pocket.used + settled)
        return least - pocket.reserved

    def reserve(self, account: str, tokens: int) -> Reservation | None:
        """Return a reservation, None if the tokens at hand don't cover it."""
        pocket = self._pockets.setdefault(account, _Pocket())
        if self.available(account) < tokens:
            pocket.lacked = max(pocket.lacked, tokens)
            return None
        pocket.reserved += tokens
        pocket.counted += tokens
        return Reservation(account, tokens)

    def settle(self, reservation: Reservation, tokens: int) -> None:
        """End a reservation with what the request has cost."""
        if not reservation.open:
            return
        reservation.open = False
        pocket = self._pockets[reservation.account]
        pocket.reserved -= reservation.tokens
        cost = min(tokens, reservation.tokens)
        pocket.used += cost
        pocket.counted += cost - reservation.tokens

    def give(self, account: str, tokens: int) -> int:
        """
        Return how many tokens another VM gets of those at hand.

        They count as used here and as unused there. The sum in the ledger
        stays the same whichever of both writes first, and a lost answer
        strands tokens but never doubles them.
        """
        available = self.available(account)
        if self._leaving:
            given = available
        else:
            given = min(available, tokens + available // SPARE_DIVISOR)
        if given < min(tokens, 1):
            return 0
        self._pockets[account].used += given
        return given

    def receive(self, account: str, tokens: int) -> None:
        """Add tokens that another VM has given."""
        self._pockets.setdefault(account, _Pocket()).used -= tokens

    def richest(self, account: str, wall: float) -> list[str]:
        """Return addresses of VMs that may have tokens, the richest first."""
        if self._known is None:
            return []
        grants = self._known.entry(account).grants
        holders = [
            holder
            for holder in self._known.live(wall)
            if holder != self._holder and grants.get(holder, 0) > 0
        ]
        holders.sort(key=lambda holder: grants[holder], reverse=True)
        return [self._known.addresses[holder] for holder in holders]

    def exhausted(self, account: str, tokens: int) -> bool:
        """
        Return whether the budget can't cover a cost, whoever holds it.

        Tokens in grants may still come back, settled ones never do.
        """
        if self._known is None or account not in self._prepaid:
            return False
        spent = self._known.entry(account).spent
        return self._prepaid[account] - spent < tokens

    def tick(self, elapsed_s: float) -> None:
        """Average the demand over the time since the last call."""
        if elapsed_s <= 0:
            return
        if self._age_s or any(row.counted for row in self._pockets.values()):
            self._age_s += elapsed_s
        # The weight of a plain mean while there is little to average over.
        weight = max(
            1 - math.exp(-elapsed_s / DEMAND_S),
            min(1.0, elapsed_s / max(self._age_s, elapsed_s)),
        )
        for pocket in self._pockets.values():
            rate = pocket.counted / elapsed_s
            pocket.demand += weight * (rate - pocket.demand)
            pocket.demand = max(0.0, pocket.demand)
            pocket.counted = 0

    def learn(self, ledger: Ledger, revision: int) -> None:
        """
        Take over a record that was read.

        It tells which of the writes with an unknown outcome took effect.
        Those that were to replace an older record never will.
        """
        self._known = ledger
        applied = ledger.writes.get(self._holder, 0)
        for change in self._unknown:
            if change.number == applied:
                self._adopt(change)
        self._unknown = [
            change
            for change in self._unknown
            if change.number > applied and change.base >= revision
        ]

    def plan(self, ledger: Ledger, revision: int, wall: float) -> Change:
        """
        Change a record that was read, and return the change.

        The change counts as one with an unknown outcome until `confirm`
        or `learn` tells.

        :param wall: Unix time, seconds.
        """
        self._number += 1
        ledger.writes[self._holder] = self._number
        ledger.times[self._holder] = int(wall)
        ledger.addresses[self._holder] = self._address
        ledger.retire(self._holder)
        live = ledger.live(wall)
        settled: dict[str, int] = {}
        granted: dict[str, int] = {}
        for account, prepaid in self._prepaid.items():
            pocket = self._pockets.setdefault(account, _Pocket())
            entry = ledger.entry(account)
            settled[account] = pocket.used
            self._settle_entry(entry, pocket)
            granted[account] = self._grant(pocket, entry, prepaid, live)
            _put(entry.grants, self._holder, granted[account])
            pocket.lacked = 0
        change = Change(self._number, revision, settled, granted)
        self._unknown.append(change)
        return change

    def confirm(self, change: Change, ledger: Ledger) -> None:
        """Take over a change that was stored."""
        self._known = ledger
        self._adopt(change)
        self._unknown.clear()
        for pocket in self._pockets.values():
            pocket.frozen = False

    def withdraw(self, change: Change) -> None:
        """Forget a change that was not stored and never will be."""
        self._unknown.remove(change)

    def leave(self) -> None:
        """Hold no more than what is reserved, before the process ends."""
        self._leaving = True

    def _adopt(self, change: Change) -> None:
        """Count with the grants after a change."""
        for account, granted in change.granted.items():
            pocket = self._pockets[account]
            pocket.granted = granted
            pocket.used -= change.settled[account]

    def _settle_entry(self, entry: AccountEntry, pocket: _Pocket) -> None:
        """Move used tokens from the grant to the spent ones."""
        entry.spent += pocket.used
        _put(entry.grants, self._holder, pocket.granted - pocket.used)
        demand = 0 if self._leaving else math.ceil(pocket.demand)
        _put(entry.demands, self._holder, demand)

    def _grant(
        self,
        pocket: _Pocket,
        entry: AccountEntry,
        prepaid: int,
        live: list[str],
    ) -> int:
        """Return the grant to hold after a write."""
        kept = entry.grants.get(self._holder, 0)
        free = entry.free(prepaid)
        if self._leaving:
            return pocket.reserved
        if free < 0:
            return max(pocket.reserved, kept + free)
        held = sum(entry.grants.get(holder, 0) for holder in live)
        weight = _weight(entry, self._holder, live)
        target = int(_held_together(entry, free + held, live) * weight)
        target += pocket.reserved
        wanted = max(target, pocket.reserved + pocket.lacked)
        if kept < wanted:
            return kept + min(wanted - kept, free)
        scarce = free < SCARCE_SHARE * (free + held)
        factor = SCARCE_FACTOR if scarce else KEEP_FACTOR
        return wanted if kept > factor * wanted else kept


def _held_together(entry: AccountEntry, left: int, live: list[str]) -> float:
    """Return the tokens that the live VMs hold beside their reservations."""
    demand = sum(entry.demands.get(holder, 0) for holder in live)
    least, most = LEAST_HELD_SHARE * left, HELD_SHARE * left
    return min(max(HORIZON_S * demand, least), most)


def _weight(entry: AccountEntry, holder: str, live: list[str]) -> float:
    """Return a holder's part of what the live ones hold together."""
    equal = 1 / max(1, len(live))
    total = sum(entry.demands.get(name, 0) for name in live)
    if not total:
        return equal
    by_demand = entry.demands.get(holder, 0) / total
    return BY_DEMAND * by_demand + (1 - BY_DEMAND) * equal


def _put(counts: dict[str, int], holder: str, count: int) -> None:
    """Set a holder's number; 0 is left out."""
    if count:
        counts[holder] = count
    else:
        counts.pop(holder, None)
