"""Commands on budgets."""

import cyclopts

from fuchsiafork.configuration import parse_document
from fuchsiafork.operator_cli.options import AsJson, StoreOptions
from fuchsiafork.operator_cli.output import Exit, show_rows

app = cyclopts.App(name='budget', help='Show budgets.')


@app.command
def show(*, store: StoreOptions, json_form: AsJson = False) -> int:
    """Show every budget of the document with its client accounts."""
    document = parse_document(store.document().read().text)
    rows = [
        {
            'budget': name,
            'owner': budget.owner,
            'opening_tokens': budget.opening_tokens,
            'accounts': [
                account
                for account, section in document.accounts.items()
                if section.budget == name
            ],
        }
        for name, budget in document.budgets.items()
    ]
    show_rows(rows, as_json=json_form)
    return Exit.OK
