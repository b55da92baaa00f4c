"""Messages about money: reservations, settlements and transfers."""

import dataclasses

from fuchsiafork.messages.registry import message


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Reserve:
    """
    A router asks for the worst case of a request.

    :ivar tokens: prompt tokens plus output limit.
    :ivar deadline_s: seconds from now after which the answer is useless.
    :ivar exclude_vm: VM whose keeper should not be the holder.
    :ivar key: the key that the settlement will carry, for a holder that
        settles from a target's record after the router's death.
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
    The reservation stands.

    :ivar holder: id of the keeper's start that holds the money.
    :ivar valid_s: seconds from the request's send in which the first byte
        must go out.
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

    :ivar code: number of the error.
    :ivar retry_after_s: seconds after which a retry may help, 0 for unknown.
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
    The request has ended and used this many tokens.

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
    The settlement is known to the holder.

    :ivar durable: it is in the ledger, so the router may forget it.
    """

    request_id: str
    budget: str
    holder: str
    durable: bool


@message
@dataclasses.dataclass(frozen=True, slots=True)
class AskTransfer:
    """A holder that is short asks another for money."""

    transfer_id: str
    budget: str
    receiver: str
    tokens: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class TransferGrant:
    """
    Money of the giver that now belongs to the receiver.

    :ivar giver: holder id that was debited before this message was sent.
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
    A reservation that a router still holds, or has used and not settled.

    :ivar settled: tokens used, or -1 while the request is running.
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
    """Asks a router for what it holds with a holder."""

    holder: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class OpenReservations:
    """
    All that a router holds with a holder.

    :ivar age_s: seconds since the router's start; a younger router than a
        reservation has lost it.
    """

    router: str
    holder: str
    rows: tuple[OpenReservation, ...]
    age_s: float = 0


@message
@dataclasses.dataclass(frozen=True, slots=True)
class AskClosedOut:
    """A holder that was paused asks whether it was closed out."""

    holder: str
    number: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class ClosedOutKnown:
    """
    Whether a keeper has closed out a holder, or is about to.

    :ivar number: number of the question.
    """

    keeper: str
    holder: str
    number: int
    closed: bool


@message
@dataclasses.dataclass(frozen=True, slots=True)
class AskTransfersWritten:
    """The keeper that closes out a giver asks a possible receiver."""

    giver: str
    receiver: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class TransfersWritten:
    """All money that the receiver had from the giver is in the ledger."""

    giver: str
    receiver: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """
    A target's record of a request whose router died.

    :ivar finished: the request has ended or never arrived.
    :ivar tokens: tokens used, 0 if it never arrived.
    :ivar key: digest of its idempotency key, empty for none.
    """

    request_id: str
    budget: str
    finished: bool
    tokens: int
    key: str = ''
