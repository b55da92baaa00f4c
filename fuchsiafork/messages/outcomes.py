"""Messages that bind an idempotency key to one outcome."""

import dataclasses

from fuchsiafork.messages.registry import message


@message
@dataclasses.dataclass(frozen=True, slots=True)
class BindKey:
    """
    A router requests permission to execute the request of a key.

    :ivar key: digest of client account and Idempotency-Key.
    :ivar fingerprint: digest of method, path and body.
    :ivar idempotent: whether the call may be retried.
    :ivar deadline_s: seconds from now by which the request has ended.
    """

    request_id: str
    key: str
    fingerprint: str
    idempotent: bool
    deadline_s: float


@message
@dataclasses.dataclass(frozen=True, slots=True)
class KeyBound:
    """The key is bound to the request, which may be executed."""

    request_id: str
    key: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class KeyReplay:
    """
    The recorded response of an earlier request with the same key.

    :ivar first_request_id: id of the request that was executed.
    :ivar version: version of the target that produced the response.
    """

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
    The request must not be executed now.

    :ivar code: error code, for example 2007 while an earlier request with
        the key is running.
    :ivar retry_after_s: seconds after which a retry may succeed.
    :ivar claimed: a claim of this request may be stored, so the router
        reports that the request was not executed.
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

    :ivar fingerprint: as in `BindKey`, for an owner that does not know the
        key yet.
    :ivar state: ``done``, ``not_run`` (the key may be used again) or
        ``unknown``.
    :ivar body: response body, empty if it exceeds the replay size limit.
    :ivar replayable: whether the response may be returned to a retry.
    :ivar version: version of the target that produced the response.
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
    """The owner of the key has recorded the outcome."""

    request_id: str
    key: str
