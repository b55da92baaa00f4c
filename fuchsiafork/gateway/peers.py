"""Token and clock requests between the VMs of the fleet."""

import asyncio
import dataclasses
import json
import secrets
from collections.abc import Callable, Coroutine
from typing import Any

from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.errors import (
    BudgetExhaustedError,
    FuchsiaforkError,
)
from fuchsiafork.prepaid import TokenAllocator
from fuchsiafork.prepaid.draw_records import RECORD_TTL_S, DrawRecords
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
from fuchsiafork.transport.pool import ConnectionPool

TOKENS_PATH = '/tokens'
DRAW_PATH = '/tokens/draw'
RETURN_PATH = '/tokens/return'
CANCEL_PATH = '/tokens/cancel'
CLOCK_PATH = '/clock'
# A VM that takes longer to answer a token request is skipped: a longer wait
# isn't worthwhile.
TOKENS_TIMEOUT_S = 0.15
# The same for a draw, without which the request can't be served.
DRAW_TIMEOUT_S = 0.3
# How long a VM that didn't answer is not asked again.
BACKOFF_S = 2.0
DRAW_BACKOFF_S = 0.5
# A longer round trip makes the clock measurement too inaccurate.
CLOCK_TIMEOUT_S = 0.1

_OK = 200
_BAD_REQUEST = 400
_NOT_HOLDING = 409

# Answers the content of a call of another VM; ValueError if it is invalid.
Handler = Callable[[Any], Any]
# Returns the tokens obtained for a client account within some seconds.
Allot = Callable[[str, int, float], Coroutine[Any, Any, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class _CallLimits:
    """
    Limits of one call.

    :ivar timeout_s: seconds until the answer.
    :ivar backoff_s: seconds for which a VM that didn't answer is not asked.
    """

    timeout_s: float = TOKENS_TIMEOUT_S
    backoff_s: float = BACKOFF_S


_DEFAULT_LIMITS = _CallLimits()
_DRAW_LIMITS = _CallLimits(DRAW_TIMEOUT_S, DRAW_BACKOFF_S)


class PeerSilentError(Exception):
    """
    Another VM didn't answer.

    :ivar sent: whether it may have received the request.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.sent = sent


@dataclasses.dataclass(frozen=True, slots=True)
class Draw:
    """
    A holder's answer to a request for tokens.

    :ivar tokens: how many it gave.
    :ivar reason: why it gave none, empty if it did.
    """

    tokens: int
    reason: str = ''


class Peers:
    """Sends requests to other VMs and handles theirs."""

    def __init__(
        self,
        allocator: TokenAllocator,
        pool: ConnectionPool,
        clock: Clock,
        log: Any,
        count_bytes: CountBytes = ignore_bytes,
    ) -> None:
        """Transfer tokens out of an allocator."""
        self._allocator = allocator
        self._pool = pool
        self._clock = clock
        self._count_bytes = count_bytes
        self._backoff_until: dict[str, float] = {}
        self._log = log
        self._allot: Allot | None = None
        self._draw_records = DrawRecords(clock)
        self._handlers: dict[str, Handler] = {}
        # Draws without an answer, by address: they may have been given.
        self._unanswered: dict[str, dict[str, float]] = {}

    def set_allot(self, allot: Allot) -> None:
        """Set the function that obtains tokens for VMs without grants."""
        self._allot = allot

    def register(self, path: str, handler: Handler) -> None:
        """Answer calls of a path with a function."""
        self._handlers[path] = handler

    async def call(self, address: str, path: str, body: Any) -> Any:
        """
        Call another VM and return the content of its answer.

        :raises PeerSilentError: if it doesn't answer in time, or refuses.
        """
        answer = await self._call(address, path, body)
        if answer.status != _OK:
            reason = f'{address} answered {answer.status}'
            raise PeerSilentError(reason, sent=True)
        return answer.body

    def is_silent(self, address: str) -> bool:
        """Return whether a VM has just failed to answer."""
        now = self._clock.now()
        return now < self._backoff_until.get(address, now)

    async def request_tokens(
        self, address: str, account: str, tokens: int
    ) -> int:
        """Request tokens of another grant; return how many were given."""
        try:
            answer = await self._call(address, TOKENS_PATH, [account, tokens])
        except PeerSilentError:
            return 0
        transferred = answer.body if answer.status == _OK else 0
        return transferred if isinstance(transferred, int) else 0

    async def draw(
        self, address: str, account: str, tokens: int, wait_s: float
    ) -> Draw:
        """
        Draw the tokens of a request from a holder.

        :param wait_s: seconds that the holder may take to obtain more.
        :raises BudgetExhaustedError: if the budget can't cover them.
        :raises PeerSilentError: if the VM doesn't answer or is no holder.
        """
        draw_id = secrets.token_hex(8)
        limits = _CallLimits(DRAW_TIMEOUT_S + wait_s, DRAW_BACKOFF_S)
        try:
            answer = await self._call(
                address, DRAW_PATH, [account, tokens, wait_s, draw_id], limits
            )
        except PeerSilentError as error:
            if error.sent:
                self._record_unanswered(address, draw_id)
            raise
        except asyncio.CancelledError:
            self._record_unanswered(address, draw_id)
            raise
        if answer.status == _OK and isinstance(answer.body, int):
            return Draw(answer.body)
        if answer.status == _NOT_HOLDING:
            self._backoff_until[address] = self._clock.now() + DRAW_BACKOFF_S
            raise PeerSilentError(f'{address} holds no grants', sent=False)
        if answer.status == BudgetExhaustedError.status:
            raise BudgetExhaustedError(str(answer.body))
        return Draw(0, f'holder {address}: {answer.body}')

    def _record_unanswered(self, address: str, draw_id: str) -> None:
        """Keep a draw that may have been given, to be cancelled."""
        unanswered = self._unanswered.setdefault(address, {})
        unanswered[draw_id] = self._clock.now()

    async def cancel_unanswered(self) -> None:
        """Cancel the draws that may have been given without an answer."""
        oldest_kept = self._clock.now() - RECORD_TTL_S
        for address in tuple(self._unanswered):
            draws = {
                draw_id: drawn_at
                for draw_id, drawn_at in self._unanswered.pop(address).items()
                if drawn_at >= oldest_kept
            }
            if not draws:
                continue
            try:
                await self._call(
                    address, CANCEL_PATH, list(draws), _DRAW_LIMITS
                )
            except PeerSilentError:
                self._unanswered.setdefault(address, {}).update(draws)

    async def return_tokens(self, address: str, tokens: dict[str, int]) -> bool:
        """Return unused tokens; False if they certainly did not arrive."""
        try:
            await self._call(address, RETURN_PATH, tokens, _DRAW_LIMITS)
        except PeerSilentError as error:
            return error.sent
        return True

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
        valid = answer.status == _OK and isinstance(answer.body, float)
        if not valid or ended_at - started_at > CLOCK_TIMEOUT_S:
            return None
        return answer.body - (started_at + ended_at) / 2

    async def handle_request(
        self,
        request: CallerRequest,
        caller: CallerConnection,
    ) -> None:
        """Handle a token or clock request of another VM."""
        if request.target == CLOCK_PATH:
            wall = json.dumps(self._clock.wall())
            caller.answer(_OK, [], wall.encode())
            return
        if request.target == DRAW_PATH and not self._allocator.holding:
            caller.answer(_NOT_HOLDING, [], b'')
            return
        try:
            answer = await self._handle(request)
        except (ValueError, TypeError, AttributeError) as error:
            self._log.warning('peer_unreadable', reason=repr(error))
            caller.answer(_BAD_REQUEST, [], b'')
        except FuchsiaforkError as error:
            reason = json.dumps(str(error))
            caller.answer(error.status, [], reason.encode())
        else:
            caller.answer(_OK, [], json.dumps(answer).encode())

    async def _handle(self, request: CallerRequest) -> Any:
        """Return the answer to a call of another VM."""
        handler = self._handlers.get(request.target)
        if handler is not None:
            return handler(json.loads(request.body))
        return await self._handle_tokens(request)

    async def _handle_tokens(self, request: CallerRequest) -> int:
        """Transfer tokens to or from another VM; return how many."""
        content = json.loads(request.body)
        if request.target == RETURN_PATH:
            for account, tokens in content.items():
                self._allocator.transfer_in(str(account), int(tokens))
            return sum(content.values())
        if request.target == CANCEL_PATH:
            cancelled = sum(self._cancel_draw(str(key)) for key in content)
            self._log.info(
                'draws_cancelled', draws=len(content), tokens=cancelled
            )
            return cancelled
        if request.target == DRAW_PATH and self._allot is not None:
            account, tokens, wait_s, draw_id = content
            given = await self._allot(str(account), int(tokens), float(wait_s))
            if self._draw_records.record(str(draw_id), str(account), given):
                return given
            self._allocator.transfer_in(str(account), given)
            return 0
        account, tokens = content
        transferred = self._allocator.transfer_out(str(account), int(tokens))
        self._log.info('tokens_given', account=account, tokens=transferred)
        return transferred

    def _cancel_draw(self, draw_id: str) -> int:
        """Take back the tokens of a draw; return how many."""
        given = self._draw_records.cancel(draw_id)
        if given is None:
            return 0
        self._allocator.transfer_in(given.account, given.tokens)
        return given.tokens

    async def _call(
        self,
        address: str,
        path: str,
        body: Any,
        limits: _CallLimits = _DEFAULT_LIMITS,
    ) -> JsonAnswer:
        """
        Call another VM unless it has just failed to answer.

        :raises PeerSilentError: if it doesn't answer in time.
        """
        if self.is_silent(address):
            raise PeerSilentError(f'{address} did not answer', sent=False)
        call = JsonCall('POST', path, body)
        try:
            answer = await call_json(
                self._pool, address, call, limits.timeout_s
            )
        except (BrokenAnswerError, ConnectError) as error:
            self._log.warning('peer_silent', peer=address, reason=str(error))
            self._backoff_until[address] = self._clock.now() + limits.backoff_s
            sent = isinstance(error, BrokenAnswerError)
            raise PeerSilentError(f'{address}: {error}', sent=sent) from None
        self._count_bytes('peers', answer.sent_bytes, answer.received_bytes)
        return answer
