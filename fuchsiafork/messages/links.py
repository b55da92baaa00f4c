"""Messages that open links and keep them alive."""

import dataclasses

from fuchsiafork.messages.registry import message


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """
    First message on a link, from the side that opened it.

    :ivar role: ``keeper`` or ``router``.
    :ivar address: ``ip:port`` where a keeper accepts links, else empty.
    :ivar token: shared secret of the fleet.
    :ivar admin: ``ip:port`` of the process's admin pages.
    """

    node: str
    domain: str
    role: str
    incarnation: str
    address: str
    token: str
    admin: str = ''


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """
    Sign of life of a process.

    :ivar revision: configuration revision in force.
    :ivar leaving: whether the process is shutting down.
    :ivar verdicts: number of rollout verdicts known.
    :ivar routers: node ids of the routers that the keeper serves.
    :ivar admins: admin addresses of the keeper and of its routers.
    :ivar stamp: send time on the sender's clock in seconds, echoed in
        the acknowledgement.
    """

    node: str
    domain: str
    incarnation: str
    revision: int
    leaving: bool
    verdicts: int
    routers: tuple[str, ...]
    address: str
    stamp: float
    admins: tuple[str, ...] = ()


@message
@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """Answer to a heartbeat with its stamp."""

    node: str
    stamp: float


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Goodbye:
    """The sender leaves and has handed back what it held."""

    node: str
    incarnation: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class RosterRow:
    """Where a keeper accepts links."""

    node: str
    domain: str
    incarnation: str
    address: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Roster:
    """The keepers that the sender knows to be live."""

    rows: tuple[RosterRow, ...]
