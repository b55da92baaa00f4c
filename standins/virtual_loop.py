"""An asyncio event loop in virtual time, without network input."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from standins.virtual import VirtualClock

_Result = TypeVar('_Result')


class _InstantSelector(selectors.SelectSelector):
    """Advances the clock instead of waiting."""

    def __init__(self, clock: VirtualClock) -> None:
        """Advance a clock."""
        super().__init__()
        self._clock = clock

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """
        Advance the clock by the timeout.

        :raises RuntimeError: if the loop would wait for ever.
        """
        if timeout is None:
            raise RuntimeError('every task waits, and no timer is set')
        self._clock.advance(max(0.0, timeout))
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting; has no input or output."""

    def __init__(self, clock: VirtualClock) -> None:
        """Take the time from a clock, which the loop advances."""
        super().__init__(_InstantSelector(clock))
        self._virtual_clock = clock

    def time(self) -> float:
        """Return the virtual time, seconds."""
        return self._virtual_clock.now()


def run_virtually(
    main: Coroutine[Any, Any, _Result], clock: VirtualClock
) -> _Result:
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=lambda: VirtualLoop(clock)) as runner:
        return runner.run(main)


__all__ = ('VirtualLoop', 'run_virtually')
