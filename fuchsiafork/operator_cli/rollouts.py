"""Commands for rollouts."""

import datetime as dt
import json
import operator
from typing import Any

import cyclopts

from fuchsiafork.configuration import parse_document
from fuchsiafork.kernel.errors import StoreUnavailableError
from fuchsiafork.kernel.outbox import ListKeys, StoreFailed
from fuchsiafork.operator_cli.config import apply_change, report_change
from fuchsiafork.operator_cli.lookup import owner_of, section_of
from fuchsiafork.operator_cli.options import (
    Admin,
    AsJson,
    ChangeOptions,
    StoreOptions,
)
from fuchsiafork.operator_cli.output import Exit, show_rows
from fuchsiafork.operator_cli.section_edits import add_section, set_keys

VERDICT_PREFIX = 'verdicts/'

app = cyclopts.App(name='rollout', help='Show, start and end rollouts.')


@app.command
def show(*, store: StoreOptions, json_form: AsJson = False) -> int:
    """Show all rollouts with the last verdicts of the failure domains."""
    document = parse_document(store.document().read().text)
    verdicts = _read_verdicts(store)
    rows = [
        {
            'rollout': name,
            'route': rollout.route,
            'old': rollout.old,
            'new': rollout.new,
            'start': rollout.start.isoformat(),
            'deadline': rollout.deadline.isoformat(),
            'take_back': rollout.take_back,
            'last_verdicts': verdicts.get(name, []),
        }
        for name, rollout in document.rollouts.items()
    ]
    show_rows(rows, as_json=json_form)
    return Exit.OK


@app.command
def start(
    name: str,
    *,
    route: str,
    new: str,
    deadline: dt.datetime,
    store: StoreOptions,
    at: dt.datetime | None = None,
    by: ChangeOptions | None = None,
    admin: Admin = (),
    wait: float = 0,
    json_form: AsJson = False,
) -> int:
    """
    Start a rollout of another version on a route.

    :param name: name of the new rollout section.
    :param route: route that changes its version.
    :param new: version to roll out.
    :param deadline: time by which the route has changed its version.
    :param at: time from which the new version gets requests; now if absent.
    :param wait: seconds to wait until the change is in force in all processes.
    """
    document = parse_document(store.document().read().text)
    section = section_of(document.routes, 'route', route)
    options = by or ChangeOptions()
    settings = {
        'owner': section.owner,
        'route': route,
        'old': section.version,
        'new': new,
        'start': _utc(at or dt.datetime.now(dt.UTC)),
        'deadline': _utc(deadline),
    }
    edit = add_section(f'rollout:{name}', settings)
    applied = apply_change(store, options.change(section.owner), edit)
    return report_change(applied, admin, wait, as_json=json_form)


@app.command
def take_back(
    name: str,
    *,
    store: StoreOptions,
    by: ChangeOptions | None = None,
    admin: Admin = (),
    wait: float = 0,
    json_form: AsJson = False,
) -> int:
    """
    Roll back a rollout by hand; its route returns to the old version.

    :param name: name of the rollout section.
    :param wait: seconds to wait until the change is in force in all processes.
    """
    title = f'rollout:{name}'
    owner = owner_of(store.document().read().sections, title)
    edit = set_keys(title, {'take_back': 'true'})
    change = (by or ChangeOptions()).change(owner)
    applied = apply_change(store, change, edit)
    return report_change(applied, admin, wait, as_json=json_form)


def _read_verdicts(store: StoreOptions) -> dict[str, list[str]]:
    """Return the recorded verdicts by rollout."""
    answer = store.connect().execute(ListKeys(VERDICT_PREFIX, 'operator'))
    if isinstance(answer, StoreFailed):
        raise StoreUnavailableError(f'no answer for {VERDICT_PREFIX!r}')
    return {
        key.removeprefix(VERDICT_PREFIX): _last_verdicts(value)
        for key, _, value in answer.rows
    }


def _last_verdicts(raw: bytes) -> list[str]:
    """
    Return the verdicts on the newest section content that has any.

    A record also holds verdicts on earlier contents of the rollout section.
    An unreadable record gives an empty list.
    """
    try:
        rows: list[dict[str, Any]] = json.loads(raw)
        newest = max(rows, key=operator.itemgetter('wall_ms'))['section']
        return [
            f'{row["verdict"]} in {row["domain"]}'
            for row in rows
            if row['section'] == newest
        ]
    except (ValueError, TypeError, KeyError):
        return []


def _utc(moment: dt.datetime) -> str:
    """Return a time in the document's format; without a zone it is UTC."""
    zoned = moment if moment.tzinfo else moment.replace(tzinfo=dt.UTC)
    return zoned.astimezone(dt.UTC).isoformat(timespec='seconds')
