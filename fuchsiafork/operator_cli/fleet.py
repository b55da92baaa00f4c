"""Commands that query the running processes."""

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

_POLL_INTERVAL_S = 0.2
_DIGEST_LENGTH = 12


def status(*, admin: Admin, json_form: AsJson = False) -> int:
    """Show all processes with their failure domain and configuration."""
    replies = AdminClient().discover(admin)
    show_rows(status_rows(replies), as_json=json_form)
    return Exit.OK if all(replies.values()) else Exit.UNAVAILABLE


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
    Show the retained events of all processes in order.

    :param request: show only events of this request.
    :param account: show only events of this client account.
    :param version: show only events of this version.
    :param target: show only events of this target.
    :param limit: maximum number of events shown, the newest.
    """
    selection = EventFilter(request, account, version, target)
    printer: Callable[[Any], None] = _print_json if json_form else _print_line
    return show_once(Collector(AdminClient(), admin), selection, printer, limit)


def status_rows(replies: dict[str, StatusReply | None]) -> list[Row]:
    """Return a row for each process; without an answer it has no node."""
    rows = [
        {
            'node': reply.node if reply else None,
            'domain': reply.domain if reply else None,
            'revision': reply.revision if reply else None,
            'digest': reply.digest[:_DIGEST_LENGTH] if reply else None,
            'admin': address,
        }
        for address, reply in sorted(replies.items())
    ]
    return sorted(rows, key=lambda row: row['node'] or '')


def wait_in_force(
    admin: Admin,
    revision: int,
    wait_s: float,
) -> tuple[bool, list[Row]]:
    """
    Wait until a revision is in force in all processes.

    Returns whether it is, and a row for each process.
    """
    client = AdminClient()
    deadline = time.monotonic() + wait_s
    while True:
        replies = client.discover(admin)
        rows = [
            {**row, 'in_force': (row['revision'] or 0) >= revision}
            for row in status_rows(replies)
        ]
        in_force = bool(rows) and all(row['in_force'] for row in rows)
        if in_force or time.monotonic() >= deadline:
            return in_force, rows
        time.sleep(_POLL_INTERVAL_S)


def _print_line(event: Any) -> None:
    """Print an event as a line of text."""
    print(event_line(event))


def _print_json(event: Any) -> None:
    """Print an event as JSON."""
    print(json.dumps(event_row(event), default=str))


def register(app: cyclopts.App) -> None:
    """Add the commands to an application."""
    app.command(status)
    app.command(events, version_flags=[])
