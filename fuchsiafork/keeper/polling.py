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
POLL_THREADS = 16


class TargetPoller:
    """Reads load and cache events of targets, each in its own task."""

    def __init__(
        self,
        engines: EngineClient,
        clock: Clock,
        wanted: Callable[[], dict[str, Target]],
        receive: Callable[[Any], None],
    ) -> None:
        """Poll the targets that ``wanted`` names; pass on to ``receive``."""
        self._engines = engines
        self._clock = clock
        self._wanted = wanted
        self._receive = receive
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._threads = concurrent.futures.ThreadPoolExecutor(
            POLL_THREADS,
            thread_name_prefix='poll',
        )

    async def run(self, stopped: Callable[[], bool]) -> None:
        """Start and end tasks as ownership of groups changes."""
        while not stopped():
            wanted = self._wanted()
            for name in wanted.keys() - self._tasks.keys():
                self._tasks[name] = asyncio.create_task(self._poll(name))
            for name in self._tasks.keys() - wanted.keys():
                self._tasks.pop(name).cancel()
            await asyncio.sleep(POLL_INTERVAL_S)
        for task in self._tasks.values():
            task.cancel()
        self._threads.shutdown(wait=False, cancel_futures=True)

    async def _poll(self, name: str) -> None:
        """Read one target until its task is cancelled."""
        seen = 0
        while True:
            target = self._wanted().get(name)
            if target is None:
                return
            await self._report_load(name, target.url)
            seen = await self._report_cache(name, target.url, seen)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _report_load(self, name: str, url: str) -> None:
        """Pass on a load report; silence is a report of not being ready."""
        loop = asyncio.get_running_loop()
        asked_at = self._clock.now()
        try:
            report = await loop.run_in_executor(
                self._threads,
                self._engines.fetch_load,
                name,
                url,
                asked_at,
            )
        except FuchsiaforkError:
            report = LoadReport(
                target=name,
                identity='',
                version='',
                ready=False,
                running=0,
                capacity=0,
                taken_at=asked_at,
            )
        self._receive(report)

    async def _report_cache(self, name: str, url: str, seen: int) -> int:
        """Pass on new cache events and return the last one's number."""
        loop = asyncio.get_running_loop()
        try:
            events = await loop.run_in_executor(
                self._threads,
                self._engines.fetch_cache_events,
                name,
                url,
                seen,
            )
        except FuchsiaforkError:
            return seen
        if events.last > seen:
            self._receive(events)
        return events.last
