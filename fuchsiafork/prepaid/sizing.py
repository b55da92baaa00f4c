"""How many tokens a VM should hold of an account."""

import dataclasses

from fuchsiafork.prepaid.ledger import AccountEntry

# Seconds of the fleet's demand that the live VMs hold together, so that they
# go on serving while the store is away, and bounds on it as shares of the
# tokens that are left.
HORIZON_S = 14.0
LEAST_HELD_SHARE = 0.35
HELD_SHARE = 0.65
# Seconds of demand, and least share of the tokens left, that they may spend
# before their next write. This is withheld when they die.
WINDOW_S = 9.0
LEAST_WINDOW_SHARE = 0.12
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

    def window(self, grant: int, need: Need) -> int:
        """Return the part of a grant that may be spent soon."""
        together = max(
            WINDOW_S * self._demand,
            LEAST_WINDOW_SHARE * self._left,
        )
        wanted = max(need.lacked, int(together * self._weight))
        return min(grant, need.reserved + wanted)
