"""Test helpers: an in-memory ledger record and allocators that write it."""

from fuchsiafork.prepaid import (
    FleetTime,
    Ledger,
    TokenAllocator,
    decode_ledger,
    encode_ledger,
)
from standins.virtual import VirtualClock

PREPAID = 100_000


class Record:
    """Stored ledger record and its revision."""

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


def sync_once(allocator: TokenAllocator, record: Record) -> bool:
    """Read and write the record; return whether the write was stored."""
    ledger, revision = record.read()
    allocator.apply_record(ledger, revision)
    change = allocator.plan_write(ledger, revision)
    if record.swap(revision, ledger):
        allocator.confirm_write(change, ledger)
        return True
    allocator.discard_write(change)
    return False


def make_allocator(holder: str, clock: VirtualClock) -> TokenAllocator:
    """Return an allocator with one account."""
    allocator = TokenAllocator(holder, f'{holder}:1', clock, FleetTime(clock))
    allocator.set_prepaid({'acme': PREPAID})
    return allocator
