"""Reads new events from every process that is known."""

import dataclasses
from collections.abc import Iterable, Iterator

from fuchsiafork.kernel.events import Event
from fuchsiafork.timeline.admin import AdminClient
from fuchsiafork.timeline.replies import StatusReply, decode_events


@dataclasses.dataclass(slots=True)
class Source:
    """
    One process.

    :ivar since: number of the last event read from it.
    :ivar answered: whether it answered the last question.
    """

    node: str = ''
    incarnation: str = ''
    since: int = 0
    answered: bool = False

    def identify(self, status: StatusReply) -> None:
        """Read from the start again when the process was restarted."""
        if self.incarnation not in {'', status.incarnation}:
            self.since = 0
        self.node = status.node
        self.incarnation = status.incarnation


class Collector:
    """
    Remembers how far each process was read.

    :ivar missed: events that left their ring before they were read.
    """

    def __init__(self, client: AdminClient, addresses: Iterable[str]) -> None:
        """Start with the given addresses."""
        self.missed = 0
        self.sources = {address: Source() for address in addresses}
        self._client = client

    def discover(self) -> None:
        """Add the processes that the known ones know."""
        for address, status in self._client.discover(self.sources).items():
            source = self.sources.setdefault(address, Source())
            if status is not None:
                source.identify(status)

    def poll(self) -> Iterator[Event]:
        """Yield events that are new; an answer may leave some for later."""
        paths = [
            (address, f'/events?since={source.since}')
            for address, source in self.sources.items()
        ]
        for address, events in self._client.ask_all(paths, decode_events):
            source = self.sources[address]
            source.answered = events is not None
            for event in events or ():
                if source.since:
                    self.missed += event.number - source.since - 1
                source.since = event.number
                yield event

    def silent(self) -> list[str]:
        """Return the processes that did not answer the last poll."""
        return sorted(
            f'{address} {source.node}'.rstrip()
            for address, source in self.sources.items()
            if not source.answered
        )
