"""Reads and changes ledger records for operators."""

import importlib
from collections.abc import Callable
from typing import Any, Protocol, cast

from fuchsiafork.configuration.store import StoreExecutor
from fuchsiafork.kernel.errors import (
    ConfigurationConflictError,
    FuchsiaforkError,
    StoreUnavailableError,
)
from fuchsiafork.kernel.outbox import ReadKey, StoreFailed
from fuchsiafork.operator_cli.compare_and_swap import change_value
from fuchsiafork.operator_cli.output import Row

_LEDGER_MODULE = 'fuchsiafork.budgets.ledger'


class Ledger(Protocol):
    """The functions of the ledger module that are used here."""

    def ledger_key(self, budget: str) -> str:
        """Return the key of a budget's record."""

    def decode_record(self, encoded: bytes | None) -> Any:
        """Return the record decoded from a stored value."""

    def encode_record(self, record: Any) -> bytes:
        """Return the value to store for a record."""

    def top_up(
        self,
        record: Any,
        budget: str,
        tokens: int,
        change_id: str,
    ) -> Any:
        """Return the record with tokens credited to a budget."""

    def release(
        self,
        record: Any,
        budget: str,
        holder: str,
        change_id: str,
    ) -> Any:
        """Return the record without the entry of a closed-out holder."""


def load_ledger() -> Ledger:
    """
    Return the ledger module.

    :raises FuchsiaforkError: if it is not installed.
    """
    try:
        return cast('Ledger', importlib.import_module(_LEDGER_MODULE))
    except ModuleNotFoundError:
        raise FuchsiaforkError(f'{_LEDGER_MODULE} is not installed') from None


class LedgerClient:
    """Reads and changes ledger records."""

    def __init__(
        self, client: StoreExecutor, ledger: Ledger | None = None
    ) -> None:
        """Use the installed ledger module unless another is given."""
        self._client = client
        self._ledger = ledger or load_ledger()

    def top_up(self, budget: str, tokens: int, change_id: str) -> None:
        """
        Credit tokens to a budget, once for each change id.

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
        Release the tokens withheld for a closed-out holder, once.

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
        """Return a row for each holder of a budget's tokens."""
        record = self._read(self._ledger.ledger_key(budget))
        entry = record.budgets.get(budget)
        grants = entry.grants if entry else {}
        return [
            {
                'holder': holder,
                'tokens': tokens,
                'closed_out': holder in record.closed,
            }
            for holder, tokens in sorted(grants.items())
        ]

    def _read(self, key: str) -> Any:
        """Read and decode a record."""
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
        """Change the record of a budget, once for each change id."""

        def edit_encoded(encoded: bytes | None) -> bytes | None:
            record = self._ledger.decode_record(encoded)
            row = record.budgets.get(budget)
            if row is not None and change_id in row.changes:
                return None
            return self._ledger.encode_record(edit(record))

        try:
            change_value(
                self._client,
                self._ledger.ledger_key(budget),
                edit_encoded,
            )
        except (ValueError, KeyError) as error:
            raise ConfigurationConflictError(f'{budget}: {error}') from None


def _budget_row(name: str, record: Any) -> Row:
    """Return the row of a budget; its totals are None before its first use."""
    entry = record.budgets.get(name)
    grants = entry.grants if entry else {}
    withheld = sum(
        tokens for holder, tokens in grants.items() if holder in record.closed
    )
    return {
        'budget': name,
        'prepaid': entry.prepaid if entry else None,
        'settled': entry.settled if entry else None,
        'duplicate': entry.duplicate if entry else None,
        'granted': sum(grants.values()) - withheld,
        'withheld': withheld,
        'free': entry.free if entry else None,
    }
