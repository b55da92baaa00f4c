"""Messages about target slots."""

import dataclasses

from fuchsiafork.messages.registry import message


@message
@dataclasses.dataclass(frozen=True, slots=True)
class AcquireSlot:
    """
    A router asks for a target of a route.

    :ivar priority: 0 is served first.
    :ivar deadline_s: seconds from now in which the first byte is useful.
    :ivar prefixes: hashes of the prompt's prefixes, longest last.
    :ivar exclude: targets that this request has failed on.
    :ivar foreign: the asking router is of another failure domain.
    :ivar attempt: number of this wish for a slot, unique in its router.
    :ivar sent_at: the router's clock when it sent this copy, in seconds.
    """

    request_id: str
    route: str
    group: str
    account: str
    priority: int
    deadline_s: float
    prefixes: tuple[int, ...]
    exclude: tuple[str, ...]
    foreign: bool
    attempt: int = 0
    sent_at: float = 0.0


@message
@dataclasses.dataclass(frozen=True, slots=True)
class SlotAcquired:
    """
    The request may be sent to this target.

    :ivar owner: node id of the keeper that owns the slot.
    :ivar foreign: the slot is in another failure domain than the router.
    :ivar attempt: the attempt of the latest AcquireSlot that was taken.
    :ivar sent_at: its send time on the router's clock, in seconds, from
        which the age of the grant is counted.
    """

    request_id: str
    route: str
    target: str
    url: str
    version: str
    owner: str
    foreign: bool = False
    attempt: int = 0
    sent_at: float = 0.0


@message
@dataclasses.dataclass(frozen=True, slots=True)
class SlotRefused:
    """No slot was given."""

    request_id: str
    route: str
    code: int
    retry_after_s: float
    attempt: int = 0


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """
    What a router saw of one request on a target.

    :ivar sent: whether a byte of the request went out.
    :ivar failed: error status, broken connection or truncated answer.
    :ivar first_token_s: seconds to the first token, -1 if none came.
    :ivar token_gap_s: mean seconds between tokens, -1 if unknown.
    """

    sent: bool
    failed: bool
    truncated: bool
    first_token_s: float
    token_gap_s: float
    tokens: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseSlot:
    """
    The router has ended its use of a slot.

    :ivar owner_now: the owner that asked last for the target's open slots,
        when the grant of another one is given back unused.
    """

    request_id: str
    route: str
    group: str
    target: str
    version: str
    owner: str
    observation: Observation
    attempt: int = 0
    owner_now: str = ''


@message
@dataclasses.dataclass(frozen=True, slots=True)
class SlotReleased:
    """The owner has freed the slot, so the router may forget it."""

    request_id: str
    attempt: int = 0
    target: str = ''


@message
@dataclasses.dataclass(frozen=True, slots=True)
class CancelAcquire:
    """The router no longer wants a slot for this request."""

    request_id: str
    route: str
    group: str
    attempt: int = 0


@message
@dataclasses.dataclass(frozen=True, slots=True)
class OpenSlot:
    """A slot in use."""

    request_id: str
    target: str
    route: str = ''
    version: str = ''
    attempt: int = 0


@message
@dataclasses.dataclass(frozen=True, slots=True)
class AskOpenSlots:
    """
    An owner asks a router for the slots it uses.

    From then on the router takes grants on these targets from it only.

    :ivar ask_id: echoed in the answer.
    """

    owner: str
    targets: tuple[str, ...]
    ask_id: str = ''


@message
@dataclasses.dataclass(frozen=True, slots=True)
class OpenSlots:
    """The slots that a router uses on the targets asked for."""

    router: str
    rows: tuple[OpenSlot, ...]
    ask_id: str = ''


@message
@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """
    A target's own report, read from it with a lag.

    :ivar identity: changes when the address is used by another target;
        empty when the target could not be reached.
    :ivar ready: whether the target takes new work.
    :ivar running: requests that it holds.
    :ivar taken_at: the owner's clock when it asked the target, in seconds;
        0 if unknown.
    """

    target: str
    identity: str
    version: str
    ready: bool
    running: int
    capacity: int
    taken_at: float = 0.0


@message
@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """
    Prefix-cache changes of an engine, late and with gaps.

    :ivar first: sequence number of the first event in this message.
    :ivar stored: prefix hashes now cached.
    :ivar evicted: prefix hashes no longer cached.
    """

    target: str
    first: int
    last: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]
