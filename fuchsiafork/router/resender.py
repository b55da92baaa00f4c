"""Messages that are repeated until they are confirmed."""

import dataclasses
from typing import Any

from fuchsiafork.kernel import Context

FIRST_REPEAT_S = 0.5
LAST_REPEAT_S = 4.0
# Key homes forget a request after ten minutes, so a later repeat is of no
# use to anybody.
GIVE_UP_S = 600.0


@dataclasses.dataclass(slots=True)
class _Row:
    """A message that waits for its confirmation; times in seconds."""

    message: Any
    destination: str
    repeat_at: float
    repeat_s: float
    until: float


class Repeater:
    """Sends messages again, ever more slowly, until each is confirmed."""

    def __init__(self, context: Context) -> None:
        """Start with nothing to repeat."""
        self._context = context
        self._rows: dict[str, _Row] = {}

    @property
    def count(self) -> int:
        """Messages that are not confirmed."""
        return len(self._rows)

    def send(self, message: Any, destination: str) -> None:
        """Send a message now and again until it is confirmed."""
        now = self._context.clock.now()
        self._rows[message.request_id] = _Row(
            message,
            destination,
            now + FIRST_REPEAT_S,
            FIRST_REPEAT_S,
            now + GIVE_UP_S,
        )
        self._context.outbox.send(destination, message)

    def confirm(self, request_id: str) -> None:
        """Stop repeating a request's message."""
        self._rows.pop(request_id, None)

    def tick(self) -> None:
        """Repeat what is due."""
        now = self._context.clock.now()
        for request_id, row in tuple(self._rows.items()):
            if now >= row.until:
                self._rows.pop(request_id)
            elif now >= row.repeat_at:
                row.repeat_s = min(2 * row.repeat_s, LAST_REPEAT_S)
                row.repeat_at = now + row.repeat_s
                self._context.outbox.send(row.destination, row.message)
