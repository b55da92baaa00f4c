"""Calls between the VMs of the fleet."""

import dataclasses
import json
from collections.abc import Callable, Coroutine
from typing import Any

from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.decoding import DECODE_ERRORS
from fuchsiafork.kernel.errors import FuchsiaforkError
from fuchsiafork.transport.caller import CallerConnection, CallerRequest
from fuchsiafork.transport.client_connection import (
    BrokenAnswerError,
    ConnectError,
)
from fuchsiafork.transport.json_call import (
    CountBytes,
    JsonAnswer,
    JsonCall,
    call_json,
    ignore_bytes,
)
from fuchsiafork.transport.pool import CONNECT_TIMEOUT_S, ConnectionPool

CLOCK_PATH = '/clock'
# A VM that takes longer to answer is skipped: a longer wait isn't worthwhile.
CALL_TIMEOUT_S = 0.15
# How long a VM that didn't answer is not asked again.
BACKOFF_S = 2.0
# A longer round trip makes the clock measurement too inaccurate.
CLOCK_TIMEOUT_S = 0.1

OK_STATUS = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404

# Answers the content of a call; raises one of DECODE_ERRORS if it is invalid.
Handler = Callable[[Any], Coroutine[Any, Any, Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class CallLimits:
    """
    Limits of one call.

    :ivar timeout_s: seconds until the answer.
    :ivar backoff_s: seconds for which a VM that didn't answer is not asked.
    :ivar connect_timeout_s: seconds in which a new connection must open.
    """

    timeout_s: float = CALL_TIMEOUT_S
    backoff_s: float = BACKOFF_S
    connect_timeout_s: float = CONNECT_TIMEOUT_S


DEFAULT_LIMITS = CallLimits()


class PeerSilentError(Exception):
    """
    Another VM didn't answer.

    :ivar sent: whether it may have received the request.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.sent = sent


class CallRefusedError(Exception):
    """
    A call of another VM is refused.

    :ivar status: status of the answer, which has no content.
    """

    def __init__(self, status: int) -> None:
        """Keep the status."""
        super().__init__(status)
        self.status = status


class Peers:
    """Calls other VMs and answers their calls."""

    def __init__(
        self,
        pool: ConnectionPool,
        clock: Clock,
        log: Any,
        count_bytes: CountBytes = ignore_bytes,
    ) -> None:
        """Start without handlers."""
        self._pool = pool
        self._clock = clock
        self._count_bytes = count_bytes
        self._backoff_until: dict[str, float] = {}
        self._log = log
        self._handlers: dict[str, Handler] = {}

    def register(self, path: str, handler: Handler) -> None:
        """Answer calls of a path with a function."""
        self._handlers[path] = handler

    def is_silent(self, address: str) -> bool:
        """Return whether a VM has just failed to answer."""
        now = self._clock.now()
        return now < self._backoff_until.get(address, now)

    def back_off(self, address: str, seconds: float) -> None:
        """Don't call a VM for some seconds."""
        self._backoff_until[address] = self._clock.now() + seconds

    async def call(
        self,
        address: str,
        path: str,
        body: Any,
        limits: CallLimits = DEFAULT_LIMITS,
    ) -> JsonAnswer:
        """
        Call another VM unless it has just failed to answer.

        :raises PeerSilentError: if it doesn't answer in time.
        """
        if self.is_silent(address):
            raise PeerSilentError(f'{address} did not answer', sent=False)
        call = JsonCall('POST', path, body, limits.connect_timeout_s)
        try:
            answer = await call_json(
                self._pool, address, call, limits.timeout_s
            )
        except (BrokenAnswerError, ConnectError) as error:
            self._log.warning('peer_silent', peer=address, reason=str(error))
            self.back_off(address, limits.backoff_s)
            sent = isinstance(error, BrokenAnswerError)
            raise PeerSilentError(f'{address}: {error}', sent=sent) from None
        self._count_bytes('peers', answer.sent_bytes, answer.received_bytes)
        return answer

    async def measure_clock_offset(self, address: str) -> float | None:
        """
        Measure another VM's wall clock minus this VM's monotonic clock.

        :return: seconds, None if the VM doesn't answer in time.
        """
        started_at = self._clock.now()
        try:
            answer = await call_json(
                self._pool,
                address,
                JsonCall('GET', CLOCK_PATH),
                CLOCK_TIMEOUT_S,
            )
        except (BrokenAnswerError, ConnectError):
            return None
        ended_at = self._clock.now()
        valid = answer.status == OK_STATUS and isinstance(answer.body, float)
        if not valid or ended_at - started_at > CLOCK_TIMEOUT_S:
            return None
        return answer.body - (started_at + ended_at) / 2

    async def handle_request(
        self,
        request: CallerRequest,
        caller: CallerConnection,
    ) -> None:
        """Answer a call of another VM."""
        if request.target == CLOCK_PATH:
            wall = json.dumps(self._clock.wall())
            caller.answer(OK_STATUS, [], wall.encode())
            return
        handler = self._handlers.get(request.target)
        if handler is None:
            caller.answer(_NOT_FOUND, [], b'')
            return
        try:
            answer = await handler(json.loads(request.body))
        except DECODE_ERRORS as error:
            self._log.warning('peer_unreadable', reason=repr(error))
            caller.answer(_BAD_REQUEST, [], b'')
        except CallRefusedError as refusal:
            caller.answer(refusal.status, [], b'')
        except FuchsiaforkError as error:
            reason = json.dumps(str(error))
            caller.answer(error.status, [], reason.encode())
        else:
            caller.answer(OK_STATUS, [], json.dumps(answer).encode())


__all__ = (
    'DEFAULT_LIMITS',
    'OK_STATUS',
    'CallLimits',
    'CallRefusedError',
    'Handler',
    'PeerSilentError',
    'Peers',
)
