"""Bytes of a ledger record for each budget, holder and settled key."""

import json

from fuchsiafork import budgets
from fuchsiafork.budgets.ledger import HolderRow
from fuchsiafork.budgets.ledger_writes import digest

_WALL = 1_800_000_000
_TOKENS = 1_000_000
_COUNT = 100


def record_bytes(names: int, holders: int, keys: int) -> int:
    """Return the size of a record with so many rows of each kind."""
    record = budgets.Record()
    holder_ids = [
        f'delta-a-{number:03}/keeper#1a2b3c4d' for number in range(holders)
    ]
    for holder in holder_ids:
        record.holders[holder] = HolderRow(_TOKENS, 'delta-a', wall=_WALL)
    for number in range(names):
        row = budgets.BudgetRow(_TOKENS * holders, opened=True)
        row.grants = dict.fromkeys(holder_ids, _TOKENS)
        row.rates = dict.fromkeys(holder_ids, 1000)
        record.budgets[f'account-{number:06}'] = row
    for number in range(keys):
        name = digest(f'{number}')
        record.keys[name] = (name, _WALL)
    return len(budgets.encode_record(record))


def main() -> None:
    """Print the bytes that each row adds."""
    empty = record_bytes(0, 0, 0)
    idle = record_bytes(_COUNT, 0, 0) - empty
    one = record_bytes(_COUNT, 1, 0)
    two = record_bytes(_COUNT, 2, 0)
    in_record = record_bytes(0, 2, 0) - record_bytes(0, 1, 0)
    result = {
        'bytes_per_budget': idle / _COUNT,
        'bytes_per_holder_of_a_budget': (two - one - in_record) / _COUNT,
        'bytes_per_holder_of_a_record': in_record,
        'bytes_per_settled_key': (record_bytes(0, 0, _COUNT) - empty) / _COUNT,
    }
    print(json.dumps(result))


if __name__ == '__main__':
    main()
