"""Reads new events from every process that is known."""

import dataclasses
from collections.abc import Iterable, Iterator

from fuchsiafork.kernel.events import Event
from fuchsiafork.timeline.admin import AdminClient
from fuchsiafork.timeline.replies import EventsReply, decode_events


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
        for address in self._client.discover(self.sources):
            self.sources.setdefault(address, Source())

    def poll(self) -> Iterator[Event]:
        """Yield the events that are new since the last poll."""
        paths = [
            (address, f'/events?since={source.since}')
            for address, source in self.sources.items()
        ]
        for address, reply in self._client.ask_all(paths, decode_events):
            source = self.sources[address]
            source.answered = reply is not None
            if reply is not None:
                yield from self._take(source, reply)

    def silent(self) -> list[str]:
        """Return the processes that did not answer the last poll."""
        return sorted(
            f'{address} {source.node}'.rstrip()
            for address, source in self.sources.items()
            if not source.answered
        )

    def _take(self, source: Source, reply: EventsReply) -> Iterator[Event]:
        """Yield the new events of one answer."""
        if reply.incarnation != source.incarnation:
            # A restarted process counts from 1 again; what it recorded
            # below the old number comes with the next poll.
            restarted = bool(source.incarnation)
            source.node = reply.node
            source.incarnation = reply.incarnation
            if restarted:
                source.since = 0
                return
        for event in reply.events:
            if source.since:
                self.missed += event.number - source.since - 1
            source.since = event.number
            yield event
