"""Which client accounts ask for more than their share of the pool."""

import heapq
import math
import operator

from fuchsiafork.balancing import AccountUse
from fuchsiafork.kernel import Clock

# Time between two looks at the use of all accounts.
INTERVAL_S = 0.5
# Time after the start in which no account counts as over its share, since its
# usual use is not known yet.
LEARNING_S = 8.0
# Time constant of the usual use of an account.
USUAL_TIME_CONSTANT_S = 300.0
# Multiple of its usual use that an account may ask for. A burst of all callers
# of 2.5 times stays within it.
OVER_FACTOR = 3.0
# Time constant of this VM's share of the demand; over a few seconds it depends
# on single large requests.
SHARE_TIME_CONSTANT_S = 15.0
# Limits of an account's weight, which is its usual use as a multiple of the
# mean of all accounts.
MIN_WEIGHT = 0.25
MAX_WEIGHT = 4.0
# Accounts whose usual use is known, those with most use.
MAX_ACCOUNTS = 2048
# Usual use below which an account is forgotten, units a second.
MIN_RATE = 1.0


class AccountShares:
    """
    Compares the use of accounts in the fleet with their usual use.

    An account's share is ``OVER_FACTOR`` times its usual use, at least the
    present mean of all accounts. Usual use grows slowly while an account is
    over its share, so that it stays so for some minutes.

    :ivar own_share: share of this VM in the demand of the fleet, averaged.
    """

    def __init__(self, use: AccountUse, clock: Clock) -> None:
        """
        Start without accounts.

        :param use: use of accounts in the fleet, as far as it is known.
        """
        self.own_share = 1.0
        self._use = use
        self._clock = clock
        self._started_at: float | None = None
        self._updated_at = -math.inf
        self._usual: dict[str, float] = {}
        self._mean = 0.0
        self._over: frozenset[str] = frozenset()

    def __len__(self) -> int:
        """Return the number of accounts known."""
        return len(self._usual)

    def update(self) -> None:
        """Learn from the present use of all accounts, if it is time."""
        now = self._clock.now()
        elapsed_s = now - self._updated_at
        if elapsed_s < INTERVAL_S:
            return
        if self._started_at is None:
            self._started_at = now
        rates = self._use.rates()
        known_s = now - self._started_at
        if known_s > LEARNING_S:
            self._find_over(rates)
        self._learn(rates, elapsed_s, known_s)
        weight = _weight(elapsed_s, known_s, SHARE_TIME_CONSTANT_S)
        self.own_share += weight * (self._use.share - self.own_share)
        self._updated_at = now

    def is_over(self, account: str) -> bool:
        """Return whether an account asks for more than its share."""
        return account in self._over

    def weight(self, account: str) -> float:
        """Return the weight of an account against the others."""
        usual = self._usual.get(account)
        if usual is None or not self._mean:
            return 1.0
        return min(MAX_WEIGHT, max(MIN_WEIGHT, usual / self._mean))

    def _find_over(self, rates: dict[str, float]) -> None:
        """Find the accounts that ask for more than their share."""
        fair = self._use.fleet_demand / max(1, len(rates))
        self._over = frozenset(
            account
            for account, rate in rates.items()
            if rate > max(fair, OVER_FACTOR * self._usual.get(account, 0.0))
        )

    def _learn(
        self, rates: dict[str, float], elapsed_s: float, known_s: float
    ) -> None:
        """
        Move the usual use of all accounts towards the present one.

        :param known_s: time for which it was learned so far.
        """
        slow = _weight(elapsed_s, math.inf, USUAL_TIME_CONSTANT_S)
        weight = _weight(elapsed_s, known_s, USUAL_TIME_CONSTANT_S)
        learned: dict[str, float] = {}
        for account in self._usual.keys() | rates.keys():
            usual = self._usual.get(account, 0.0)
            change = rates.get(account, 0.0) - usual
            if account in self._over:
                limit = max(OVER_FACTOR * usual, self._mean)
                learned[account] = usual + slow * min(change, limit - usual)
            else:
                learned[account] = usual + weight * change
        self._keep(learned)

    def _keep(self, usual: dict[str, float]) -> None:
        """Keep the usual use of the accounts with most of it."""
        largest = heapq.nlargest(
            MAX_ACCOUNTS, usual.items(), key=operator.itemgetter(1)
        )
        self._usual = {
            account: rate for account, rate in largest if rate >= MIN_RATE
        }
        count = max(1, len(self._usual))
        self._mean = sum(self._usual.values()) / count


def _weight(elapsed_s: float, known_s: float, constant_s: float) -> float:
    """
    Return the weight of the newest value in an average.

    The average is a plain mean until its time constant has passed.

    :param known_s: time over which values were averaged so far.
    """
    mean = min(1.0, elapsed_s / known_s) if known_s else 1.0
    return max(mean, 1 - math.exp(-elapsed_s / constant_s))


__all__ = ('AccountShares',)
