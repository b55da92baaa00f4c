"""How many tokens a VM should hold of an account."""

import dataclasses

from fuchsiafork.prepaid.ledger import AccountEntry

# Seconds of the fleet's demand that the live VMs hold together, so that they
# go on serving while the store is away, and bounds on it as shares of the
# tokens that are left.
HORIZON_S = 14.0
LEAST_HELD_SHARE = 0.35
HELD_SHARE = 0.65
# What they may spend before their next write is withheld when they die: some
# seconds of demand at once, and then this many times the demand. A demand of
# less than a share of the tokens left counts as that.
WINDOW_S = 1.0
RATE_FACTOR = 1.5
LEAST_DEMAND_SHARE = 0.015
# Part of a VM's share that goes by its demand; the rest is equal for all.
BY_DEMAND = 0.6
# A grant is lowered when it is this many times larger than its target, or
# than SCARCE_FACTOR times, when little is free for others.
KEEP_FACTOR = 1.25
SCARCE_FACTOR = 1.1
SCARCE_SHARE = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """
    What a process needs of an account.

    :ivar reserved: most that its open requests may cost, tokens.
    :ivar lacked: largest reservation that was refused.
    """

    reserved: int
    lacked: int


class Sizing:
    """Sizes one holder's share of an account."""

    def __init__(
        self,
        entry: AccountEntry,
        prepaid: int,
        holder: str,
        live: list[str],
    ) -> None:
        """Size by an entry in which the holder has settled what it used."""
        shares = [entry.share(name) for name in live]
        self._kept = entry.share(holder).grant
        self._free = entry.free(prepaid)
        self._left = self._free + sum(share.grant for share in shares)
        self._demand = sum(share.demand for share in shares)
        equal = 1 / max(1, len(live))
        self._weight = equal
        if self._demand:
            own = entry.share(holder).demand / self._demand
            self._weight = BY_DEMAND * own + (1 - BY_DEMAND) * equal

    def grant(self, need: Need) -> int:
        """Return the grant to hold."""
        if self._free < 0:
            return max(need.reserved, self._kept + self._free)
        together = max(HORIZON_S * self._demand, LEAST_HELD_SHARE * self._left)
        together = min(together, HELD_SHARE * self._left)
        wanted = need.reserved + max(need.lacked, int(together * self._weight))
        if self._kept < wanted:
            return self._kept + min(wanted - self._kept, self._free)
        scarce = self._free < SCARCE_SHARE * self._left
        factor = SCARCE_FACTOR if scarce else KEEP_FACTOR
        return wanted if self._kept > factor * wanted else self._kept

    def window(self, need: Need) -> int:
        """Return the tokens that may be spent at once."""
        return need.reserved + max(need.lacked, int(WINDOW_S * self._expected))

    def rate(self) -> int:
        """Return the tokens a second that may be spent besides."""
        return int(RATE_FACTOR * self._expected)

    @property
    def _expected(self) -> float:
        """Demand that the holder is prepared for, tokens a second."""
        least = LEAST_DEMAND_SHARE * self._left
        return max(self._demand, least) * self._weight
