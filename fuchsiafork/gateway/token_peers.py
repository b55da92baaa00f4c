"""Token requests between the VMs of the fleet."""

import asyncio
import dataclasses
import secrets
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from fuchsiafork.gateway.peers import (
    OK_STATUS,
    CallLimits,
    CallRefusedError,
    Peers,
    PeerSilentError,
)
from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.errors import BudgetExhaustedError
from fuchsiafork.prepaid import TokenAllocator
from fuchsiafork.prepaid.draw_records import RECORD_TTL_S, DrawRecords
from fuchsiafork.prepaid.messages import (
    DrawsRequest,
    read_cancelled_draws,
    read_draw_request,
    read_draws_request,
    read_returned_tokens,
    read_token_request,
)
from fuchsiafork.transport.json_call import JsonAnswer

TOKENS_PATH = '/tokens'
DRAW_PATH = '/tokens/draw'
DRAWS_PATH = '/tokens/draws'
RETURN_PATH = '/tokens/return'
CANCEL_PATH = '/tokens/cancel'
# Limits of a draw, without which the request can't be served.
DRAW_TIMEOUT_S = 0.3
DRAW_BACKOFF_S = 0.5

_NOT_HOLDING = 409
# Answer of a VM whose release takes no draws for several requests.
_NOT_FOUND = 404
_DRAW_LIMITS = CallLimits(DRAW_TIMEOUT_S, DRAW_BACKOFF_S)

# Returns the tokens obtained for requests of a client account, each of which
# needs some, within some seconds.
Allot = Callable[[str, Sequence[int], float], Coroutine[Any, Any, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class Draw:
    """
    A holder's answer to a request for tokens.

    :ivar tokens: how many it gave.
    :ivar reason: why it gave none, empty if it did.
    """

    tokens: int
    reason: str = ''


class TokenPeers:
    """Asks other VMs for tokens, and gives them tokens of an allocator."""

    def __init__(
        self,
        allocator: TokenAllocator,
        peers: Peers,
        clock: Clock,
        log: Any,
    ) -> None:
        """Transfer tokens out of an allocator."""
        self._allocator = allocator
        self._peers = peers
        self._clock = clock
        self._log = log
        self._allot: Allot | None = None
        self._draw_records = DrawRecords(clock)
        # Draws without an answer, by address: they may have been given.
        self._unanswered: dict[str, dict[str, float]] = {}
        peers.register(TOKENS_PATH, self._handle_tokens)
        peers.register(DRAW_PATH, self._handle_draw)
        peers.register(DRAWS_PATH, self._handle_draws)
        peers.register(RETURN_PATH, self._handle_return)
        peers.register(CANCEL_PATH, self._handle_cancel)

    def set_allot(self, allot: Allot) -> None:
        """Set the function that obtains tokens for VMs without grants."""
        self._allot = allot

    def is_silent(self, address: str) -> bool:
        """Return whether a VM has just failed to answer."""
        return self._peers.is_silent(address)

    async def request_tokens(
        self, address: str, account: str, tokens: int
    ) -> int:
        """Request tokens of another grant; return how many were given."""
        try:
            answer = await self._peers.call(
                address, TOKENS_PATH, [account, tokens]
            )
        except PeerSilentError:
            return 0
        transferred = answer.body if answer.status == OK_STATUS else 0
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
        answer = await self._call(address, DRAW_PATH, account, tokens, wait_s)
        return self._read_answer(address, answer)

    async def draw_all(
        self, address: str, account: str, needs: Sequence[int], wait_s: float
    ) -> Draw:
        """
        Draw the tokens of some requests from a holder, by one call.

        The holder gives the tokens of those requests that it has enough for.

        :param needs: tokens that each request needs.
        :param wait_s: seconds that the holder may take to obtain more.
        :raises BudgetExhaustedError: if the budget can't cover the smallest.
        :raises PeerSilentError: if the VM doesn't answer or is no holder.
        """
        if len(needs) == 1:
            return await self.draw(address, account, needs[0], wait_s)
        answer = await self._call(
            address, DRAWS_PATH, account, list(needs), wait_s
        )
        if answer.status == _NOT_FOUND:
            return await self._draw_each(address, account, needs, wait_s)
        return self._read_answer(address, answer)

    async def _draw_each(
        self, address: str, account: str, needs: Sequence[int], wait_s: float
    ) -> Draw:
        """Draw the tokens of some requests from a holder of a past release."""
        draws = await asyncio.gather(
            *(self.draw(address, account, tokens, wait_s) for tokens in needs)
        )
        reasons = [draw.reason for draw in draws if draw.reason]
        total = sum(draw.tokens for draw in draws)
        return Draw(total, reasons[0] if reasons else '')

    async def _call(
        self,
        address: str,
        path: str,
        account: str,
        tokens: int | list[int],
        wait_s: float,
    ) -> JsonAnswer:
        """
        Call a holder for tokens, and note a call that may be answered late.

        :raises PeerSilentError: if the VM doesn't answer.
        """
        draw_id = secrets.token_hex(8)
        limits = CallLimits(DRAW_TIMEOUT_S + wait_s, DRAW_BACKOFF_S)
        try:
            return await self._peers.call(
                address, path, [account, tokens, wait_s, draw_id], limits
            )
        except PeerSilentError as error:
            if error.sent:
                self._record_unanswered(address, draw_id)
            raise
        except asyncio.CancelledError:
            self._record_unanswered(address, draw_id)
            raise

    def _read_answer(self, address: str, answer: JsonAnswer) -> Draw:
        """
        Return what a holder gave.

        :raises BudgetExhaustedError: if the budget can't cover it.
        :raises PeerSilentError: if the VM is no holder.
        """
        if answer.status == OK_STATUS and isinstance(answer.body, int):
            return Draw(answer.body)
        if answer.status == _NOT_HOLDING:
            self._peers.back_off(address, DRAW_BACKOFF_S)
            raise PeerSilentError(f'{address} holds no grants', sent=False)
        if answer.status == BudgetExhaustedError.status:
            raise BudgetExhaustedError(str(answer.body))
        return Draw(0, f'holder {address}: {answer.body}')

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
                await self._peers.call(
                    address, CANCEL_PATH, list(draws), _DRAW_LIMITS
                )
            except PeerSilentError:
                self._unanswered.setdefault(address, {}).update(draws)

    async def return_tokens(self, address: str, tokens: dict[str, int]) -> bool:
        """Return unused tokens; False if they certainly did not arrive."""
        try:
            await self._peers.call(address, RETURN_PATH, tokens, _DRAW_LIMITS)
        except PeerSilentError as error:
            return error.sent
        return True

    def _record_unanswered(self, address: str, draw_id: str) -> None:
        """Keep a draw that may have been given, to be cancelled."""
        unanswered = self._unanswered.setdefault(address, {})
        unanswered[draw_id] = self._clock.now()

    async def _handle_tokens(self, content: Any) -> int:
        """Give tokens of this VM's grant; return how many."""
        account, tokens = read_token_request(content)
        transferred = self._allocator.transfer_out(account, tokens)
        self._log.info('tokens_given', account=account, tokens=transferred)
        return transferred

    async def _handle_draw(self, content: Any) -> int:
        """
        Give tokens to a VM without grants; return how many.

        :raises CallRefusedError: if this VM holds no grants either.
        """
        draw = read_draw_request(content)
        needs = [draw.tokens]
        return await self._give(
            DrawsRequest(draw.account, needs, draw.wait_s, draw.draw_id)
        )

    async def _handle_draws(self, content: Any) -> int:
        """
        Give tokens for several requests to a VM without grants.

        :return: how many.
        :raises CallRefusedError: if this VM holds no grants either.
        """
        return await self._give(read_draws_request(content))

    async def _give(self, draws: DrawsRequest) -> int:
        """
        Give tokens for requests of another VM; return how many.

        :raises CallRefusedError: if this VM holds no grants either.
        """
        if not self._allocator.holding or self._allot is None:
            raise CallRefusedError(_NOT_HOLDING)
        given = await self._allot(draws.account, draws.needs, draws.wait_s)
        if self._draw_records.record(draws.draw_id, draws.account, given):
            return given
        self._allocator.transfer_in(draws.account, given)
        return 0

    async def _handle_return(self, content: Any) -> int:
        """Take tokens that another VM did not use; return how many."""
        returned = read_returned_tokens(content)
        for account, tokens in returned.items():
            self._allocator.transfer_in(account, tokens)
        return sum(returned.values())

    async def _handle_cancel(self, content: Any) -> int:
        """Take back the tokens of draws without an answer; return how many."""
        draw_ids = read_cancelled_draws(content)
        cancelled = sum(self._cancel_draw(draw_id) for draw_id in draw_ids)
        self._log.info('draws_cancelled', draws=len(draw_ids), tokens=cancelled)
        return cancelled

    def _cancel_draw(self, draw_id: str) -> int:
        """Take back the tokens of a draw; return how many."""
        given = self._draw_records.cancel(draw_id)
        if given is None:
            return 0
        self._allocator.transfer_in(given.account, given.tokens)
        return given.tokens


__all__ = ('DRAW_BACKOFF_S', 'Draw', 'TokenPeers')
