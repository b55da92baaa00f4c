"""Commands for targets."""

import datetime as dt

import cyclopts

from fuchsiafork.configuration import parse_document
from fuchsiafork.kernel.errors import (
    ConfigurationConflictError,
)
from fuchsiafork.operator_cli.config import apply_change, report_change
from fuchsiafork.operator_cli.lookup import owner_of, section_of
from fuchsiafork.operator_cli.options import (
    Admin,
    AsJson,
    ChangeOptions,
    StoreOptions,
)
from fuchsiafork.operator_cli.output import Exit, show_rows
from fuchsiafork.operator_cli.section_edits import set_keys

app = cyclopts.App(name='target', help='List, drain and load targets.')


@app.command(name='list')
def list_targets(*, store: StoreOptions, json_form: AsJson = False) -> int:
    """Show all targets in the document."""
    document = parse_document(store.document().read().text)
    rows = [
        {
            'target': name,
            'domain': target.domain,
            'pool': document.versions[target.version].pool,
            'version': target.version,
            'capacity': target.capacity,
            'drain_at': target.drain_at and target.drain_at.isoformat(),
            'url': target.url,
        }
        for name, target in document.targets.items()
    ]
    show_rows(rows, as_json=json_form)
    return Exit.OK


@app.command
def drain(
    name: str,
    *,
    store: StoreOptions,
    at: dt.datetime | None = None,
    by: ChangeOptions | None = None,
    admin: Admin = (),
    wait: float = 0,
    json_form: AsJson = False,
) -> int:
    """
    Stop new work for a target from a given time.

    :param name: name of the target section.
    :param at: time from which it gets no new work; now if absent.
    :param wait: seconds to wait until the change is in force in all processes.
    """
    title = f'target:{name}'
    owner = owner_of(store.document().read().sections, title)
    moment = (at or dt.datetime.now(dt.UTC)).astimezone(dt.UTC)
    settings = {'drain_at': moment.isoformat(timespec='seconds')}
    change = (by or ChangeOptions()).change(owner)
    applied = apply_change(store, change, set_keys(title, settings))
    return report_change(applied, admin, wait, as_json=json_form)


@app.command
def order(
    name: str,
    version: str,
    *,
    store: StoreOptions,
    by: ChangeOptions | None = None,
    admin: Admin = (),
    wait: float = 0,
    json_form: AsJson = False,
) -> int:
    """
    Have a target load a version.

    Sets the version in the target's section; the keeper that owns the target
    sends it a load order with a fencing number and verifies that the version
    is loaded before requests are sent there.

    :param name: name of the target section.
    :param version: version to load, of the pool that the target serves.
    :param wait: seconds to wait until the change is in force in all processes.
    """
    document = parse_document(store.document().read().text)
    target = section_of(document.targets, 'target', name)
    new_version = section_of(document.versions, 'version', version)
    pool = document.versions[target.version].pool
    if new_version.pool != pool:
        raise ConfigurationConflictError(
            f'{version!r} is not a version of {pool!r}',
        )
    change = (by or ChangeOptions()).change(target.owner)
    edit = set_keys(f'target:{name}', {'version': version})
    applied = apply_change(store, change, edit)
    return report_change(applied, admin, wait, as_json=json_form)
