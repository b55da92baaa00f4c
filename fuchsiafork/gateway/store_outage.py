"""Limits the calls to a store that doesn't answer."""

import asyncio
import contextlib

# Longest wait for another watcher, whose call may get no answer for long.
MAX_WAIT_S = 4.0


class StoreOutage:
    """
    The times in which the store doesn't answer, as the watchers notice them.

    One watcher repeats its call until the store answers, and the others wait
    for that, so that an outage costs one series of calls instead of one for
    each prefix.
    """

    def __init__(self) -> None:
        """Start with a store that answers."""
        self._prober = ''
        self._ended = asyncio.Event()

    async def wait(self, prefix: str, delay_s: float) -> None:
        """
        Wait before the next call after one that failed.

        :param prefix: prefix whose watcher waits.
        :param delay_s: seconds until the next call of the watcher that
            repeats its calls.
        """
        if not self._prober:
            self._prober = prefix
            self._ended.clear()
        if self._prober == prefix:
            await asyncio.sleep(delay_s)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_WAIT_S):
                await self._ended.wait()

    def end(self) -> None:
        """Let all watchers call the store, which has answered."""
        self._prober = ''
        self._ended.set()


__all__ = ('StoreOutage',)
