"""The ledger record as it is stored."""

import json
from typing import Any

from fuchsiafork.kernel.decoding import DECODE_ERRORS
from fuchsiafork.kernel.errors import StoreFormatError
from fuchsiafork.prepaid.ledger import (
    AccountEntry,
    ClockReading,
    Holder,
    Ledger,
    Share,
)


def encode_ledger(ledger: Ledger) -> bytes:
    """
    Serialize a ledger for the store.

    Shares refer to holders by index to keep the record small, since there is
    one share per holder and account.
    """
    names = _share_holders(ledger)
    indexes = {name: index for index, name in enumerate(names)}
    accounts = {
        name: [entry.base, _encode_shares(entry.shares, indexes)]
        for name, entry in ledger.accounts.items()
    }
    holders = {
        name: [
            holder.write_number,
            round(holder.written_at.wall, 2),
            round(holder.written_at.since_boot, 2),
            holder.address,
            round(holder.written_at.fleet_time or 0, 2),
            holder.era,
        ]
        for name, holder in ledger.holders.items()
    }
    stored = {
        'names': names,
        'accounts': accounts,
        'holders': holders,
        'retired': ledger.retired,
    }
    return json.dumps(stored, separators=(',', ':')).encode()


def decode_ledger(value: bytes) -> Ledger:
    """
    Parse a stored ledger; an empty value is an empty ledger.

    :raises StoreFormatError: if the value is malformed.
    """
    if not value:
        return Ledger()
    try:
        return _decode_record(json.loads(value))
    except DECODE_ERRORS as error:
        raise StoreFormatError(f'ledger: {error!r}') from None


def _decode_record(stored: Any) -> Ledger:
    """Build the ledger from its JSON value."""
    names, holders = stored['names'], stored['holders']
    accounts = {
        name: AccountEntry(int(base), _decode_shares(shares, names))
        for name, (base, shares) in stored['accounts'].items()
    }
    retired = {
        str(name): int(number)
        for name, number in stored.get('retired', {}).items()
    }
    decoded_holders = {
        name: _decode_holder(*fields) for name, fields in holders.items()
    }
    return Ledger(accounts, decoded_holders, retired)


def _decode_holder(
    write_number: Any,
    wall: Any,
    since_boot: Any,
    address: Any,
    fleet_time: Any,
    era: Any = 0,
) -> Holder:
    """Build a holder from its JSON row."""
    return Holder(
        int(write_number),
        ClockReading(float(wall), float(since_boot), float(fleet_time) or None),
        str(address),
        int(era),
    )


def _share_holders(ledger: Ledger) -> list[str]:
    """Return the distinct holders of all shares."""
    names: dict[str, None] = {}
    for entry in ledger.accounts.values():
        names.update(dict.fromkeys(entry.shares))
    return list(names)


def _encode_shares(
    shares: dict[str, Share],
    indexes: dict[str, int],
) -> list[list[int]]:
    """Return shares as JSON rows, without empty ones."""
    return [
        [
            indexes[holder],
            share.grant,
            share.burst,
            share.rate,
            share.demand,
            share.settled,
        ]
        for holder, share in shares.items()
        if share.grant or share.demand or share.settled
    ]


def _decode_shares(stored: Any, names: list[str]) -> dict[str, Share]:
    """Build shares from their JSON rows."""
    return {
        names[index]: Share(*(int(count) for count in counts))
        for index, *counts in stored
    }


__all__ = ('decode_ledger', 'encode_ledger')
