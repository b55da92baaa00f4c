"""Polls the targets whose groups this keeper owns."""

import asyncio
import concurrent.futures
from collections.abc import Callable
from typing import Any

from fuchsiafork.adapters.engine import EngineClient
from fuchsiafork.configuration import Target
from fuchsiafork.kernel import Clock, FuchsiaforkError
from fuchsiafork.messages import LoadReport

POLL_INTERVAL_S = 0.5
MAX_ENGINE_CALLS = 16


class TargetPoller:
    """Polls load and cache events of targets, each in its own task."""

    def __init__(
        self,
        engines: EngineClient,
        clock: Clock,
        owned_targets: Callable[[], dict[str, Target]],
        receive: Callable[[Any], None],
    ) -> None:
        """Poll ``owned_targets`` and pass the replies to ``receive``."""
        self._engines = engines
        self._clock = clock
        self._owned_targets = owned_targets
        self._receive = receive
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._executor = concurrent.futures.ThreadPoolExecutor(
            MAX_ENGINE_CALLS,
            thread_name_prefix='poll',
        )

    async def run(self, stopped: Callable[[], bool]) -> None:
        """Start and cancel tasks as ownership of target groups changes."""
        while not stopped():
            owned = self._owned_targets()
            for name in owned.keys() - self._tasks.keys():
                self._tasks[name] = asyncio.create_task(self._poll(name))
            for name in self._tasks.keys() - owned.keys():
                self._tasks.pop(name).cancel()
            await asyncio.sleep(POLL_INTERVAL_S)
        for task in self._tasks.values():
            task.cancel()
        self._executor.shutdown(wait=False, cancel_futures=True)

    async def _poll(self, name: str) -> None:
        """Poll one target until it is no longer owned or the task ends."""
        last_seen = 0
        while True:
            target = self._owned_targets().get(name)
            if target is None:
                return
            await self._report_load(name, target.url)
            last_seen = await self._report_cache(name, target.url, last_seen)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _report_load(self, name: str, url: str) -> None:
        """Report the load; a target without an answer counts as not ready."""
        loop = asyncio.get_running_loop()
        requested_at = self._clock.now()
        try:
            report = await loop.run_in_executor(
                self._executor,
                self._engines.fetch_load,
                name,
                url,
                requested_at,
            )
        except FuchsiaforkError:
            report = LoadReport(
                target=name,
                identity='',
                version='',
                ready=False,
                running=0,
                capacity=0,
                taken_at=requested_at,
            )
        self._receive(report)

    async def _report_cache(self, name: str, url: str, last_seen: int) -> int:
        """Report new cache events and return the number of the last one."""
        loop = asyncio.get_running_loop()
        try:
            events = await loop.run_in_executor(
                self._executor,
                self._engines.fetch_cache_events,
                name,
                url,
                last_seen,
            )
        except FuchsiaforkError:
            return last_seen
        if events.last > last_seen:
            self._receive(events)
        return events.last
