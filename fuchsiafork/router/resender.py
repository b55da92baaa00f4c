"""Resends messages until they are confirmed."""

import dataclasses
from typing import Any

from fuchsiafork.kernel import Context

MIN_RESEND_S = 0.5
MAX_RESEND_S = 4.0
# A key's owner forgets a request after ten minutes, so later resends would
# have no effect.
MESSAGE_TTL_S = 600.0


@dataclasses.dataclass(slots=True)
class _PendingMessage:
    """A message awaiting confirmation; times in seconds."""

    message: Any
    destination: str
    resend_at: float
    interval_s: float
    expires_at: float


class Resender:
    """Resends each message with exponential backoff until it is confirmed."""

    def __init__(self, context: Context) -> None:
        """Start without pending messages."""
        self._context = context
        self._pending: dict[str, _PendingMessage] = {}

    @property
    def count(self) -> int:
        """Number of unconfirmed messages."""
        return len(self._pending)

    def send(self, message: Any, destination: str) -> None:
        """Send a message now and resend it until it is confirmed."""
        now = self._context.clock.now()
        self._pending[message.request_id] = _PendingMessage(
            message,
            destination,
            now + MIN_RESEND_S,
            MIN_RESEND_S,
            now + MESSAGE_TTL_S,
        )
        self._context.outbox.send(destination, message)

    def confirm(self, request_id: str) -> None:
        """Stop resending a request's message."""
        self._pending.pop(request_id, None)

    def tick(self) -> None:
        """Resend the messages that are due and drop expired ones."""
        now = self._context.clock.now()
        for request_id, pending in tuple(self._pending.items()):
            if now >= pending.expires_at:
                self._pending.pop(request_id)
            elif now >= pending.resend_at:
                pending.interval_s = min(2 * pending.interval_s, MAX_RESEND_S)
                pending.resend_at = now + pending.interval_s
                self._context.outbox.send(pending.destination, pending.message)
