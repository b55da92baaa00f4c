"""Decides when a silent target is given up for another one."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from fuchsiafork.gateway.configuration import Route
from fuchsiafork.transport.client_connection import BrokenAnswerError

# Time without data after which a request is sent to another target: a multiple
# of the route's objective, with a minimum.
HEAD_TIMEOUT_FACTOR = 3.0
MIN_HEAD_TIMEOUT_S = 1.0
GAP_TIMEOUT_FACTOR = 4.0
MIN_GAP_TIMEOUT_S = 1.0

_Read = TypeVar('_Read')
# Returns whether a silent target may be given up.
MayGiveUp = Callable[[], Coroutine[Any, Any, bool]]


class SilencePolicy:
    """
    How long the targets of one request may be silent.

    A target is given up only while another one may get the request. A pause at
    the same place of a stream is no reason to give up a second one: the pause
    is then the stream's own.
    """

    def __init__(
        self, route: Route, may_give_up: MayGiveUp | None = None
    ) -> None:
        """
        Start before the first attempt.

        :param may_give_up: asked when a target has been silent for too long;
            None if the time limit of the request is the only one.
        """
        self._route = route
        self._may_give_up = may_give_up
        self._refused = False
        self._position = 0
        self._given_up_at: set[int] = set()

    def head_timeout_s(self, events: int) -> float | None:
        """
        Return the seconds until an answer has to begin, None for no limit.

        :param events: events of the stream that were received before.
        """
        return self._timeout_s(
            events,
            max(
                MIN_HEAD_TIMEOUT_S,
                HEAD_TIMEOUT_FACTOR * self._route.latency_objective_s,
            ),
        )

    def gap_timeout_s(self, events: int) -> float | None:
        """Return the longest pause in a stream, None for no limit."""
        return self._timeout_s(
            events,
            max(
                MIN_GAP_TIMEOUT_S,
                GAP_TIMEOUT_FACTOR * self._route.event_gap_objective_s,
            ),
        )

    async def give_up(self) -> bool:
        """Return whether to give up a target that is silent for too long."""
        if self._may_give_up is None or not await self._may_give_up():
            self._refused = True
            return False
        self._given_up_at.add(self._position)
        return True

    def start_attempt(self) -> None:
        """Start another attempt, which may be given up again."""
        self._refused = False

    def _timeout_s(self, events: int, seconds: float) -> float | None:
        """Return a timeout unless the target isn't given up here."""
        self._position = events
        if self._refused or events in self._given_up_at:
            return None
        return seconds


async def read_with_timeout(
    read: Callable[[], Coroutine[Any, Any, _Read]],
    silence_policy: SilencePolicy,
    timeout_s: float | None,
) -> _Read:
    """
    Return the result of a read operation, which may be called again.

    :param timeout_s: seconds after which the target may be given up.
    :raises BrokenAnswerError: if it is given up.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await read()
    except TimeoutError:
        if await silence_policy.give_up():
            raise BrokenAnswerError(
                f'no data for {timeout_s:.1f} s', silent=True
            ) from None
    return await read()


__all__ = ('SilencePolicy', 'read_with_timeout')
