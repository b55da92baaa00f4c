"""How much work client accounts ask for, on this VM and in the fleet."""

import heapq
import math
import operator
from collections.abc import Mapping

from fuchsiafork.kernel import Clock

# Time constant of the averages.
TIME_CONSTANT_S = 4.0
# Accounts whose use VMs report to each other, those with most use first.
MAX_REPORTED_ACCOUNTS = 32
# Use below which an account is forgotten, units a second.
MIN_RATE = 1.0
# Name under which the accounts that are not named count together.
OTHERS = '(others)'


class AccountUse:
    """Work that accounts ask for, in units a second; see ``WorkCost.units``."""

    def __init__(self, clock: Clock) -> None:
        """Start without use."""
        self._clock = clock
        self._updated_at = clock.now()
        self._rates: dict[str, float] = {}
        self._others: Mapping[str, float] = {}
        self._others_demand = 0.0

    @property
    def demand(self) -> float:
        """Work that all requests of this VM ask for, units a second."""
        self._decay()
        return sum(self._rates.values())

    @property
    def fleet_demand(self) -> float:
        """Work that all requests of the fleet ask for, units a second."""
        return self.demand + self._others_demand

    @property
    def share(self) -> float:
        """Share of this VM in the demand of the fleet."""
        total = self.fleet_demand
        return self.demand / total if total else 1.0

    def record(self, account: str, units: float) -> None:
        """Record the work that a request asks for, also if it is refused."""
        self._decay()
        rate = self._rates.get(account, 0.0)
        self._rates[account] = rate + units / TIME_CONSTANT_S

    def own_rates(self) -> dict[str, float]:
        """Return the use on this VM of the accounts with most use."""
        self._decay()
        largest = heapq.nlargest(
            MAX_REPORTED_ACCOUNTS,
            self._rates.items(),
            key=operator.itemgetter(1),
        )
        return dict(largest)

    def rate(self, account: str) -> float:
        """Return the use of an account in the fleet, as far as it is known."""
        self._decay()
        own = self._rates.get(account, 0.0)
        return own + self._others.get(account, 0.0)

    def rates(self) -> dict[str, float]:
        """Return the use in the fleet of all accounts that are known."""
        self._decay()
        rates = dict(self._others)
        for account, rate in self._rates.items():
            rates[account] = rates.get(account, 0.0) + rate
        return rates

    def largest_shares(self, count: int) -> dict[str, float]:
        """
        Return the shares of the fleet's demand of the accounts with most use.

        :param count: accounts that are named; ``OTHERS`` has the others' share.
        """
        demand = self.fleet_demand
        if not demand:
            return {}
        largest = heapq.nlargest(
            count, self.rates().items(), key=operator.itemgetter(1)
        )
        shares = {account: rate / demand for account, rate in largest}
        named = sum(shares.values())
        shares[OTHERS] = shares.get(OTHERS, 0.0) + max(0.0, 1 - named)
        return shares

    def apply_fleet(self, rates: Mapping[str, float], demand: float) -> None:
        """
        Replace what is known of the other VMs.

        :param rates: use by account, without that on this VM.
        :param demand: use of all accounts, also of those not named.
        """
        self._others = rates
        self._others_demand = demand

    def _decay(self) -> None:
        """Let past use fade."""
        now = self._clock.now()
        factor = math.exp((self._updated_at - now) / TIME_CONSTANT_S)
        self._updated_at = now
        self._rates = {
            account: rate * factor
            for account, rate in self._rates.items()
            if rate * factor >= MIN_RATE
        }


__all__ = (
    'MAX_REPORTED_ACCOUNTS',
    'OTHERS',
    'TIME_CONSTANT_S',
    'AccountUse',
)
