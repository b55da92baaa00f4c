"""Request, commands and replies of the request state machine."""

import dataclasses
import random
from collections.abc import Generator
from typing import Any

from fuchsiafork.kernel import Clock, EventRing
from fuchsiafork.membership import KEY_OWNER
from fuchsiafork.router.retry_budget import RetryBudget

# Answers up to this size are kept for replays.
REPLAY_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class SharedState:
    """
    State shared by all requests of a router.

    :ivar vm: the router's VM, whose keeper should not hold its reservations.
    """

    vm: str
    clock: Clock
    random: random.Random
    events: EventRing
    retry_budget: RetryBudget


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """
    An authenticated request whose size is within the limits.

    :ivar groups: target groups that may serve it; the first is in the router's
        failure domain, slots of the others are requested as foreign.
    :ivar engine: whether the target is an engine that takes ``max_tokens``.
    :ivar key: digest of account and Idempotency-Key, empty without one.
    :ivar fingerprint: digest of method, path and body.
    :ivar prompt_tokens: upper bound of the prompt's tokens.
    :ivar output_limit: bound of the answer's tokens, 0 for services.
    :ivar flat_tokens: price of a service call, 0 for engines.
    :ivar deadline: time on ``Clock.now()`` by which the answer must end.
    """

    request_id: str
    account: str
    budget: str
    route: str
    groups: tuple[str, ...]
    priority: int
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    engine: bool
    idempotent: bool
    key: str
    fingerprint: str
    prompt_tokens: int
    output_limit: int
    flat_tokens: int
    deadline: float
    prefixes: tuple[int, ...] = ()

    @property
    def worst_case(self) -> int:
        """Tokens to reserve."""
        return self.prompt_tokens + self.output_limit + self.flat_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """
    Result of an answered request.

    :ivar relayed: the answer has been sent to the caller by `RelayStream`;
        otherwise the driver sends ``status``, ``content_type``, ``body``.
    :ivar first_request_id: request whose recorded answer is replayed, or
        the request's own id.
    """

    request_id: str
    first_request_id: str
    status: int
    content_type: str
    body: bytes
    version: str
    tokens: int
    relayed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RequestReply:
    """
    Send a message and wait for its reply.

    The reply is a message of one of the ``expects`` types with the same
    ``request_id``, or None after ``timeout_s`` or when no keeper is linked.
    A reply whose request has ended goes to `late_replies.late_reply`.
    """

    message: Any
    expects: tuple[type, ...]
    timeout_s: float
    destination: str = KEY_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class SendMessage:
    """
    Send a message without waiting; the reply is None.

    :ivar acknowledged_by: type of the message that ends the resending. The
        driver resends the message, also after the request has ended, until
        one with the same ``request_id`` arrives; a ``SettleAccepted`` counts
        only when it is durable. None for a message sent only once.
    """

    message: Any
    destination: str = KEY_OWNER
    acknowledged_by: type | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallTarget:
    """
    Send a request to a target and read the status and headers.

    A new or pooled connection is used; the driver never retries the call. The
    reply is `ConnectFailed` only if no byte of the request was sent,
    `TargetHead`, or `TargetBroken`.

    :ivar deadline: time on ``Clock.now()`` at which the driver aborts and
        closes the connection.
    """

    target: str
    url: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No byte of the request was sent."""

    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class TargetBroken:
    """The connection broke or the deadline passed after the first byte."""

    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class TargetHead:
    """
    Status and headers of the target's answer.

    :ivar headers: names in lower case, ``x-request-id`` among them.
    """

    status: int
    headers: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class DropAnswer:
    """Close the connection of the last `CallTarget`; the reply is None."""


@dataclasses.dataclass(frozen=True, slots=True)
class RelayStream:
    """
    Relay the open answer to the caller; the reply is `RelayResult`.

    :ivar headers: headers for the caller.
    :ivar token_limit: tokens after which the stream is closed, 0 for services.
    :ivar max_body_bytes: largest body that is returned in the reply.
    :ivar drain: read the answer to its end even if the caller disconnects.
    :ivar deadline: time on ``Clock.now()`` at which the stream is closed.
    """

    status: int
    headers: dict[str, str]
    prompt_tokens: int
    token_limit: int
    max_body_bytes: int
    drain: bool
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class RelayResult:
    """
    Result of relaying an answer.

    :ivar tokens: prompt and output tokens counted from the stream.
    :ivar complete: the target sent the regular end of its answer.
    :ivar over_limit: the stream was closed at the token limit.
    :ivar reached_caller: any byte of the answer was sent to the caller.
    :ivar caller_gone: the caller disconnected, or read nothing for too long.
    :ivar body: the answer if it is complete and within ``max_body_bytes``.
    :ivar replayable: whether ``body`` is the whole answer.
    """

    tokens: int
    complete: bool
    over_limit: bool
    reached_caller: bool
    caller_gone: bool
    body: bytes
    replayable: bool
    first_token_s: float = -1
    token_gap_s: float = -1


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTargetRecord:
    """
    Read ``GET /v1/requests/<id>`` of a target.

    The reply is `TargetRecord`, or None if the target does not answer.
    """

    target: str
    url: str
    request_id: str
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """
    A target's record of a request.

    :ivar found: whether the target ever received the request.
    """

    found: bool
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Spawn:
    """
    Run further commands in the background; the reply is None at once.

    While they run, the router reports the reservation as open. They yield
    only `ReadTargetRecord`, `Sleep` and `SendMessage`.
    """

    request_id: str
    steps: Generator[Any, Any, None]


@dataclasses.dataclass(frozen=True, slots=True)
class Sleep:
    """Wait; the reply is None."""

    seconds: float


Command = (
    RequestReply
    | SendMessage
    | CallTarget
    | DropAnswer
    | RelayStream
    | ReadTargetRecord
    | Spawn
    | Sleep
)
