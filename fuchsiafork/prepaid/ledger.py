"""
The ledger record: what each client account has spent, and who may spend more.

One record in the platform's store holds all accounts. For each account,
``spent`` plus the sum of the grants never exceeds the prepaid tokens at the
time of a grant. A grant is never taken from a live holder by others, so
neither a pause nor a late write of a holder can lead to overspending.
"""

import dataclasses
import json
import math
from typing import Any

from fuchsiafork.kernel.errors import StoreFormatError
from fuchsiafork.prepaid.fleet_time import MAX_CLOCK_DIFFERENCE_S

_DECODE_ERRORS = (ValueError, TypeError, LookupError, AttributeError)

# A holder that hasn't written for this long counts as gone when grants are
# sized; it keeps its grant all the same.
LIVENESS_TIMEOUT_S = 20.0
# For so long after its write a holder spends only what its share's window and
# rate allow. Then the rest of the grant opens evenly, since the store is away
# and its tokens are needed more than they are worth to a successor.
RAMP_START_S = 2.5
RAMP_END_S = 6.0
# Seconds by which the fleet's time may be wrong at two moments together.
_FLEET_TIME_ERROR_S = 2 * MAX_CLOCK_DIFFERENCE_S
# Two clocks that agree within this are both taken as right.
_CLOCK_AGREEMENT_S = 0.5
# Seconds by which the calendar time alone may be wrong.
_WALL_CLOCK_ERROR_S = 2.5
# The clocks don't drift so far apart unless one of them began anew.
_CLOCK_RESTART_S = 60.0


@dataclasses.dataclass(slots=True)
class Share:
    """
    A holder's part of one account.

    :ivar grant: tokens that it may still spend.
    :ivar window: those of them that it may spend at once after its write.
    :ivar rate: tokens a second that it may spend besides soon after it.
    :ivar demand: tokens a second that it has spent lately.
    """

    grant: int = 0
    burst: int = 0
    rate: int = 0
    demand: int = 0

    def spendable(self, elapsed_s: float) -> int:
        """Return the tokens that may be spent by some time after the write."""
        allowed = self.burst + math.ceil(self.rate * elapsed_s)
        ramp = (elapsed_s - RAMP_START_S) / (RAMP_END_S - RAMP_START_S)
        remainder = max(0, self.grant - allowed)
        return min(self.grant, allowed + math.ceil(remainder * max(0.0, ramp)))


@dataclasses.dataclass(slots=True)
class AccountEntry:
    """
    One account's tokens.

    :ivar spent: settled tokens of all holders.
    :ivar shares: by holder.
    """

    spent: int = 0
    shares: dict[str, Share] = dataclasses.field(default_factory=dict)

    def free(self, prepaid: int) -> int:
        """Return the tokens that nobody has spent or may spend."""
        granted = sum(share.grant for share in self.shares.values())
        return prepaid - self.spent - granted

    def share(self, holder: str) -> Share:
        """Return a holder's share, empty if it has none."""
        return self.shares.get(holder) or Share()


@dataclasses.dataclass(frozen=True, slots=True)
class ClockReading:
    """
    A time by the clocks of one VM, seconds.

    :ivar wall: Unix time, which may jump.
    :ivar boot: time since the VM's start, suspension included.
    :ivar fleet: Unix time by most clocks of the fleet, None if not known.
    """

    wall: float
    since_boot: float
    fleet_time: float | None = None


@dataclasses.dataclass(slots=True)
class Holder:
    """
    One process that may spend.

    :ivar write: number of its last write, which tells whether a write whose
        answer was lost took effect.
    :ivar written: when it sent that write.
    :ivar address: where other VMs ask it for tokens, IP:PORT.
    """

    write_number: int
    written_at: ClockReading
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class RetiredHolder:
    """
    An earlier process of a VM, and what became of its tokens.

    :ivar elapsed_s: most seconds from its last write to its end, None if
        they can't be told.
    :ivar freed: tokens that it can't have spent, over all accounts.
    :ivar withheld: tokens that it may have spent, by account.
    """

    holder: str
    elapsed_s: float | None
    freed: int
    withheld: dict[str, int]


@dataclasses.dataclass(slots=True)
class Ledger:
    """The record as a whole."""

    accounts: dict[str, AccountEntry] = dataclasses.field(default_factory=dict)
    holders: dict[str, Holder] = dataclasses.field(default_factory=dict)

    def live_holders(self, wall: float) -> list[str]:
        """Return the holders that have written lately."""
        return [
            name
            for name, holder in self.holders.items()
            if abs(wall - holder.written_at.wall) <= LIVENESS_TIMEOUT_S
        ]

    def entry(self, account: str) -> AccountEntry:
        """Return the entry of an account, a new one if there is none."""
        return self.accounts.setdefault(account, AccountEntry())

    def retire_predecessors(
        self,
        successor: str,
        started_at: ClockReading,
        *,
        defer_uncertain: bool = False,
    ) -> list[RetiredHolder]:
        """
        Drop the earlier processes of a holder's VM.

        What they can't have spent since their last write is free again if
        the successor started soon enough. The rest stays withheld.

        :param may_wait: whether those stay for now whose end the clocks
            can't tell exactly.
        :return: those that were dropped.
        """
        retired = []
        vm = _vm_name(successor)
        for name in tuple(self.holders):
            if name == successor or _vm_name(name) != vm:
                continue
            written_at = self.holders[name].written_at
            if defer_uncertain and not _clocks_agree(written_at, started_at):
                continue
            self.holders.pop(name)
            elapsed = _max_elapsed_s(written_at, started_at)
            retired.append(self._reclaim_grants(name, elapsed))
        return retired

    def _reclaim_grants(
        self, holder: str, elapsed_s: float | None
    ) -> RetiredHolder:
        """Leave a holder that ended what it may have spent."""
        freed = 0
        withheld = {}
        for account, entry in self.accounts.items():
            share = entry.shares.get(holder)
            if share is None or not share.grant:
                continue
            granted = share.grant
            if elapsed_s is not None:
                share.grant = share.spendable(elapsed_s)
            freed += granted - share.grant
            withheld[account] = share.grant
        return RetiredHolder(holder, elapsed_s, freed, withheld)


def encode_ledger(ledger: Ledger) -> bytes:
    """
    Return a ledger in the form that is stored.

    Shares name their holders by number, since there is one for each holder
    and account.
    """
    names = _share_holders(ledger)
    numbers = {name: number for number, name in enumerate(names)}
    accounts = {
        name: [entry.spent, _encode_shares(entry.shares, numbers)]
        for name, entry in ledger.accounts.items()
    }
    holders = {
        name: [
            holder.write_number,
            round(holder.written_at.wall, 2),
            round(holder.written_at.since_boot, 2),
            holder.address,
            round(holder.written_at.fleet_time or 0, 2),
        ]
        for name, holder in ledger.holders.items()
    }
    stored = {'names': names, 'accounts': accounts, 'holders': holders}
    return json.dumps(stored, separators=(',', ':')).encode()


def decode_ledger(value: bytes) -> Ledger:
    """
    Return the ledger that was stored; an empty value is an empty ledger.

    :raises StoreFormatError: if the value is something else.
    """
    if not value:
        return Ledger()
    try:
        return _decode(json.loads(value))
    except _DECODE_ERRORS as error:
        raise StoreFormatError(f'ledger: {error!r}') from None


def _decode(stored: Any) -> Ledger:
    """Return the ledger in a decoded value."""
    names, holders = stored['names'], stored['holders']
    accounts = {
        name: AccountEntry(int(spent), _decode_shares(shares, names))
        for name, (spent, shares) in stored['accounts'].items()
    }
    decoded_holders = {
        name: Holder(
            int(write_number),
            ClockReading(
                float(wall), float(since_boot), float(fleet_time) or None
            ),
            str(address),
        )
        for name, (
            write_number,
            wall,
            since_boot,
            address,
            fleet_time,
        ) in holders.items()
    }
    return Ledger(accounts, decoded_holders)


def _share_holders(ledger: Ledger) -> list[str]:
    """Return the holders of all shares, each once."""
    names: dict[str, None] = {}
    for entry in ledger.accounts.values():
        names.update(dict.fromkeys(entry.shares))
    return list(names)


def _encode_shares(
    shares: dict[str, Share],
    numbers: dict[str, int],
) -> list[list[int]]:
    """Return shares in the form that is stored, empty ones left out."""
    return [
        [numbers[holder], share.grant, share.burst, share.rate, share.demand]
        for holder, share in shares.items()
        if share.grant or share.demand
    ]


def _decode_shares(stored: Any, names: list[str]) -> dict[str, Share]:
    """Return the shares in a decoded value."""
    return {
        names[number]: Share(*(int(count) for count in counts))
        for number, *counts in stored
    }


def _max_elapsed_s(
    written_at: ClockReading, started_at: ClockReading
) -> float | None:
    """
    Return the most seconds from a write to the end of its process.

    The calendar time may jump, and the time since the start of the VM
    begins anew after a loss of power. If they agree, both are right; if one
    of them can explain the difference, its error is added.

    :return: None if it can't be told.
    """
    wall_elapsed = started_at.wall - written_at.wall
    boot_elapsed = started_at.since_boot - written_at.since_boot
    difference = boot_elapsed - wall_elapsed
    if _clocks_agree(written_at, started_at):
        elapsed = max(wall_elapsed, boot_elapsed)
    elif (
        written_at.fleet_time is not None and started_at.fleet_time is not None
    ):
        elapsed = (
            started_at.fleet_time - written_at.fleet_time + _FLEET_TIME_ERROR_S
        )
    elif abs(difference) <= _CLOCK_AGREEMENT_S + _WALL_CLOCK_ERROR_S:
        elapsed = max(wall_elapsed, boot_elapsed) + _WALL_CLOCK_ERROR_S
    elif wall_elapsed >= 0 and (
        boot_elapsed < 0 or difference > _CLOCK_RESTART_S
    ):
        elapsed = wall_elapsed + _WALL_CLOCK_ERROR_S
    else:
        return None
    return elapsed if elapsed >= 0 else None


def _clocks_agree(written_at: ClockReading, started_at: ClockReading) -> bool:
    """Return whether two clocks tell the same time between two moments."""
    wall_elapsed = started_at.wall - written_at.wall
    boot_elapsed = started_at.since_boot - written_at.since_boot
    return abs(boot_elapsed - wall_elapsed) <= _CLOCK_AGREEMENT_S


def _vm_name(holder: str) -> str:
    """Return the VM that a holder runs on."""
    return holder.partition('#')[0]
