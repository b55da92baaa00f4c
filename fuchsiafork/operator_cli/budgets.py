"""Commands on budgets."""

import cyclopts

from fuchsiafork.configuration import parse_document
from fuchsiafork.kernel.errors import StoreUnavailableError
from fuchsiafork.operator_cli.ledger import LedgerClient
from fuchsiafork.operator_cli.lookup import section_of
from fuchsiafork.operator_cli.options import (
    AsJson,
    ChangeOptions,
    StoreOptions,
)
from fuchsiafork.operator_cli.output import Exit, show_rows

app = cyclopts.App(name='budget', help='Show, top up and release budgets.')


@app.command
def show(
    name: str = '',
    *,
    store: StoreOptions,
    json_form: AsJson = False,
) -> int:
    """
    Show every budget, or who holds the money of one.

    :param name: name of a budget section.
    """
    budgets = parse_document(store.document().read().text).budgets
    ledger = LedgerClient(store.connect())
    if name:
        section_of(budgets, 'budget', name)
        rows = ledger.holders(name)
    else:
        rows = ledger.rows(list(budgets))
    show_rows(rows, as_json=json_form)
    return Exit.OK


@app.command
def top_up(
    name: str,
    tokens: int,
    *,
    store: StoreOptions,
    by: ChangeOptions | None = None,
    json_form: AsJson = False,
) -> int:
    """
    Credit a budget with prepaid tokens.

    :param name: name of the budget section.
    :param tokens: tokens to add.
    """
    given = by or ChangeOptions()
    ledger = _ledger_of(store, name)
    try:
        ledger.top_up(name, tokens, given.change_id)
    except StoreUnavailableError as error:
        raise _repeatable(error, given) from None
    show_rows(ledger.rows([name]), as_json=json_form)
    return Exit.OK


@app.command
def release(
    name: str,
    holder: str,
    *,
    store: StoreOptions,
    by: ChangeOptions | None = None,
    json_form: AsJson = False,
) -> int:
    """
    Free what is withheld for a holder that is closed out.

    :param name: name of the budget section.
    :param holder: holder as `budget show NAME` lists it.
    """
    given = by or ChangeOptions()
    ledger = _ledger_of(store, name)
    try:
        ledger.release(name, holder, given.change_id)
    except StoreUnavailableError as error:
        raise _repeatable(error, given) from None
    show_rows(ledger.rows([name]), as_json=json_form)
    return Exit.OK


def _ledger_of(store: StoreOptions, name: str) -> LedgerClient:
    """Return the ledger, if the document has the budget."""
    document = parse_document(store.document().read().text)
    section_of(document.budgets, 'budget', name)
    return LedgerClient(store.connect())


def _repeatable(
    error: StoreUnavailableError,
    by: ChangeOptions,
) -> StoreUnavailableError:
    """Return the error with the id under which to repeat the command."""
    return StoreUnavailableError(
        f'{error}; repeat with --change-id {by.change_id}',
    )
