"""Messages that open links and keep them alive."""

import dataclasses

from fuchsiafork.messages.registry import message


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """
    First message on a link, sent by both sides.

    :ivar node: node id of the sender.
    :ivar domain: failure domain of the sender.
    :ivar role: ``keeper`` or ``router``.
    :ivar incarnation: unique string of this start of the sender.
    :ivar address: ``ip:port`` where a keeper accepts links, empty for a
        router.
    :ivar token: shared secret of all processes.
    :ivar admin: ``ip:port`` of the sender's admin HTTP server.
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
    Periodic liveness message of a process, with its state.

    :ivar revision: configuration revision in force.
    :ivar leaving: whether the sender is shutting down.
    :ivar verdicts: number of rollout verdicts that the sender knows.
    :ivar routers: node ids of the routers that are linked to the keeper.
    :ivar address: ``ip:port`` where the sender accepts links.
    :ivar stamp: send time on the sender's clock in seconds, echoed in
        the acknowledgement.
    :ivar admins: admin addresses of the keeper and of its routers.
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
    """Acknowledgement of a heartbeat, with the heartbeat's stamp."""

    node: str
    stamp: float


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Goodbye:
    """The sender is leaving and has released its resources."""

    node: str
    incarnation: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class RosterRow:
    """A live keeper and the address where it accepts links."""

    node: str
    domain: str
    incarnation: str
    address: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Roster:
    """The keepers that the sender considers live."""

    rows: tuple[RosterRow, ...]
