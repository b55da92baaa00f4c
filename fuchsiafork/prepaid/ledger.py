"""
The ledger record: spent tokens and grants of each client account.

One record in the platform's store holds all accounts. For each account,
``spent`` plus the sum of the grants never exceeds the prepaid tokens at the
time of a grant. Other holders never revoke the grant of a live holder, so
neither a pause nor a delayed write of a holder can cause overspending.

Only a holder, or a later process of its VM, changes the holder's part of the
record, and counts each change. Two copies of the record are merged by the
newest part of each holder: a store that came back from a copy gets back what
any VM has read since.
"""

import dataclasses
import math

from fuchsiafork.prepaid.fleet_time import MAX_CLOCK_DIFFERENCE_S

# A holder that hasn't written for this long is ignored when grants are sized,
# but keeps its grant.
LIVENESS_TIMEOUT_S = 20.0
# Until RAMP_START_S after its last write, a holder spends only the burst and
# rate of its share. From then to RAMP_END_S the remaining grant becomes
# spendable linearly: the store is probably unavailable, and using the tokens
# now is worth more than saving them for a successor process.
RAMP_START_S = 2.5
RAMP_END_S = 6.0
# Largest error of the difference between two readings of the fleet time.
_FLEET_TIME_ERROR_S = 2 * MAX_CLOCK_DIFFERENCE_S
# Wall and monotonic clock are both trusted if the durations that they show
# differ by at most this.
_CLOCK_AGREEMENT_S = 0.5
# Largest error of the wall clock alone.
_WALL_CLOCK_ERROR_S = 2.5
# A difference above this means that the monotonic clock has restarted.
_CLOCK_RESTART_S = 60.0


@dataclasses.dataclass(slots=True)
class Share:
    """
    A holder's share of one account.

    :ivar grant: tokens that the holder may still spend.
    :ivar burst: part of the grant that is spendable right after its write.
    :ivar rate: additional tokens per second that become spendable.
    :ivar demand: recent average spending, tokens per second.
    :ivar settled: tokens that the holder has spent, less those that it
        received from other VMs.
    """

    grant: int = 0
    burst: int = 0
    rate: int = 0
    demand: int = 0
    settled: int = 0

    def spendable(self, elapsed_s: float) -> int:
        """Return the tokens that may be spent within a time after a write."""
        allowed = self.burst + math.ceil(self.rate * elapsed_s)
        ramp = (elapsed_s - RAMP_START_S) / (RAMP_END_S - RAMP_START_S)
        remainder = max(0, self.grant - allowed)
        return min(self.grant, allowed + math.ceil(remainder * max(0.0, ramp)))


@dataclasses.dataclass(slots=True)
class AccountEntry:
    """
    One account of the ledger.

    :ivar base: settled tokens that are in no holder's share.
    :ivar shares: share of each holder, by holder name.
    """

    base: int = 0
    shares: dict[str, Share] = dataclasses.field(default_factory=dict)

    @property
    def spent(self) -> int:
        """Settled tokens of all holders."""
        return self.base + sum(share.settled for share in self.shares.values())

    def copy(self) -> 'AccountEntry':
        """Return an independent copy."""
        shares = {
            holder: dataclasses.replace(share)
            for holder, share in self.shares.items()
        }
        return AccountEntry(self.base, shares)

    def free(self, prepaid: int) -> int:
        """Return the tokens that are neither spent nor granted."""
        granted = sum(share.grant for share in self.shares.values())
        return prepaid - self.spent - granted

    def share(self, holder: str) -> Share:
        """Return a holder's share, empty if it has none."""
        return self.shares.get(holder) or Share()


@dataclasses.dataclass(frozen=True, slots=True)
class ClockReading:
    """
    Readings of one VM's clocks at one moment, seconds.

    :ivar wall: Unix time of the VM's wall clock, which may jump.
    :ivar since_boot: time since the VM's boot, including suspension.
    :ivar fleet_time: Unix time on which the VMs agree, None if unknown.
    """

    wall: float
    since_boot: float
    fleet_time: float | None = None


@dataclasses.dataclass(slots=True)
class Holder:
    """
    A process that may spend tokens.

    :ivar write_number: number of its last write; shows whether a write
        whose response was lost took effect.
    :ivar written_at: clock readings when it sent that write.
    :ivar address: IP:PORT at which other VMs request tokens from it.
    :ivar era: era of the store when it sent that write.
    """

    write_number: int
    written_at: ClockReading
    address: str
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RetiredHolder:
    """
    A removed earlier process of a VM, and the disposition of its tokens.

    :ivar elapsed_s: upper bound of the time from its last write to its end,
        None if it can't be determined.
    :ivar freed: tokens that it can't have spent, over all accounts.
    :ivar withheld: tokens that it may have spent, by account.
    """

    holder: str
    elapsed_s: float | None
    freed: int
    withheld: dict[str, int]


@dataclasses.dataclass(slots=True)
class Ledger:
    """
    The whole ledger record.

    :ivar retired: number of the last write of each removed holder.
    """

    accounts: dict[str, AccountEntry] = dataclasses.field(default_factory=dict)
    holders: dict[str, Holder] = dataclasses.field(default_factory=dict)
    retired: dict[str, int] = dataclasses.field(default_factory=dict)

    def copy(self) -> 'Ledger':
        """Return an independent copy."""
        return Ledger(
            {name: entry.copy() for name, entry in self.accounts.items()},
            {
                name: dataclasses.replace(holder)
                for name, holder in self.holders.items()
            },
            dict(self.retired),
        )

    def merge(self, known: 'Ledger') -> list[str]:
        """
        Adopt the parts of another copy that are newer.

        :return: holders whose parts were adopted.
        """
        newer = [
            name
            for name in (*known.holders, *known.retired)
            if known.part_version(name) > self.part_version(name)
        ]
        for name in newer:
            self._adopt_part(name, known)
        for account, entry in known.accounts.items():
            own = self.entry(account)
            own.base = max(own.base, entry.base)
        return newer

    def part_version(self, holder: str) -> tuple[int, bool]:
        """Return the version of a holder's part, higher for newer ones."""
        if holder in self.retired:
            return self.retired[holder], True
        known = self.holders.get(holder)
        return (known.write_number if known else 0), False

    def _adopt_part(self, holder: str, known: 'Ledger') -> None:
        """Replace a holder's part by the one of another copy."""
        self.holders.pop(holder, None)
        self.retired.pop(holder, None)
        if holder in known.retired:
            self.retired[holder] = known.retired[holder]
        else:
            self.holders[holder] = dataclasses.replace(known.holders[holder])
        for account in {*self.accounts, *known.accounts}:
            shares = self.entry(account).shares
            shares.pop(holder, None)
            share = known.accounts.get(account, AccountEntry()).shares.get(
                holder
            )
            if share is not None:
                shares[holder] = dataclasses.replace(share)

    def live_holders(self, wall: float) -> list[str]:
        """Return the holders with a recent write."""
        return [
            name
            for name, holder in self.holders.items()
            if abs(wall - holder.written_at.wall) <= LIVENESS_TIMEOUT_S
        ]

    def entry(self, account: str) -> AccountEntry:
        """Return the entry of an account, created if missing."""
        return self.accounts.setdefault(account, AccountEntry())

    def predecessors(self, holder: str) -> list[str]:
        """Return the other processes of a holder's VM."""
        vm = _vm_name(holder)
        return [
            name
            for name in self.holders
            if name != holder and _vm_name(name) == vm
        ]

    def retire_predecessors(
        self,
        successor: str,
        started_at: ClockReading,
        *,
        era: int = 0,
        defer_uncertain: bool = False,
    ) -> list[RetiredHolder]:
        """
        Remove the earlier processes of the successor's VM.

        Tokens that they can't have spent between their last write and the
        successor's start become free. The rest stays withheld, and all if the
        last write may be lost.

        :param era: era of the store; later writes of an earlier era may be
            lost.
        :param defer_uncertain: keep predecessors for which the wall and
            monotonic clocks disagree on the elapsed time.
        :return: the removed predecessors.
        """
        retired = []
        for name in self.predecessors(successor):
            written_at = self.holders[name].written_at
            if defer_uncertain and not _clocks_agree(written_at, started_at):
                continue
            holder = self.holders.pop(name)
            self.retired[name] = holder.write_number
            elapsed = _max_elapsed_s(written_at, started_at)
            if holder.era != era:
                elapsed = None
            retired.append(self._reclaim_grants(name, elapsed))
        return retired

    def _reclaim_grants(
        self, holder: str, elapsed_s: float | None
    ) -> RetiredHolder:
        """Reduce the grants of an ended holder to what it may have spent."""
        freed = 0
        withheld = {}
        for account, entry in self.accounts.items():
            share = entry.shares.get(holder)
            if share is None or not share.grant:
                continue
            granted = share.grant
            if elapsed_s is not None:
                share.grant = share.spendable(elapsed_s)
            share.burst = share.rate = share.demand = 0
            freed += granted - share.grant
            withheld[account] = share.grant
        return RetiredHolder(holder, elapsed_s, freed, withheld)


def _max_elapsed_s(
    written_at: ClockReading, started_at: ClockReading
) -> float | None:
    """
    Return an upper bound of the time from a write to its process's end.

    The wall clock may jump, and the monotonic clock restarts after a power
    loss. If both agree, both are trusted. Otherwise the fleet time is used if
    it is known at both moments. Without it, if the error of one clock explains
    the difference, that error is added.

    :return: seconds, None if no bound can be determined.
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
    """Return whether wall and monotonic clock show the same duration."""
    wall_elapsed = started_at.wall - written_at.wall
    boot_elapsed = started_at.since_boot - written_at.since_boot
    return abs(boot_elapsed - wall_elapsed) <= _CLOCK_AGREEMENT_S


def _vm_name(holder: str) -> str:
    """Return the name of the VM that a holder runs on."""
    return holder.partition('#')[0]
