"""Messages about slots of targets: the right to send one request."""

import dataclasses

from fuchsiafork.messages.registry import message


@message
@dataclasses.dataclass(frozen=True, slots=True)
class AcquireSlot:
    """
    A router requests a slot on a target of a route.

    :ivar group: target group of the route.
    :ivar priority: lower values are served first, from 0.
    :ivar deadline_s: seconds from now within which the first byte is due.
    :ivar prefixes: hashes of the prompt's prefixes, shortest first.
    :ivar exclude: targets on which this request has failed.
    :ivar foreign: the router is in another failure domain.
    :ivar attempt: number of this slot request, unique in the router.
    :ivar sent_at: send time of this copy on the router's clock, in seconds.
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
    A slot was granted; the request may be sent to the target.

    :ivar owner: node id of the keeper that owns the slot.
    :ivar foreign: the slot is in another failure domain than the router.
    :ivar attempt: `attempt` of the latest `AcquireSlot` received.
    :ivar sent_at: `sent_at` of that `AcquireSlot`, from which the age of the
        grant is counted.
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
    """
    No slot was granted.

    :ivar code: error code.
    :ivar retry_after_s: seconds after which a retry may succeed.
    """

    request_id: str
    route: str
    code: int
    retry_after_s: float
    attempt: int = 0


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """
    Result of one request on a target, as measured by the router.

    :ivar sent: whether any byte of the request was sent.
    :ivar failed: error status, broken connection or truncated response.
    :ivar truncated: whether the response ended early.
    :ivar first_token_s: seconds until the first token, -1 if there was none.
    :ivar token_gap_s: mean seconds between tokens, -1 if unknown.
    :ivar tokens: tokens in the response.
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
    The router no longer uses a slot.

    :ivar owner: node id of the keeper that granted the slot.
    :ivar owner_now: owner that last requested the target's open slots, set
        if the router returns an unused grant of another owner.
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
    """The owner has freed the slot, so the router need not resend."""

    request_id: str
    attempt: int = 0
    target: str = ''


@message
@dataclasses.dataclass(frozen=True, slots=True)
class CancelAcquire:
    """The router no longer needs a slot for this request."""

    request_id: str
    route: str
    group: str
    attempt: int = 0


@message
@dataclasses.dataclass(frozen=True, slots=True)
class OpenSlot:
    """A slot that a router uses."""

    request_id: str
    target: str
    route: str = ''
    version: str = ''
    attempt: int = 0


@message
@dataclasses.dataclass(frozen=True, slots=True)
class AskOpenSlots:
    """
    An owner requests the slots that a router uses on some targets.

    Afterwards the router accepts grants on these targets from it only.

    :ivar ask_id: id of the query, echoed in the answer.
    """

    owner: str
    targets: tuple[str, ...]
    ask_id: str = ''


@message
@dataclasses.dataclass(frozen=True, slots=True)
class OpenSlots:
    """Answer to `AskOpenSlots`: the slots that the router uses."""

    router: str
    rows: tuple[OpenSlot, ...]
    ask_id: str = ''


@message
@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """
    Load that a target reports, polled and therefore delayed.

    :ivar identity: changes when the address is used by another target;
        empty when the target could not be reached.
    :ivar ready: whether the target accepts new requests.
    :ivar running: requests in progress on the target.
    :ivar capacity: requests that the target can run at once.
    :ivar taken_at: time of the poll on the owner's clock, in seconds; 0 if
        unknown.
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
    Prefix-cache changes of an engine, delayed and possibly with gaps.

    :ivar first: sequence number of the first event in this message.
    :ivar last: sequence number of the last event in this message.
    :ivar stored: prefix hashes now cached.
    :ivar evicted: prefix hashes no longer cached.
    """

    target: str
    first: int
    last: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]
