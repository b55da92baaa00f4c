"""Messages about reservations, settlements and transfers of tokens."""

import dataclasses

from fuchsiafork.messages.registry import message


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Reserve:
    """
    A router requests a reservation of a request's maximum token use.

    :ivar tokens: prompt tokens plus the limit of output tokens.
    :ivar deadline_s: seconds from now after which an answer is too late.
    :ivar exclude_vm: VM whose keeper should not be the holder.
    :ivar key: `Settle.key` of the later settlement; the holder uses it to
        settle from the target's record if the router crashes.
    """

    request_id: str
    budget: str
    account: str
    tokens: int
    deadline_s: float
    exclude_vm: str
    key: str = ''


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Reserved:
    """
    The reservation was made.

    :ivar holder: id of the keeper process, including its incarnation, that
        holds the tokens.
    :ivar valid_s: seconds from the sending of `Reserve` within which the
        first byte must be sent to a target.
    """

    request_id: str
    budget: str
    holder: str
    tokens: int
    valid_s: float


@message
@dataclasses.dataclass(frozen=True, slots=True)
class ReserveRefused:
    """
    No reservation was made.

    :ivar code: error code.
    :ivar retry_after_s: seconds after which a retry may succeed, 0 if
        unknown.
    """

    request_id: str
    budget: str
    code: int
    retry_after_s: float


@message
@dataclasses.dataclass(frozen=True, slots=True)
class StartUse:
    """The router is about to send the request to a target."""

    request_id: str
    budget: str
    holder: str
    target: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Settle:
    """
    The request has ended; the holder debits the tokens used.

    :ivar tokens: tokens used, 0 to cancel the reservation.
    :ivar key: digest of the request's idempotency key, or its request id.
    """

    request_id: str
    budget: str
    account: str
    holder: str
    tokens: int
    key: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class SettleAccepted:
    """
    The holder has received the settlement.

    :ivar durable: the settlement is in the ledger, so the router may discard
        it.
    """

    request_id: str
    budget: str
    holder: str
    durable: bool


@message
@dataclasses.dataclass(frozen=True, slots=True)
class AskTransfer:
    """A holder with too few tokens requests a transfer from another holder."""

    transfer_id: str
    budget: str
    receiver: str
    tokens: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class TransferGrant:
    """
    Tokens of the giver that now belong to the receiver.

    :ivar giver: id of the holder that was debited before this message was sent.
    """

    transfer_id: str
    budget: str
    giver: str
    receiver: str
    tokens: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class TransferReceived:
    """The receiver has credited a transfer."""

    transfer_id: str
    budget: str
    giver: str
    receiver: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class OpenReservation:
    """
    A reservation of a router that is not yet settled.

    :ivar tokens: tokens reserved.
    :ivar settled: tokens used, or -1 while the request is running.
    :ivar key: digest of the request's idempotency key, or its request id.
    """

    request_id: str
    budget: str
    account: str
    tokens: int
    settled: int
    key: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class AskOpenReservations:
    """A keeper requests the open reservations of a router at a holder."""

    holder: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class OpenReservations:
    """
    All open reservations of a router at a holder.

    :ivar age_s: seconds since the router's start; a reservation made before
        that start is lost to the router.
    """

    router: str
    holder: str
    rows: tuple[OpenReservation, ...]
    age_s: float = 0


@message
@dataclasses.dataclass(frozen=True, slots=True)
class AskClosedOut:
    """
    A holder that was paused queries whether a keeper closed it out.

    :ivar number: number of the question, echoed in the answer.
    """

    holder: str
    number: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class ClosedOutKnown:
    """
    Answer to `AskClosedOut`.

    :ivar number: number of the question.
    :ivar closed: the keeper has closed out the holder, or is about to.
    """

    keeper: str
    holder: str
    number: int
    closed: bool


@message
@dataclasses.dataclass(frozen=True, slots=True)
class AskTransfersWritten:
    """
    Queries whether a receiver's transfers from a giver are in the ledger.

    Sent by the keeper that closes out the giver.
    """

    giver: str
    receiver: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class TransfersWritten:
    """All transfers from the giver to the receiver are in the ledger."""

    giver: str
    receiver: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """
    A target's record of a request whose router crashed.

    :ivar finished: the request has ended, or never reached the target.
    :ivar tokens: tokens used, 0 if the request never reached the target.
    :ivar key: digest of the request's idempotency key, empty for none.
    """

    request_id: str
    budget: str
    finished: bool
    tokens: int
    key: str = ''
