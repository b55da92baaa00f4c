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
    Show all budgets, or the holders of one budget and their tokens.

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
    options = by or ChangeOptions()
    ledger = _ledger_client(store, name)
    try:
        ledger.top_up(name, tokens, options.change_id)
    except StoreUnavailableError as error:
        raise _with_change_id(error, options) from None
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
    Release the tokens withheld for a holder that is closed out.

    :param name: name of the budget section.
    :param holder: holder as `budget show NAME` lists it.
    """
    options = by or ChangeOptions()
    ledger = _ledger_client(store, name)
    try:
        ledger.release(name, holder, options.change_id)
    except StoreUnavailableError as error:
        raise _with_change_id(error, options) from None
    show_rows(ledger.rows([name]), as_json=json_form)
    return Exit.OK


def _ledger_client(store: StoreOptions, name: str) -> LedgerClient:
    """
    Return a client of the ledger.

    :raises NotFoundError: if the document does not have the budget.
    """
    document = parse_document(store.document().read().text)
    section_of(document.budgets, 'budget', name)
    return LedgerClient(store.connect())


def _with_change_id(
    error: StoreUnavailableError,
    by: ChangeOptions,
) -> StoreUnavailableError:
    """Return the error with the change id for a retry of the command."""
    return StoreUnavailableError(
        f'{error}; repeat with --change-id {by.change_id}',
    )
