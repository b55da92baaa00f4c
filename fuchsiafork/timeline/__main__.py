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

EXIT_NO_ANSWER = 4

_POLL_S = 1.0
_MAX_POLLS = 16
# A poll can last as long as its timeout; events that are held longer than that
# are shown in order.
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

    :param admin: ip:port of admin addresses; other processes are discovered.
    :param request: show only events of this request.
    :param account: show only events of this client account.
    :param version: show only events of this version.
    :param target: show only events of this target.
    :param follow: show new events until interrupted.
    :param limit: maximum number of events in memory.
    :param as_json: print one JSON object for each event.
    """
    event_filter = EventFilter(request, account, version, target)
    collector = Collector(AdminClient(), admin)
    show = _show_json if as_json else _show_line
    if follow:
        follow_events(collector, event_filter, show, limit)
        return 0
    return show_once(collector, event_filter, show, limit)


def show_once(
    collector: Collector,
    event_filter: EventFilter,
    show: Callable[[Event], None],
    limit: int,
) -> int:
    """Show the events that the processes hold now; return the exit code."""
    merger = Merger(limit, hold_s=0)
    collector.discover()
    # Reading a ring buffer of 4,096 events takes several bounded responses.
    for _ in range(_MAX_POLLS):
        if not _collect(collector, event_filter, merger, 0):
            break
    for event in merger.release(0):
        show(event)
    _report_gaps(collector, merger)
    return EXIT_NO_ANSWER if collector.unresponsive() else 0


def follow_events(
    collector: Collector,
    event_filter: EventFilter,
    show: Callable[[Event], None],
    limit: int,
) -> None:
    """Show new events until interrupted."""
    merger = Merger(limit, _HOLD_S)
    unresponsive: list[str] = []
    while True:
        collector.discover()
        _collect(collector, event_filter, merger, time.monotonic())
        for event in merger.release(time.monotonic()):
            show(event)
        if collector.unresponsive() != unresponsive:
            unresponsive = collector.unresponsive()
            _report_gaps(collector, merger)
        time.sleep(_POLL_S)


def _collect(
    collector: Collector,
    event_filter: EventFilter,
    merger: Merger,
    now: float,
) -> int:
    """Add the matching new events; return the number of all new ones."""
    count = 0
    for event in collector.poll():
        count += 1
        if event_filter.matches(event):
            merger.add(event, now)
    return count


def _report_gaps(collector: Collector, merger: Merger) -> None:
    """Report missing processes and events on standard error."""
    for process in collector.unresponsive():
        print(f'no answer: {process}', file=sys.stderr)
    if collector.missed_events:
        print(f'lost from rings: {collector.missed_events}', file=sys.stderr)
    if merger.dropped_events:
        print(f'over the limit: {merger.dropped_events}', file=sys.stderr)


def _show_line(event: Event) -> None:
    """Print an event as a line of text."""
    print(event_line(event), flush=True)


def _show_json(event: Event) -> None:
    """Print an event as a JSON object."""
    print(json.dumps(event_row(event), default=str), flush=True)


def main() -> None:
    """Run the program."""
    try:
        sys.exit(app(result_action='return_value'))
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == '__main__':
    main()
