"""Fetches the configuration that the router's keeper has in force."""

import functools
from collections.abc import Callable
from typing import Any

from fuchsiafork import messages
from fuchsiafork.configuration import ActiveConfiguration, Document
from fuchsiafork.kernel import Context, FuchsiaforkError, System
from fuchsiafork.router.directory import Directory

# The keeper that the router is linked with, whichever it is.
KEEPER = '@keeper'
FETCH_INTERVAL_S = 1.0


class ConfigurationClient(System):
    """Asks for a newer revision every second."""

    accepts = (messages.ConfigurationDocument, messages.ConfigurationOffer)

    def __init__(
        self,
        context: Context,
        apply: Callable[[Directory], None],
    ) -> None:
        """Hand each newer revision to ``apply``."""
        super().__init__(context)
        self.active = ActiveConfiguration()
        self._apply = apply
        self.active.subscribe(self._index)
        self._next_fetch = 0.0

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Take one message."""

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
        """Ask for a newer revision when it is time."""
        now = self._context.clock.now()
        if now >= self._next_fetch:
            self._next_fetch = now + FETCH_INTERVAL_S
            self._fetch()

    def _fetch(self) -> None:
        """Ask the keeper for a newer revision."""
        self._context.outbox.send(
            KEEPER,
            messages.FetchConfiguration(self.active.revision, by_parts=True),
        )

    def _index(self, document: Document) -> None:
        """Hand a document that came into force to the router."""
        domain = self._context.identity.domain
        self._apply(Directory(document, self.active.revision, domain))
