"""JSON answers of the processes' admin addresses."""

import dataclasses

import pydantic

from fuchsiafork.kernel.events import Event


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReply:
    """
    Answer to ``GET /status``.

    :ivar revision: configuration revision in force.
    :ivar digest: digest of that revision.
    :ivar admins: ``ip:port`` of the admin addresses that are known.
    """

    node: str
    domain: str
    incarnation: str
    revision: int
    digest: str
    admins: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """Return the JSON form."""
        return _STATUS.dump_json(self)


@dataclasses.dataclass(frozen=True, slots=True)
class EventsReply:
    """
    Answer to ``GET /events?since=N``.

    :ivar events: the kept events with numbers above N, oldest first.
    """

    node: str
    incarnation: str
    events: tuple[Event, ...]

    def encode(self) -> bytes:
        """Return the JSON form."""
        return _EVENTS.dump_json(self, fallback=str)


_STATUS = pydantic.TypeAdapter(StatusReply)
_EVENTS = pydantic.TypeAdapter(EventsReply)


def decode_status(raw: bytes) -> StatusReply:
    """
    Return a status answer; fields of newer processes are ignored.

    :raises ValueError: if it is malformed.
    """
    return _STATUS.validate_json(raw)


def decode_events(raw: bytes) -> EventsReply:
    """
    Return an events answer.

    :raises ValueError: if it is malformed.
    """
    return _EVENTS.validate_json(raw)
