"""Messages that bind an idempotency key to one outcome."""

import dataclasses

from fuchsiafork.messages.registry import message


@message
@dataclasses.dataclass(frozen=True, slots=True)
class BindKey:
    """
    A router asks to run the request of a key.

    :ivar key: digest of account and Idempotency-Key.
    :ivar fingerprint: digest of method, path and body.
    :ivar idempotent: whether the call may be repeated.
    :ivar deadline_s: seconds from now after which the request has ended.
    """

    request_id: str
    key: str
    fingerprint: str
    idempotent: bool
    deadline_s: float


@message
@dataclasses.dataclass(frozen=True, slots=True)
class KeyBound:
    """The request may run."""

    request_id: str
    key: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class KeyReplay:
    """The request ran before; this is its recorded answer."""

    request_id: str
    key: str
    first_request_id: str
    status: int
    content_type: str
    body: bytes
    version: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class KeyRefused:
    """
    The request may not run now.

    :ivar code: number of the error, for example 2007 while it is running.
    :ivar claimed: a claim of this request may be stored, so the router
        reports that it was not run.
    """

    request_id: str
    key: str
    code: int
    retry_after_s: float
    claimed: bool = False


@message
@dataclasses.dataclass(frozen=True, slots=True)
class RecordOutcome:
    """
    The outcome of the request that a key is bound to.

    :ivar fingerprint: as in `BindKey`, for a home that is new to the key.
    :ivar state: ``done``, ``not_run`` (the key is free again) or ``unknown``.
    :ivar body: the answer, empty when it is over the bound for replays.
    """

    request_id: str
    key: str
    fingerprint: str
    idempotent: bool
    state: str
    status: int
    content_type: str
    body: bytes
    replayable: bool
    version: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeRecorded:
    """The outcome is known to the key's home."""

    request_id: str
    key: str
