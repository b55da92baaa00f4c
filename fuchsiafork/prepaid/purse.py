"""The tokens that one process may spend, without I/O."""

import dataclasses
import math

from fuchsiafork.kernel import Clock
from fuchsiafork.prepaid.changes import (
    Change,
    Outlook,
    Reservation,
    Settled,
)
from fuchsiafork.prepaid.fleet_time import FleetTime
from fuchsiafork.prepaid.ledger import (
    AccountEntry,
    Holder,
    Ledger,
    Moment,
    Retired,
    Share,
)
from fuchsiafork.prepaid.sizing import Need, Sizing

# Seconds in which a new process waits for the fleet's time, before it says
# without it what its predecessor can't have spent.
TIME_WAIT_S = 1.5
# Time constant of the demand's average, seconds.
DEMAND_S = 8.0
# Another VM that asks for tokens gets this part of the rest besides, so that
# it need not ask for each request.
SPARE_DIVISOR = 4


@dataclasses.dataclass(slots=True)
class _Pocket:
    """
    One account's tokens in this process.

    :ivar share: share in the last record known to be stored.
    :ivar used: settled tokens that are not in that record.
    :ivar reserved: most that the open requests may cost.
    :ivar demand: average of tokens spent a second.
    :ivar counted: tokens spent since the average was last taken.
    :ivar lacked: largest reservation that was refused since the last write.
    :ivar frozen: whether nothing is spent until the next write, since the
        budget was lowered.
    """

    share: Share = dataclasses.field(default_factory=Share)
    used: int = 0
    reserved: int = 0
    demand: float = 0.0
    counted: float = 0.0
    lacked: int = 0
    frozen: bool = False


class Purse:
    """Reserves, settles and plans the writes that renew the grants."""

    def __init__(
        self,
        holder: str,
        address: str,
        clock: Clock,
        time: FleetTime,
    ) -> None:
        """
        Start without tokens, as a holder that never wrote.

        :param address: IP:PORT at which other VMs ask for tokens.
        """
        self._time = time
        self._holder = holder
        self._address = address
        self._clock = clock
        self._started = (clock.wall(), clock.now())
        self._pockets: dict[str, _Pocket] = {}
        self._unknown: list[Change] = []
        self._number = 0
        self._sent_at = clock.now()
        self._leaving = False
        self._age_s = 0.0
        self._known: Ledger | None = None
        self._prepaid: dict[str, int] = {}

    @property
    def accounts(self) -> tuple[str, ...]:
        """Accounts that have a budget."""
        return tuple(self._prepaid)

    @property
    def fleet(self) -> int:
        """Number of VMs that have written lately, at least one."""
        if self._known is None:
            return 1
        return max(1, len(self._known.live(self._clock.wall())))

    @property
    def others(self) -> list[str]:
        """Addresses of the other VMs in the last record."""
        if self._known is None:
            return []
        return [
            holder.address
            for holder in self._known.holders.values()
            if holder.address != self._address
        ]

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

    def set_prepaid(self, prepaid: dict[str, int]) -> bool:
        """Take over the prepaid tokens by account; tell if any differ."""
        changed = prepaid != self._prepaid
        for account, tokens in prepaid.items():
            if tokens < self._prepaid.get(account, 0):
                pocket = self._pockets.setdefault(account, _Pocket())
                pocket.frozen = True
        self._prepaid = prepaid
        return changed

    def available(self, account: str) -> int:
        """
        Return the tokens that may be reserved now.

        While the outcome of a write is unknown, the least of what may be
        spent with and without it counts.
        """
        pocket = self._pockets.get(account)
        if pocket is None or pocket.frozen:
            return 0
        least = self._limit(pocket.share)
        for change in self._unknown:
            settled = change.accounts.get(account)
            after = settled.used + self._limit(settled.share) if settled else 0
            least = min(least, after)
        return least - pocket.used - pocket.reserved

    def _limit(self, share: Share) -> int:
        """Return the tokens of a share that may be spent by now."""
        return share.limit(self._clock.now() - self._sent_at)

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

    def richest(self, account: str) -> list[str]:
        """Return addresses of VMs that may have tokens, the richest first."""
        if self._known is None:
            return []
        entry = self._known.entry(account)
        holders = [
            holder
            for holder in self._known.live(self._clock.wall())
            if holder != self._holder and entry.share(holder).grant
        ]
        holders.sort(key=lambda name: entry.share(name).grant, reverse=True)
        return [self._known.holders[holder].address for holder in holders]

    def outlook(self, account: str) -> Outlook:
        """Return where the tokens of an account are."""
        pocket = self._pockets.get(account) or _Pocket()
        prepaid = self._prepaid.get(account, 0)
        if self._known is None:
            return Outlook(prepaid, 0, 0, 0, 0, 0)
        entry = self._known.entry(account)
        live = set(self._known.live(self._clock.wall()))
        grants = {name: share.grant for name, share in entry.shares.items()}
        others = live - {self._holder}
        return Outlook(
            prepaid=prepaid,
            spent=entry.spent,
            free=max(0, entry.free(prepaid)),
            held=pocket.share.grant - pocket.used - pocket.reserved,
            held_by_others=sum(grants.get(name, 0) for name in others),
            withheld=sum(grants.values())
            - sum(grants.get(name, 0) for name in live),
        )

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
        own = ledger.holders.get(self._holder)
        applied = own.write if own else 0
        for change in self._unknown:
            if change.number == applied:
                self._adopt(change)
        self._unknown = [
            change
            for change in self._unknown
            if change.number > applied and change.base >= revision
        ]

    def plan(self, ledger: Ledger, revision: int) -> Change:
        """
        Change a record that was read, and return the change.

        The change counts as one with an unknown outcome until `confirm`
        or `learn` tells.
        """
        self._number += 1
        written = self._moment()
        # The same moment: a freeze in between would let this process spend
        # more than a successor knows of.
        self._sent_at = written.boot
        retired = self._retire(ledger)
        ledger.holders[self._holder] = Holder(
            self._number,
            written,
            self._address,
        )
        live = ledger.live(written.wall)
        accounts = {
            account: self._plan_account(ledger.entry(account), account, live)
            for account in self._prepaid
        }
        change = Change(self._number, revision, accounts, retired)
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

    def _moment(self) -> Moment:
        """Return the time by both clocks."""
        boot = self._clock.now()
        return Moment(self._clock.wall(), boot, self._time.at(boot))

    def _retire(self, ledger: Ledger) -> list[Retired]:
        """Free what the earlier processes of this VM can't have spent."""
        wall, boot = self._started
        started = Moment(wall, boot, self._time.at(boot))
        young = self._clock.now() - boot < TIME_WAIT_S
        return ledger.retire(
            self._holder,
            started,
            may_wait=young and not self._time.known,
        )

    def _adopt(self, change: Change) -> None:
        """Count with the grants after a change."""
        for account, settled in change.accounts.items():
            pocket = self._pockets[account]
            pocket.share = settled.share
            pocket.used -= settled.used

    def _plan_account(
        self,
        entry: AccountEntry,
        account: str,
        live: list[str],
    ) -> Settled:
        """Settle and size one account in a record."""
        pocket = self._pockets.setdefault(account, _Pocket())
        entry.spent += pocket.used
        demand = 0 if self._leaving else math.ceil(pocket.demand)
        share = Share(pocket.share.grant - pocket.used, demand=demand)
        entry.shares[self._holder] = share
        need = Need(pocket.reserved, pocket.lacked)
        pocket.lacked = 0
        if self._leaving:
            share.grant = share.window = need.reserved
        else:
            sizing = Sizing(entry, self._prepaid[account], self._holder, live)
            share.grant = sizing.grant(need)
            share.window = sizing.window(need)
            share.rate = sizing.rate()
        return Settled(pocket.used, dataclasses.replace(share))
