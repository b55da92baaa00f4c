"""Ledger records: prepaid, settled and granted tokens of a shard's budgets."""

import dataclasses
from typing import Any

import cbor2

from fuchsiafork.kernel import InvariantViolationError, stable_hash

DEFAULT_SHARDS = 16
MAX_CHANGE_IDS = 64
MAX_CLOSED_HOLDERS = 256
# Idempotency keys are bound for 10 minutes; no settlement is repeated later.
KEY_RETENTION_S = 600
# 24 bytes each, so the record stays far below the store's limit of 1 MB.
MAX_SETTLED_KEYS = 4096
_FORMAT_VERSION = 1


@dataclasses.dataclass(slots=True)
class BudgetRow:
    """
    One budget, in tokens.

    :ivar prepaid: sum of the opening credit and the top-ups.
    :ivar settled: tokens used and billed.
    :ivar duplicate: tokens used by second executions of an idempotency key,
        not billed.
    :ivar opened: whether the opening credit was added.
    :ivar grants: outstanding grant by holder. The entry of a closed-out
        holder is the amount withheld; it is negative if the holder spent a
        transfer that its giver has not written yet.
    :ivar rates: demand by holder in tokens per second, at its last write.
    :ivar changes: ids of the last top-ups and releases.
    """

    prepaid: int = 0
    settled: int = 0
    duplicate: int = 0
    opened: bool = False
    grants: dict[str, int] = dataclasses.field(default_factory=dict)
    rates: dict[str, int] = dataclasses.field(default_factory=dict)
    changes: list[str] = dataclasses.field(default_factory=list)

    @property
    def free(self) -> int:
        """Tokens that are not used or granted; a negative grant adds none."""
        granted = sum(grant for grant in self.grants.values() if grant > 0)
        return self.prepaid - self.settled - self.duplicate - granted


@dataclasses.dataclass(slots=True)
class HolderRow:
    """
    A holder that has written to this record.

    :ivar sequence: number of its last write that took effect.
    :ivar serves_local_routers: whether routers on its own VM may have
        reservations with it.
    :ivar wall: Unix time of its last write.
    :ivar closed: Unix time of its close-out, 0 before that.
    """

    sequence: int
    domain: str
    serves_local_routers: bool = False
    wall: int = 0
    closed: int = 0


@dataclasses.dataclass(slots=True)
class Transfer:
    """
    Tokens that one holder sent to another without a ledger write.

    :ivar writer: holder that wrote it first, empty before that.
    """

    budget: str
    giver: str
    receiver: str
    tokens: int
    writer: str = ''


@dataclasses.dataclass(slots=True)
class Record:
    """
    All budgets of one shard.

    :ivar closed: closed-out holders, whose writes fail.
    :ivar transfers: transfers that only one of the two holders has written.
    :ivar keys: by digest of a settled idempotency key, the digest of its
        request id and the Unix time.
    """

    budgets: dict[str, BudgetRow] = dataclasses.field(default_factory=dict)
    holders: dict[str, HolderRow] = dataclasses.field(default_factory=dict)
    closed: dict[str, HolderRow] = dataclasses.field(default_factory=dict)
    transfers: dict[str, Transfer] = dataclasses.field(default_factory=dict)
    keys: dict[bytes, tuple[bytes, int]] = dataclasses.field(
        default_factory=dict,
    )


def copy_record(record: Record) -> Record:
    """
    Return a copy that can be changed without affecting the original.

    Budget rows are copied; the other rows are shared, because they are
    replaced and never changed in place.
    """
    return Record(
        {
            name: _budget_row(*_field_values(row))
            for name, row in record.budgets.items()
        },
        {**record.holders},
        {**record.closed},
        {**record.transfers},
        {**record.keys},
    )


def _field_values(row: Any) -> list[Any]:
    """Return the field values of a row in order of definition."""
    return [getattr(row, field.name) for field in dataclasses.fields(row)]


def _budget_row(*values: Any) -> BudgetRow:
    """Return a budget row with its own copies of the containers."""
    row = BudgetRow(*values)
    row.grants = {**row.grants}
    row.rates = {**row.rates}
    row.changes = list(row.changes)
    return row


def ledger_key(budget: str, shards: int = DEFAULT_SHARDS) -> str:
    """Return the store key of a budget's record."""
    return f'ledger/{stable_hash(budget) % shards}'


def encode_record(record: Record) -> bytes:
    """Return the CBOR form of a record."""
    fields = [
        {name: _field_values(row) for name, row in table.items()}
        for table in (
            record.budgets,
            record.holders,
            record.transfers,
            record.closed,
        )
    ]
    return cbor2.dumps([_FORMAT_VERSION, *fields, record.keys])


def decode_record(encoded: bytes | None) -> Record:
    """Return the record of a store value, an empty record for ``None``."""
    if encoded is None:
        return Record()
    _, budgets, holders, transfers, closed, keys = cbor2.loads(encoded)
    return Record(
        budgets={name: _budget_row(*row) for name, row in budgets.items()},
        holders={name: HolderRow(*row) for name, row in holders.items()},
        closed={name: HolderRow(*row) for name, row in closed.items()},
        transfers={name: Transfer(*row) for name, row in transfers.items()},
        keys={key: (row[0], row[1]) for key, row in keys.items()},
    )


def check_record(record: Record) -> None:
    """
    Check that no budget of a record exceeds its prepaid tokens.

    :raises InvariantViolationError: if settled + duplicate + sum of grants
        exceeds prepaid, or settled + duplicate alone does, which negative
        grants could hide.
    """
    for name, row in record.budgets.items():
        spent = row.settled + row.duplicate
        committed = spent + max(0, sum(row.grants.values()))
        if committed > row.prepaid:
            raise InvariantViolationError(
                f'budget {name!r}: {committed!r} tokens settled and granted '
                f'exceed {row.prepaid!r} prepaid',
            )


def open_budget(record: Record, budget: str, tokens: int) -> Record:
    """Return the record with a budget's opening credit, added once."""
    changed = copy_record(record)
    row = changed.budgets.setdefault(budget, BudgetRow())
    if not row.opened:
        row.opened = True
        row.prepaid += tokens
    check_record(changed)
    return changed


def top_up(
    record: Record,
    budget: str,
    tokens: int,
    change_id: str,
) -> Record:
    """
    Return the record with a credit, added once for each change id.

    :raises ValueError: if tokens is not positive.
    """
    if tokens <= 0:
        raise ValueError(f'a top-up must be positive, not {tokens!r}')
    changed = copy_record(record)
    row = changed.budgets.setdefault(budget, BudgetRow())
    if change_id not in row.changes:
        row.prepaid += tokens
        _record_change_id(row, change_id)
    check_record(changed)
    return changed


def release(
    record: Record,
    budget: str,
    holder: str,
    change_id: str,
) -> Record:
    """
    Return the record without the tokens withheld for a closed-out holder.

    :raises ValueError: if the holder is not closed out.
    """
    if holder not in record.closed:
        raise ValueError(f'holder {holder!r} is not closed out')
    changed = copy_record(record)
    row = changed.budgets[budget]
    if change_id not in row.changes:
        row.grants.pop(holder, None)
        _record_change_id(row, change_id)
    check_record(changed)
    return changed


def _record_change_id(row: BudgetRow, change_id: str) -> None:
    """Record a change id; drop the oldest ids over the limit."""
    row.changes = [*row.changes, change_id][-MAX_CHANGE_IDS:]
