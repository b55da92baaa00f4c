"""Commands for the configuration document."""

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
from fuchsiafork.operator_cli.base_digests import (
    read_base_digests,
    write_base_digests,
)
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
    cyclopts.Parameter(help='Team that owns the sections in the file.'),
]


def read_file(file: Path) -> str:
    """
    Read the text of a document from a file.

    :raises ConfigurationError: if the file cannot be read.
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
    """Validate a team's file and show what its apply would change."""
    stored = store.document().read().sections
    owned = sections.owned_by(stored, owner)
    new_sections = read_sections(file)
    changed_sections = sections.replace_owned(
        stored,
        owner,
        new_sections,
        sections.digests(owned),
        str(file),
    )
    parse_document(sections.join_sections(changed_sections), str(file))
    print(sections.difference(owned, new_sections))
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
    Replace a team's sections with those in its file.

    :param wait: seconds to wait until the change is in force in all processes.
    """
    options = by or ChangeOptions()
    new_sections = read_sections(file)
    base_digests = read_base_digests(file)
    applied = apply_change(
        store,
        options.change(owner),
        lambda stored: sections.replace_owned(
            stored,
            owner,
            new_sections,
            base_digests,
            str(file),
        ),
    )
    write_base_digests(file, new_sections)
    return report_change(applied, admin, wait, as_json=json_form)


@app.command
def show(
    *,
    store: StoreOptions,
    owner: str = '',
    output: Path | None = None,
) -> int:
    """
    Show the stored document, or one team's sections.

    :param owner: team whose sections are shown; all teams if absent.
    :param output: file to write; the digests for the next apply are written
        beside it.
    """
    selected = store.document().read().sections
    if owner:
        selected = sections.owned_by(selected, owner)
    text = sections.join_sections(selected)
    if output is None:
        print(text, end='')
        return Exit.OK
    output.write_text(text, encoding='utf-8')
    write_base_digests(output, selected)
    return Exit.OK


@app.command
def history(*, store: StoreOptions, json_form: AsJson = False) -> int:
    """Show the last changes, newest first."""
    head = store.document().read().head
    show_rows(history_rows(head), as_json=json_form)
    return Exit.OK


def history_rows(head: Head) -> list[dict[str, object]]:
    """Return a row for each change, newest first."""
    return [
        {
            'revision': change.revision,
            'time': _format_time(change.wall_s),
            'owner': change.owner,
            'author': change.author,
            'change_id': change.change_id,
        }
        for change in reversed(head.changes)
    ]


def apply_change(store: StoreOptions, change: Change, edit: Edit) -> Change:
    """
    Apply a change to the stored document and return it.

    :raises StoreUnavailableError: with the change id for a retry.
    """
    try:
        return store.document().apply(change, edit)
    except StoreUnavailableError as error:
        raise StoreUnavailableError(
            f'{error}; repeat with --change-id {change.change_id}',
        ) from None


def report_change(
    applied: Change,
    admin: Admin,
    wait: float,
    *,
    as_json: bool,
) -> int:
    """Print where a change is in force and return the exit code."""
    in_force = True
    rows: list[Row] = []
    if wait:
        in_force, rows = wait_in_force(admin, applied.revision, wait)
    report = {
        'revision': applied.revision,
        'change_id': applied.change_id,
        'nodes': rows,
    }
    if as_json:
        print(json.dumps(report))
    else:
        print(f'revision {applied.revision}, change id {applied.change_id}')
        show_rows(rows, as_json=False)
    return Exit.OK if in_force else Exit.NOT_IN_FORCE


def _format_time(wall_s: float) -> str:
    """Return a Unix time in ISO format, in UTC."""
    moment = dt.datetime.fromtimestamp(wall_s, dt.UTC)
    return moment.isoformat(timespec='seconds')
