"""Reads new events from all known processes."""

import dataclasses
from collections.abc import Iterable, Iterator

from fuchsiafork.kernel.events import Event
from fuchsiafork.timeline.admin import AdminClient
from fuchsiafork.timeline.replies import StatusReply, decode_events


@dataclasses.dataclass(slots=True)
class Source:
    """
    Read position and identity of one process.

    :ivar since: number of the last event read from it.
    :ivar answered: whether it answered the last poll.
    """

    node: str = ''
    incarnation: str = ''
    since: int = 0
    answered: bool = False

    def identify(self, status: StatusReply) -> None:
        """Record the identity; read from the start after a restart."""
        if self.incarnation not in {'', status.incarnation}:
            self.since = 0
        self.node = status.node
        self.incarnation = status.incarnation


class Collector:
    """
    Polls processes for events that were not read yet.

    :ivar missed_events: number of events overwritten in their ring buffers
        before they were read.
    """

    def __init__(self, client: AdminClient, addresses: Iterable[str]) -> None:
        """Start with the given addresses."""
        self.missed_events = 0
        self.sources = {address: Source() for address in addresses}
        self._client = client

    def discover(self) -> None:
        """Add the processes that the known processes report."""
        for address, status in self._client.discover(self.sources).items():
            source = self.sources.setdefault(address, Source())
            if status is not None:
                source.identify(status)

    def poll(self) -> Iterator[Event]:
        """Yield new events; a response may not contain all of them."""
        paths = [
            (address, f'/events?since={source.since}')
            for address, source in self.sources.items()
        ]
        for address, events in self._client.fetch_all(paths, decode_events):
            source = self.sources[address]
            source.answered = events is not None
            for event in events or ():
                if source.since:
                    self.missed_events += event.number - source.since - 1
                source.since = event.number
                yield event

    def unresponsive(self) -> list[str]:
        """Return the processes that did not answer the last poll."""
        return sorted(
            f'{address} {source.node}'.rstrip()
            for address, source in self.sources.items()
            if not source.answered
        )
