"""Keeps unexpected errors within the request or the task that meets them."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from fuchsiafork.kernel.errors import FuchsiaforkError, UnexpectedError
from fuchsiafork.transport.caller import (
    CallerConnection,
    CallerRequest,
    Serve,
)

# Mean delay before a background task that failed is started again; doubles
# with each failure in a row, up to the limit.
RESTART_DELAY_S = 0.25
MAX_RESTART_DELAY_S = 4.0
# A task that has run for this long has recovered.
RECOVERED_AFTER_S = 10.0

Answer = Callable[[CallerConnection, FuchsiaforkError], None]
Task = Callable[[], Coroutine[Any, Any, None]]


def guard_requests(serve: Serve, answer: Answer, log: Any) -> Serve:
    """
    Return a function that answers requests whose handling fails.

    :param answer: answers with an error; used before the answer has begun.
    """

    async def guarded(request: CallerRequest, caller: CallerConnection) -> None:
        try:
            await serve(request, caller)
        except Exception as error:
            log.exception('request_failed', path=request.path)
            if caller.started:
                caller.abort()
            else:
                answer(caller, UnexpectedError(repr(error)))

    return guarded


class Supervisor:
    """
    Runs background tasks, and starts again those that fail.

    :ivar failing: names of the tasks that failed and haven't recovered yet.
    """

    def __init__(
        self, rng: random.Random, count: Callable[[str], None], log: Any
    ) -> None:
        """
        Start without tasks.

        :param count: called with the name of each task that fails.
        """
        self.failing: set[str] = set()
        self._rng = rng
        self._count = count
        self._log = log

    async def run(self, name: str, task: Task) -> None:
        """Run a task until this is cancelled."""
        loop = asyncio.get_running_loop()
        failures = 0
        while True:
            started_at = loop.time()
            error = await self._run_once(name, task)
            recovered = loop.time() - started_at >= RECOVERED_AFTER_S
            failures = 0 if recovered else failures + 1
            delay_s = self._restart_delay_s(failures)
            self._count(name)
            self.failing.add(name)
            self._log.error(
                'task_failed',
                task=name,
                reason=repr(error),
                restart_in_s=round(delay_s, 3),
                exc_info=error,
            )
            await asyncio.sleep(delay_s)

    async def _run_once(self, name: str, task: Task) -> Exception | None:
        """Run a task; return its error, None if it ended without one."""
        recovery = asyncio.get_running_loop().call_later(
            RECOVERED_AFTER_S, self.failing.discard, name
        )
        try:
            await task()
        except Exception as error:
            return error
        finally:
            recovery.cancel()
        return None

    def _restart_delay_s(self, failures: int) -> float:
        """Return the delay after some failures in a row, with jitter."""
        longest = min(MAX_RESTART_DELAY_S, RESTART_DELAY_S * 2**failures)
        return longest * self._rng.uniform(0.5, 1.0)


__all__ = ('Supervisor', 'guard_requests')
