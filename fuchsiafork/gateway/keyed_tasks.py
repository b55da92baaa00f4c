"""Short tasks of which at most one runs for each key."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

KeyedWork = Callable[[str], Coroutine[Any, Any, None]]


class KeyedTasks:
    """Runs a function for some keys, once at a time for each."""

    def __init__(self, name: str, work: KeyedWork, log: Any) -> None:
        """
        Run a function, called with a key.

        :param name: name of the tasks in log lines.
        """
        self._name = name
        self._work = work
        self._log = log
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def start(self, key: str) -> None:
        """Start the function for a key unless it is running."""
        if key not in self._tasks:
            task = asyncio.create_task(self._run(key))
            self._tasks[key] = task

    async def _run(self, key: str) -> None:
        """Run the function for a key, and log an unexpected error."""
        try:
            await self._work(key)
        except Exception as error:
            self._log.exception('task_failed', task=self._name, key=key)
            raise error from None
        finally:
            self._tasks.pop(key, None)


__all__ = ('KeyedTasks',)
