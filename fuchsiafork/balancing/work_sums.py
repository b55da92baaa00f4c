"""Sums of the work that several VMs report."""

import collections
import dataclasses
import heapq
import operator
from collections.abc import Iterable, Mapping

from fuchsiafork.balancing.load_codec import (
    MAX_LOADS_CHARS,
    Amounts,
    decode_loads,
    encode_record,
)
from fuchsiafork.balancing.load_messages import Work

_IDLE: Amounts = (0, 0, 0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class WorkPart:
    """
    A part of the sums: what one VM or one failure domain has reported.

    :ivar loads: outstanding work by the key of the target.
    """

    loads: Mapping[str, Amounts] = dataclasses.field(default_factory=dict)
    rates: Mapping[str, int] = dataclasses.field(default_factory=dict)
    demand: int = 0


NO_PART = WorkPart()


def decode_part(work: Work, former: WorkPart) -> WorkPart:
    """
    Return what a message says.

    :param former: what the last one of its origin said.
    :raises ValueError: if its loads are malformed.
    """
    rates = former.rates if work.rates is None else work.rates
    return WorkPart(decode_loads(work.loads), rates, work.demand)


class WorkSums:
    """
    Sums of parts, which are added and removed one by one.

    Records of targets are kept encoded, since each report changes few of the
    targets that the next answers name.
    """

    def __init__(self) -> None:
        """Start without parts."""
        self._loads: dict[str, list[int]] = {}
        self._records: dict[str, str] = {}
        self._changed: set[str] = set()
        self._rates: collections.Counter[str] = collections.Counter()
        self._demand = 0

    def replace(self, old: WorkPart, new: WorkPart) -> None:
        """Remove a part and add another one."""
        for key in old.loads.keys() - new.loads.keys():
            self._change(key, old.loads[key], _IDLE)
        for key, amounts in new.loads.items():
            former = old.loads.get(key, _IDLE)
            if former != amounts:
                self._change(key, former, amounts)
        self._demand += new.demand - old.demand
        if new.rates is not old.rates:
            self._replace_rates(old.rates, new.rates)

    def heaviest(self, count: int) -> list[str]:
        """Return the accounts with most use."""
        if len(self._rates) <= count:
            return list(self._rates)
        largest = heapq.nlargest(
            count, self._rates.items(), key=operator.itemgetter(1)
        )
        return [account for account, _ in largest]

    def encode(self, accounts: Iterable[str] | None, without: WorkPart) -> Work:
        """
        Return the sums without a part.

        :param accounts: those to name, None to leave out the use of accounts.
        """
        self._refresh_records()
        records = {
            **self._records,
            **{
                key: encode_record(key, self._rest(key, amounts))
                for key, amounts in without.loads.items()
            },
        }
        return Work(
            ''.join(records.values())[:MAX_LOADS_CHARS],
            None if accounts is None else self._rates_of(accounts, without),
            self._demand - without.demand,
        )

    def _rates_of(
        self, accounts: Iterable[str], without: WorkPart
    ) -> dict[str, int]:
        """Return the use of accounts without that of a part."""
        rates = {
            account: self._rates[account] - without.rates.get(account, 0)
            for account in accounts
        }
        return {account: rate for account, rate in rates.items() if rate > 0}

    def _change(self, key: str, old: Amounts, new: Amounts) -> None:
        """Replace amounts in the sums of a target."""
        self._changed.add(key)
        total = self._loads.get(key)
        if total is None:
            self._loads[key] = list(new)
            return
        total[0] += new[0] - old[0]
        total[1] += new[1] - old[1]
        total[2] += new[2] - old[2]
        total[3] += new[3] - old[3]

    def _replace_rates(
        self, old: Mapping[str, int], new: Mapping[str, int]
    ) -> None:
        """Replace the use of accounts."""
        self._rates.subtract(old)
        self._rates.update(new)
        for account in old:
            if not self._rates[account]:
                self._rates.pop(account)

    def _rest(self, key: str, amounts: Amounts) -> Amounts:
        """Return the sums of a target without some amounts."""
        total = self._loads.get(key, amounts)
        return (
            total[0] - amounts[0],
            total[1] - amounts[1],
            total[2] - amounts[2],
            total[3] - amounts[3],
        )

    def _refresh_records(self) -> None:
        """Encode the targets whose sums have changed."""
        for key in self._changed:
            requests, prompt, output, service_ms = self._loads[key]
            amounts = (requests, prompt, output, service_ms)
            if any(amounts):
                self._records[key] = encode_record(key, amounts)
            else:
                self._loads.pop(key)
                self._records.pop(key, None)
        self._changed.clear()


__all__ = ('NO_PART', 'WorkPart', 'WorkSums', 'decode_part')
