"""JSON responses of the processes' admin addresses."""

import dataclasses

import pydantic

from fuchsiafork.kernel.events import Event


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReply:
    """
    Response to ``GET /status``, without the fields that are not used here.

    :ivar revision: configuration revision in force.
    :ivar digest: digest of that revision, empty if it is not reported.
    :ivar admins: ``ip:port`` of the admin addresses that the process knows.
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
    Parse a status response; unknown fields of newer processes are ignored.

    :raises ValueError: if the response is malformed.
    """
    return _STATUS.validate_json(raw)


def decode_events(raw: bytes) -> tuple[Event, ...]:
    """
    Parse the events in a response to ``GET /events?since=N``.

    :raises ValueError: if the response is malformed.
    """
    return _EVENTS.validate_json(raw)
