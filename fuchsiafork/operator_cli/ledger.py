"""The operators' changes of ledger records."""

import importlib
from collections.abc import Callable
from typing import Any, Protocol, cast

from fuchsiafork.configuration.store import Executes
from fuchsiafork.kernel.errors import (
    ConfigurationConflictError,
    FuchsiaforkError,
    StoreUnavailableError,
)
from fuchsiafork.kernel.outbox import ReadKey, StoreFailed
from fuchsiafork.operator_cli.compare_and_swap import change_value
from fuchsiafork.operator_cli.output import Row

_MODULE = 'fuchsiafork.budgets.ledger'


class Ledger(Protocol):
    """The functions over a ledger record that are used here."""

    def ledger_key(self, budget: str) -> str:
        """Return the key of a budget's record."""

    def decode_record(self, encoded: bytes | None) -> Any:
        """Return the record of a stored value."""

    def encode_record(self, record: Any) -> bytes:
        """Return the stored form of a record."""

    def top_up(
        self,
        record: Any,
        budget: str,
        tokens: int,
        change_id: str,
    ) -> Any:
        """Return the record with a credit."""

    def release(
        self,
        record: Any,
        budget: str,
        holder: str,
        change_id: str,
    ) -> Any:
        """Return the record without a closed holder's entry."""


def load_ledger() -> Ledger:
    """
    Return the ledger's functions.

    :raises FuchsiaforkError: if this installation has none.
    """
    try:
        return cast('Ledger', importlib.import_module(_MODULE))
    except ModuleNotFoundError:
        raise FuchsiaforkError(f'{_MODULE} is not installed') from None


class LedgerClient:
    """Reads and changes ledger records."""

    def __init__(self, client: Executes, ledger: Ledger | None = None) -> None:
        """Use the installed ledger's functions, unless others are given."""
        self._client = client
        self._ledger = ledger or load_ledger()

    def top_up(self, budget: str, tokens: int, change_id: str) -> None:
        """
        Credit a budget, once for each change id.

        :raises ConfigurationConflictError: if the ledger refuses it.
        """
        self._change(
            budget,
            change_id,
            lambda record: self._ledger.top_up(
                record,
                budget,
                tokens,
                change_id,
            ),
        )

    def release(self, budget: str, holder: str, change_id: str) -> None:
        """
        Free what is withheld for a closed-out holder, once.

        :raises ConfigurationConflictError: if the ledger refuses it.
        """
        self._change(
            budget,
            change_id,
            lambda record: self._ledger.release(
                record,
                budget,
                holder,
                change_id,
            ),
        )

    def rows(self, budgets: list[str]) -> list[Row]:
        """Return a row for each budget."""
        records: dict[str, Any] = {}
        rows: list[Row] = []
        for name in budgets:
            key = self._ledger.ledger_key(name)
            if key not in records:
                records[key] = self._read(key)
            record = records[key]
            rows.append(_budget_row(name, record))
        return rows

    def holders(self, budget: str) -> list[Row]:
        """Return a row for each holder of a budget's money."""
        record = self._read(self._ledger.ledger_key(budget))
        found = record.budgets.get(budget)
        grants = found.grants if found else {}
        return [
            {
                'holder': holder,
                'tokens': tokens,
                'closed_out': holder in record.closed,
            }
            for holder, tokens in sorted(grants.items())
        ]

    def _read(self, key: str) -> Any:
        """Return a record."""
        answer = self._client.execute(ReadKey(key, 'operator'))
        if isinstance(answer, StoreFailed):
            raise StoreUnavailableError(f'no answer for {key!r}')
        return self._ledger.decode_record(answer.value)

    def _change(
        self,
        budget: str,
        change_id: str,
        edit: Callable[[Any], Any],
    ) -> None:
        """Change the record of a budget, once."""

        def swap(raw: bytes | None) -> bytes | None:
            record = self._ledger.decode_record(raw)
            row = record.budgets.get(budget)
            if row is not None and change_id in row.changes:
                return None
            return self._ledger.encode_record(edit(record))

        try:
            change_value(self._client, self._ledger.ledger_key(budget), swap)
        except (ValueError, KeyError) as error:
            raise ConfigurationConflictError(f'{budget}: {error}') from None


def _budget_row(name: str, record: Any) -> Row:
    """Return what a record says of a budget; nothing before its first use."""
    row = record.budgets.get(name)
    grants = row.grants if row else {}
    withheld = sum(
        tokens for holder, tokens in grants.items() if holder in record.closed
    )
    return {
        'budget': name,
        'prepaid': row.prepaid if row else None,
        'settled': row.settled if row else None,
        'duplicate': row.duplicate if row else None,
        'granted': sum(grants.values()) - withheld,
        'withheld': withheld,
        'free': row.free if row else None,
    }
