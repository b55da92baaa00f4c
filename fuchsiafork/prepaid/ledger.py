"""
The ledger record: what each client account has spent, and who may spend more.

One record in the platform's store holds all accounts. For each account,
``spent`` plus the sum of ``grants`` never exceeds the prepaid tokens at the
time of a grant. A grant is never taken from its holder by others, so neither
a pause nor a late write of a holder can lead to overspending; what a holder
that dies had left stays withheld.
"""

import dataclasses
import json
from typing import Any

from fuchsiafork.kernel.errors import StoreFormatError

_MALFORMED = (ValueError, TypeError, KeyError, AttributeError)

# A holder that hasn't written for this long counts as gone when grants are
# sized; it keeps its grant all the same.
LIVE_S = 20.0


@dataclasses.dataclass(slots=True)
class AccountEntry:
    """
    One account's tokens.

    :ivar spent: settled tokens of all holders.
    :ivar grants: tokens that each holder may still spend.
    :ivar demands: tokens a second that each holder has spent lately.
    """

    spent: int = 0
    grants: dict[str, int] = dataclasses.field(default_factory=dict)
    demands: dict[str, int] = dataclasses.field(default_factory=dict)

    def free(self, prepaid: int) -> int:
        """Return the tokens that nobody has spent or may spend."""
        return prepaid - self.spent - sum(self.grants.values())


@dataclasses.dataclass(slots=True)
class Ledger:
    """
    The record as a whole.

    :ivar writes: number of each holder's last write, which tells whether a
        write whose answer was lost took effect.
    :ivar times: Unix seconds of each holder's last write. They only serve
        to size grants, so a wrong clock can't lead to overspending.
    :ivar addresses: where other VMs ask each holder for tokens, IP:PORT.
    """

    accounts: dict[str, AccountEntry] = dataclasses.field(default_factory=dict)
    writes: dict[str, int] = dataclasses.field(default_factory=dict)
    times: dict[str, int] = dataclasses.field(default_factory=dict)
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)

    def live(self, now: float) -> list[str]:
        """Return the holders that have written lately."""
        return [
            holder
            for holder, time in self.times.items()
            if abs(now - time) <= LIVE_S
        ]

    def retire(self, holder: str) -> None:
        """Count a VM's earlier processes as gone when grants are sized."""
        vm = _vm(holder)
        for name in tuple(self.times):
            if name != holder and _vm(name) == vm:
                self.times.pop(name)
                self.addresses.pop(name, None)

    def entry(self, account: str) -> AccountEntry:
        """Return the entry of an account, a new one if there is none."""
        return self.accounts.setdefault(account, AccountEntry())


def _vm(holder: str) -> str:
    """Return the VM that a holder runs on."""
    return holder.partition('#')[0]


def encode_ledger(ledger: Ledger) -> bytes:
    """Return a ledger in the form that is stored."""
    accounts = {
        name: [entry.spent, entry.grants, entry.demands]
        for name, entry in ledger.accounts.items()
    }
    stored = {
        'accounts': accounts,
        'writes': ledger.writes,
        'times': ledger.times,
        'addresses': ledger.addresses,
    }
    return json.dumps(stored, separators=(',', ':')).encode()


def decode_ledger(value: bytes) -> Ledger:
    """
    Return the ledger that was stored; an empty value is an empty ledger.

    :raises StoreFormatError: if the value is something else.
    """
    if not value:
        return Ledger()
    try:
        return _read(json.loads(value))
    except _MALFORMED as error:
        raise StoreFormatError(f'ledger: {error!r}') from None


def _read(stored: Any) -> Ledger:
    """Return the ledger in a decoded value."""
    accounts = {
        name: AccountEntry(
            int(spent),
            _read_counts(grants),
            _read_counts(demands),
        )
        for name, (spent, grants, demands) in stored['accounts'].items()
    }
    return Ledger(
        accounts,
        _read_counts(stored['writes']),
        _read_counts(stored['times']),
        {name: str(text) for name, text in stored['addresses'].items()},
    )


def _read_counts(stored: dict[str, Any]) -> dict[str, int]:
    """Return numbers by name."""
    return {name: int(count) for name, count in stored.items()}
