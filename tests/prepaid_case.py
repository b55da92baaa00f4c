"""A stored record, and purses that write it."""

from fuchsiafork.prepaid import (
    FleetTime,
    Ledger,
    Purse,
    decode_ledger,
    encode_ledger,
)
from standins.virtual import VirtualClock

PREPAID = 100_000


class Record:
    """The stored record and its revision."""

    def __init__(self) -> None:
        self.value = b''
        self.revision = 1

    def read(self) -> tuple[Ledger, int]:
        return decode_ledger(self.value), self.revision

    def swap(self, revision: int, ledger: Ledger) -> bool:
        if revision != self.revision:
            return False
        self.value = encode_ledger(ledger)
        self.revision += 1
        return True


def sync_once(purse: Purse, record: Record) -> bool:
    """Return whether a read and a write without trouble were stored."""
    ledger, revision = record.read()
    purse.learn(ledger, revision)
    change = purse.plan(ledger, revision)
    if record.swap(revision, ledger):
        purse.confirm(change, ledger)
        return True
    purse.withdraw(change)
    return False


def make_purse(holder: str, clock: VirtualClock) -> Purse:
    """Return a purse that knows one budget."""
    purse = Purse(holder, f'{holder}:1', clock, FleetTime(clock))
    purse.set_prepaid({'acme': PREPAID})
    return purse
