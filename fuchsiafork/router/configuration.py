"""Fetches the active configuration from the linked keeper."""

import functools
from collections.abc import Callable
from typing import Any

from fuchsiafork import messages
from fuchsiafork.configuration import ActiveConfiguration, Document
from fuchsiafork.kernel import Context, FuchsiaforkError, System
from fuchsiafork.router.directory import Directory

# Destination that stands for the keeper to which the router is linked.
LINKED_KEEPER = '@keeper'
FETCH_INTERVAL_S = 1.0


class ConfigurationClient(System):
    """Requests a newer revision every second."""

    accepts = (messages.ConfigurationDocument, messages.ConfigurationOffer)

    def __init__(
        self,
        context: Context,
        apply: Callable[[Directory], None],
    ) -> None:
        """Call ``apply`` with each newer revision."""
        super().__init__(context)
        self.active = ActiveConfiguration()
        self._apply = apply
        self.active.subscribe(self._publish)
        self._next_fetch = 0.0

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Handle one message."""

    @handle.register
    def _(self, message: messages.ConfigurationDocument, sender: str) -> None:
        try:
            adopted = self.active.apply(message)
        except FuchsiaforkError as error:
            self._context.events.record(
                'configuration_invalid',
                revision=message.revision,
                reason=str(error),
            )
            return
        if adopted:
            self._context.events.record(
                'configuration_in_force',
                revision=message.revision,
            )

    @handle.register
    def _(self, message: messages.ConfigurationOffer, sender: str) -> None:
        if message.revision > self.active.revision:
            self._fetch()

    def tick(self) -> None:
        """Request a newer revision if the interval has passed."""
        now = self._context.clock.now()
        if now >= self._next_fetch:
            self._next_fetch = now + FETCH_INTERVAL_S
            self._fetch()

    def _fetch(self) -> None:
        """Request a newer revision from the keeper."""
        self._context.outbox.send(
            LINKED_KEEPER,
            messages.FetchConfiguration(self.active.revision, by_parts=True),
        )

    def _publish(self, document: Document) -> None:
        """Index an adopted document and pass it to ``apply``."""
        domain = self._context.identity.domain
        self._apply(Directory(document, self.active.revision, domain))
