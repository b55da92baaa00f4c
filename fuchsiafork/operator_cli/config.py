"""Commands on the configuration document."""

import datetime as dt
import json
from pathlib import Path
from typing import Annotated

import cyclopts

from fuchsiafork.configuration import Change, parse_document, sections
from fuchsiafork.configuration.head import Head
from fuchsiafork.configuration.store import Edit
from fuchsiafork.kernel.errors import (
    ConfigurationError,
    StoreUnavailableError,
)
from fuchsiafork.operator_cli.base_digests import read_base, write_base
from fuchsiafork.operator_cli.fleet import wait_in_force
from fuchsiafork.operator_cli.options import (
    Admin,
    AsJson,
    ChangeOptions,
    StoreOptions,
)
from fuchsiafork.operator_cli.output import Exit, Row, show_rows

app = cyclopts.App(name='config', help='Check, change and show the document.')

Owner = Annotated[
    str,
    cyclopts.Parameter(help='Team whose sections the file holds.'),
]


def read_file(file: Path) -> str:
    """
    Return the text of a document.

    :raises ConfigurationError: if it cannot be read.
    """
    try:
        return file.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError(f'{file}: {error}') from None


def read_sections(file: Path) -> sections.Sections:
    """Return the sections of a team's file."""
    return sections.split_sections(read_file(file), str(file))


@app.command
def check(file: Path) -> int:
    """Validate a whole document without changing anything."""
    parse_document(read_file(file), str(file))
    return Exit.OK


@app.command
def diff(file: Path, *, owner: Owner, store: StoreOptions) -> int:
    """Show what an apply of a team's file would change, if valid."""
    present = store.document().read().sections
    owned = sections.owned_by(present, owner)
    wanted = read_sections(file)
    after = sections.replace_owned(
        present,
        owner,
        wanted,
        sections.digests(owned),
        str(file),
    )
    parse_document(sections.join_sections(after), str(file))
    print(sections.difference(owned, wanted))
    return Exit.OK


@app.command
def apply(
    file: Path,
    *,
    owner: Owner,
    store: StoreOptions,
    by: ChangeOptions | None = None,
    admin: Admin = (),
    wait: float = 0,
    json_form: AsJson = False,
) -> int:
    """
    Replace a team's sections by those of its file.

    :param wait: seconds to wait until all processes have it in force.
    """
    given = by or ChangeOptions()
    wanted = read_sections(file)
    base = read_base(file)
    done = apply_change(
        store,
        given.change(owner),
        lambda present: sections.replace_owned(
            present,
            owner,
            wanted,
            base,
            str(file),
        ),
    )
    write_base(file, wanted)
    return report_change(done, admin, wait, as_json=json_form)


@app.command
def show(
    *,
    store: StoreOptions,
    owner: str = '',
    output: Path | None = None,
) -> int:
    """
    Show the stored document, or one team's sections.

    :param owner: team whose sections are shown; all without it.
    :param output: file to write, with the digests for the next apply.
    """
    found = store.document().read().sections
    if owner:
        found = sections.owned_by(found, owner)
    text = sections.join_sections(found)
    if output is None:
        print(text, end='')
        return Exit.OK
    output.write_text(text, encoding='utf-8')
    write_base(output, found)
    return Exit.OK


@app.command
def history(*, store: StoreOptions, json_form: AsJson = False) -> int:
    """Show the last changes, newest first."""
    head = store.document().read().head
    show_rows(history_rows(head), as_json=json_form)
    return Exit.OK


def history_rows(head: Head) -> list[dict[str, object]]:
    """Return a row for each change."""
    return [
        {
            'revision': change.revision,
            'time': _time(change.wall_s),
            'owner': change.owner,
            'author': change.author,
            'change_id': change.change_id,
        }
        for change in reversed(head.changes)
    ]


def apply_change(store: StoreOptions, change: Change, edit: Edit) -> Change:
    """
    Return the applied change.

    :raises StoreUnavailableError: with the id under which it can be repeated.
    """
    try:
        return store.document().apply(change, edit)
    except StoreUnavailableError as error:
        raise StoreUnavailableError(
            f'{error}; repeat with --change-id {change.change_id}',
        ) from None


def report_change(
    done: Change,
    admin: Admin,
    wait: float,
    *,
    as_json: bool,
) -> int:
    """Return the exit code after saying where a change is in force."""
    in_force = True
    rows: list[Row] = []
    if wait:
        in_force, rows = wait_in_force(admin, done.revision, wait)
    answer = {
        'revision': done.revision,
        'change_id': done.change_id,
        'nodes': rows,
    }
    if as_json:
        print(json.dumps(answer))
    else:
        print(f'revision {done.revision}, change id {done.change_id}')
        show_rows(rows, as_json=False)
    return Exit.OK if in_force else Exit.NOT_IN_FORCE


def _time(wall_s: float) -> str:
    """Return a Unix time for people."""
    taken = dt.datetime.fromtimestamp(wall_s, dt.UTC)
    return taken.isoformat(timespec='seconds')
