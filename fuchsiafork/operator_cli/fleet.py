"""Commands that ask the running processes."""

import json
import time
from collections.abc import Callable
from typing import Any

import cyclopts

from fuchsiafork.operator_cli.options import Admin, AsJson
from fuchsiafork.operator_cli.output import Exit, Row, show_rows
from fuchsiafork.timeline.__main__ import show_once
from fuchsiafork.timeline.admin import AdminClient
from fuchsiafork.timeline.collect import Collector
from fuchsiafork.timeline.merge import EventFilter
from fuchsiafork.timeline.render import event_line, event_row
from fuchsiafork.timeline.replies import StatusReply

_POLL_S = 0.2
_DIGEST_SHOWN = 12


def status(*, admin: Admin, json_form: AsJson = False) -> int:
    """Show every process with its failure domain and configuration."""
    found = AdminClient().discover(admin)
    show_rows(status_rows(found), as_json=json_form)
    return Exit.OK if all(found.values()) else Exit.UNAVAILABLE


def events(
    *,
    admin: Admin,
    request: str = '',
    account: str = '',
    version: str = '',
    target: str = '',
    limit: int = 1000,
    json_form: AsJson = False,
) -> int:
    """
    Show the kept events of all processes in order.

    :param request: show only events of this request.
    :param account: show only events of this client account.
    :param version: show only events of this version.
    :param target: show only events of this target.
    :param limit: newest events shown at most.
    """
    selection = EventFilter(request, account, version, target)
    show: Callable[[Any], None] = _show_json if json_form else _show_line
    return show_once(Collector(AdminClient(), admin), selection, show, limit)


def status_rows(found: dict[str, StatusReply | None]) -> list[Row]:
    """Return a row for each process; one without an answer has no node."""
    rows = [
        {
            'node': reply.node if reply else None,
            'domain': reply.domain if reply else None,
            'revision': reply.revision if reply else None,
            'digest': reply.digest[:_DIGEST_SHOWN] if reply else None,
            'admin': address,
        }
        for address, reply in sorted(found.items())
    ]
    return sorted(rows, key=lambda row: row['node'] or '')


def wait_in_force(
    admin: Admin,
    revision: int,
    wait_s: float,
) -> tuple[bool, list[Row]]:
    """Return whether all processes have a revision in force, and rows."""
    client = AdminClient()
    deadline = time.monotonic() + wait_s
    while True:
        found = client.discover(admin)
        rows = [
            {**row, 'in_force': (row['revision'] or 0) >= revision}
            for row in status_rows(found)
        ]
        done = bool(rows) and all(row['in_force'] for row in rows)
        if done or time.monotonic() >= deadline:
            return done, rows
        time.sleep(_POLL_S)


def _show_line(event: Any) -> None:
    """Print an event for people."""
    print(event_line(event))


def _show_json(event: Any) -> None:
    """Print an event for scripts."""
    print(json.dumps(event_row(event), default=str))


def register(app: cyclopts.App) -> None:
    """Add the commands."""
    app.command(status)
    app.command(events, version_flags=[])
