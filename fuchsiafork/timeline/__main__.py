"""Program ``fuchsiafork-timeline``: events of all processes in order."""

import json
import sys
import time
from collections.abc import Callable
from typing import Annotated

import cyclopts

from fuchsiafork.kernel.events import Event
from fuchsiafork.timeline.admin import AdminClient
from fuchsiafork.timeline.collect import Collector
from fuchsiafork.timeline.merge import EventFilter, Merger
from fuchsiafork.timeline.render import event_line, event_row

EXIT_SILENT = 4

_POLL_S = 1.0
_ROUNDS = 16
# A poll may take its time-out; events that are held longer come in order.
_HOLD_S = 3.0

# The option ``--version`` selects by a target's version.
app = cyclopts.App(
    name='fuchsiafork-timeline',
    help=__doc__,
    version_flags=[],
)


@app.default
def timeline(
    *admin: str,
    request: str = '',
    account: str = '',
    version: str = '',
    target: str = '',
    follow: bool = False,
    limit: int = 10_000,
    as_json: Annotated[bool, cyclopts.Parameter(name='--json')] = False,
) -> int:
    """
    Show the events of all processes in the order of their stamps.

    :param admin: ip:port of admin addresses; the others are discovered.
    :param request: show only events of this request.
    :param account: show only events of this client account.
    :param version: show only events of this version.
    :param target: show only events of this target.
    :param follow: go on with new events until interrupted.
    :param limit: events held in memory at most.
    :param as_json: print one JSON object for each event.
    """
    selection = EventFilter(request, account, version, target)
    collector = Collector(AdminClient(), admin)
    show = _show_json if as_json else _show_line
    if follow:
        follow_events(collector, selection, show, limit)
        return 0
    return show_once(collector, selection, show, limit)


def show_once(
    collector: Collector,
    selection: EventFilter,
    show: Callable[[Event], None],
    limit: int,
) -> int:
    """Return the exit code after showing the events kept now."""
    merger = Merger(limit, hold_s=0)
    collector.discover()
    # A ring of 4,096 events comes in a few answers of bounded length.
    for _ in range(_ROUNDS):
        if not _collect(collector, selection, merger, 0):
            break
    for event in merger.release(0):
        show(event)
    _report_gaps(collector, merger)
    return EXIT_SILENT if collector.silent() else 0


def follow_events(
    collector: Collector,
    selection: EventFilter,
    show: Callable[[Event], None],
    limit: int,
) -> None:
    """Show events as they come, until interrupted."""
    merger = Merger(limit, _HOLD_S)
    silent: list[str] = []
    while True:
        collector.discover()
        _collect(collector, selection, merger, time.monotonic())
        for event in merger.release(time.monotonic()):
            show(event)
        if collector.silent() != silent:
            silent = collector.silent()
            _report_gaps(collector, merger)
        time.sleep(_POLL_S)


def _collect(
    collector: Collector,
    selection: EventFilter,
    merger: Merger,
    now: float,
) -> int:
    """Return the number of new events, after merging the wanted ones."""
    count = 0
    for event in collector.poll():
        count += 1
        if selection.matches(event):
            merger.add(event, now)
    return count


def _report_gaps(collector: Collector, merger: Merger) -> None:
    """Say on standard error what the time line lacks."""
    for process in collector.silent():
        print(f'no answer: {process}', file=sys.stderr)
    if collector.missed:
        print(f'lost from rings: {collector.missed}', file=sys.stderr)
    if merger.dropped:
        print(f'over the limit: {merger.dropped}', file=sys.stderr)


def _show_line(event: Event) -> None:
    """Print an event for people."""
    print(event_line(event), flush=True)


def _show_json(event: Event) -> None:
    """Print an event for scripts."""
    print(json.dumps(event_row(event), default=str), flush=True)


def main() -> None:
    """Run the program."""
    try:
        sys.exit(app(result_action='return_value'))
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == '__main__':
    main()
