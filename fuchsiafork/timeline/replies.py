"""JSON answers of the processes' admin addresses."""

import dataclasses

import pydantic

from fuchsiafork.kernel.events import Event


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReply:
    """
    Answer to ``GET /status``, as far as it is used here.

    :ivar revision: configuration revision in force.
    :ivar digest: digest of that revision, empty where it is not told.
    :ivar admins: ``ip:port`` of the admin addresses that are known.
    """

    node: str
    domain: str
    incarnation: str
    revision: int
    digest: str = ''
    admins: tuple[str, ...] = ()


_STATUS = pydantic.TypeAdapter(StatusReply)
_EVENTS = pydantic.TypeAdapter(tuple[Event, ...])


def decode_status(raw: bytes) -> StatusReply:
    """
    Return a status answer; fields of newer processes are ignored.

    :raises ValueError: if it is malformed.
    """
    return _STATUS.validate_json(raw)


def decode_events(raw: bytes) -> tuple[Event, ...]:
    """
    Return the events of an answer to ``GET /events?since=N``.

    :raises ValueError: if it is malformed.
    """
    return _EVENTS.validate_json(raw)
