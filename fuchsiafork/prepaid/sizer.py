"""How many tokens a VM should hold of an account."""

import dataclasses

from fuchsiafork.prepaid.ledger import AccountEntry

# Seconds of the fleet's demand that the live VMs hold together, so that they
# go on serving while the store is away, and bounds on it as shares of the
# tokens that are left.
DEMAND_HORIZON_S = 14.0
MIN_HELD_FRACTION = 0.35
MAX_HELD_FRACTION = 0.65
# What they may spend before their next write is withheld when they die: some
# seconds of demand at once, and then this many times the demand. A demand of
# less than a share of the tokens left counts as that.
BURST_S = 1.0
RATE_FACTOR = 1.5
MIN_DEMAND_FRACTION = 0.015
# Part of a VM's share that goes by its demand; the rest is equal for all.
DEMAND_WEIGHT = 0.6
# A grant is lowered when it is this many times larger than its target, or
# than SCARCE_FACTOR times, when little is free for others.
MAX_EXCESS_FACTOR = 1.25
MAX_EXCESS_FACTOR_WHEN_SCARCE = 1.1
SCARCE_FRACTION = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class TokenNeed:
    """
    What a process needs of an account.

    :ivar reserved: most that its open requests may cost, tokens.
    :ivar lacked: largest reservation that was refused.
    """

    reserved: int
    shortage: int


class GrantSizer:
    """Sizes one holder's share of an account."""

    def __init__(
        self,
        entry: AccountEntry,
        prepaid: int,
        holder: str,
        live_holders: list[str],
    ) -> None:
        """Size by an entry in which the holder has settled what it used."""
        shares = [entry.share(name) for name in live_holders]
        self._own_grant = entry.share(holder).grant
        self._free = entry.free(prepaid)
        self._unspent = self._free + sum(share.grant for share in shares)
        self._total_demand = sum(share.demand for share in shares)
        equal = 1 / max(1, len(live_holders))
        self._weight = equal
        if self._total_demand:
            own = entry.share(holder).demand / self._total_demand
            self._weight = DEMAND_WEIGHT * own + (1 - DEMAND_WEIGHT) * equal

    def grant(self, need: TokenNeed) -> int:
        """Return the grant to hold."""
        if self._free < 0:
            return max(need.reserved, self._own_grant + self._free)
        held_by_all = max(
            DEMAND_HORIZON_S * self._total_demand,
            MIN_HELD_FRACTION * self._unspent,
        )
        held_by_all = min(held_by_all, MAX_HELD_FRACTION * self._unspent)
        wanted = need.reserved + max(
            need.shortage, int(held_by_all * self._weight)
        )
        if self._own_grant < wanted:
            return self._own_grant + min(wanted - self._own_grant, self._free)
        scarce = self._free < SCARCE_FRACTION * self._unspent
        factor = MAX_EXCESS_FACTOR_WHEN_SCARCE if scarce else MAX_EXCESS_FACTOR
        return wanted if self._own_grant > factor * wanted else self._own_grant

    def burst(self, need: TokenNeed) -> int:
        """Return the tokens that may be spent at once."""
        return need.reserved + max(
            need.shortage, int(BURST_S * self._planned_demand)
        )

    def rate(self) -> int:
        """Return the tokens a second that may be spent besides."""
        return int(RATE_FACTOR * self._planned_demand)

    @property
    def _planned_demand(self) -> float:
        """Demand that the holder is prepared for, tokens a second."""
        least = MIN_DEMAND_FRACTION * self._unspent
        return max(self._total_demand, least) * self._weight
