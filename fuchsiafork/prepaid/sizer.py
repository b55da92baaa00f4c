"""Sizes the grant that a VM holds of an account."""

import dataclasses

from fuchsiafork.prepaid.ledger import AccountEntry

# Seconds of the fleet's demand that the live VMs hold in total, so that they
# keep serving while the store is unavailable. The total is bounded by a
# minimum and a maximum fraction of the unspent tokens, which are the free
# tokens plus the grants of the live VMs.
DEMAND_HORIZON_S = 14.0
MIN_HELD_FRACTION = 0.35
MAX_HELD_FRACTION = 0.65
# Tokens that a holder may spend before its next write are withheld if it is
# killed, so they are limited: a burst of some seconds of demand, then a rate
# of RATE_FACTOR times the demand. The demand is assumed to be at least
# MIN_DEMAND_FRACTION of the unspent tokens per second.
BURST_S = 1.0
RATE_FACTOR = 1.5
MIN_DEMAND_FRACTION = 0.015
# Fraction of a VM's share that is proportional to its demand; the remainder is
# divided equally.
DEMAND_WEIGHT = 0.6
# A grant is lowered when it exceeds the wanted size by this factor, or by the
# smaller factor while the free tokens are below SCARCE_FRACTION of the unspent
# ones.
MAX_EXCESS_FACTOR = 1.25
MAX_EXCESS_FACTOR_WHEN_SCARCE = 1.1
SCARCE_FRACTION = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class TokenNeed:
    """
    Tokens that a process needs of an account.

    :ivar reserved: upper bound of the cost of its open requests.
    :ivar shortage: tokens of the requests that wait for some.
    """

    reserved: int
    shortage: int

    @property
    def total(self) -> int:
        """Tokens for all of them."""
        return self.reserved + self.shortage


class GrantSizer:
    """Computes one holder's share of an account."""

    def __init__(
        self,
        entry: AccountEntry,
        prepaid: int,
        holder: str,
        live_holders: list[str],
    ) -> None:
        """
        Compute the total demand and the holder's weight.

        :param entry: account in which the holder has settled its used tokens.
        """
        shares = [entry.share(name) for name in live_holders]
        self._own_grant = entry.share(holder).grant
        self._own_demand = entry.share(holder).demand
        self._free = entry.free(prepaid)
        self._unspent = self._free + sum(share.grant for share in shares)
        self._total_demand = sum(share.demand for share in shares)
        equal_fraction = 1 / max(1, len(live_holders))
        self._weight = equal_fraction
        if self._total_demand:
            demand_fraction = self._own_demand / self._total_demand
            self._weight = (
                DEMAND_WEIGHT * demand_fraction
                + (1 - DEMAND_WEIGHT) * equal_fraction
            )

    def grant(self, need: TokenNeed) -> int:
        """Return the size of the grant, tokens."""
        # The budget was lowered: the grant is reduced by the missing tokens.
        if self._free < 0:
            return max(need.reserved, self._own_grant + self._free)
        total_held = max(
            DEMAND_HORIZON_S * self._total_demand,
            MIN_HELD_FRACTION * self._unspent,
        )
        total_held = min(total_held, MAX_HELD_FRACTION * self._unspent)
        wanted = need.total + int(total_held * self._weight)
        if self._own_grant < wanted:
            return self._own_grant + min(wanted - self._own_grant, self._free)
        scarce = self._free < SCARCE_FRACTION * self._unspent
        factor = MAX_EXCESS_FACTOR_WHEN_SCARCE if scarce else MAX_EXCESS_FACTOR
        return wanted if self._own_grant > factor * wanted else self._own_grant

    def burst(self, need: TokenNeed) -> int:
        """Return the tokens that are spendable right after the write."""
        return need.total + int(BURST_S * self._planned_demand)

    def rate(self) -> int:
        """Return the additional spendable tokens per second."""
        return int(RATE_FACTOR * self._planned_demand)

    @property
    def _planned_demand(self) -> float:
        """Demand that the share is sized for, tokens per second."""
        min_demand = MIN_DEMAND_FRACTION * self._unspent
        return max(
            self._own_demand,
            max(self._total_demand, min_demand) * self._weight,
        )
