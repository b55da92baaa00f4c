"""Output formats of an event."""

import datetime as dt
from typing import Any

from fuchsiafork.kernel.events import Event

_MS = 1000


def event_line(event: Event) -> str:
    """Return an event as one line of text."""
    recorded_at = dt.datetime.fromtimestamp(event.stamp.wall_ms / _MS, dt.UTC)
    time = recorded_at.strftime('%Y-%m-%dT%H:%M:%S.%f')[:-3]
    fields = ' '.join(f'{name}={field}' for name, field in event.fields.items())
    node = event.stamp.node
    return f'{time}Z {node} {event.kind} {fields}'.rstrip()


def event_row(event: Event) -> dict[str, Any]:
    """Return an event as JSON-compatible fields."""
    return {
        'wall_ms': event.stamp.wall_ms,
        'count': event.stamp.count,
        'node': event.stamp.node,
        'kind': event.kind,
        'fields': event.fields,
    }
