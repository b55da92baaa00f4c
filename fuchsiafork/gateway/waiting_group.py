"""Requests that wait together until they have tokens or are refused."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

from fuchsiafork.prepaid import Reservation, TokenAllocator, WaitingRequest


class WaitingGroup:
    """
    Requests of one account that wait for tokens of an allocator.

    :ivar requests: the requests, in the order in which they were added.
    """

    def __init__(self, allocator: TokenAllocator) -> None:
        """Start without requests."""
        self.requests: list[WaitingRequest] = []
        self._allocator = allocator
        self._complete = False
        self._ended = asyncio.Event()

    @property
    def reservations(self) -> list[Reservation]:
        """Tokens of the requests that were served."""
        return [
            request.reservation
            for request in self.requests
            if request.reservation is not None
        ]

    async def wait(
        self,
        account: str,
        needs: Sequence[int],
        deadline: float,
        wait_s: float,
        obtain: Callable[[WaitingRequest], None],
    ) -> None:
        """
        Wait until each request is served or refused, or for some seconds.

        A cancelled wait leaves nothing reserved.

        :param needs: tokens that each request needs.
        :param deadline: time at which the wait ends, seconds since boot.
        :param obtain: called with each request that has to wait.
        """
        try:
            self._add(account, needs, deadline, obtain)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._ended.wait()
        except BaseException:
            self._stop_waiting()
            for reservation in self.reservations:
                self._allocator.settle(reservation, 0)
            raise
        self._stop_waiting()

    def _add(
        self,
        account: str,
        needs: Sequence[int],
        deadline: float,
        obtain: Callable[[WaitingRequest], None],
    ) -> None:
        """Add requests."""
        for tokens in needs:
            request = self._allocator.wait(
                account, tokens, deadline, self._check
            )
            self.requests.append(request)
            if not request.ended:
                obtain(request)
        self._complete = True
        self._check()

    def _stop_waiting(self) -> None:
        """End the wait of all requests, so that none is served any more."""
        for request in self.requests:
            self._allocator.stop_waiting(request)

    def _check(self) -> None:
        """End the wait if no request waits any more."""
        if self._complete and all(request.ended for request in self.requests):
            self._ended.set()


__all__ = ('WaitingGroup',)
