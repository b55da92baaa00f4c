"""Engines that end, and are replaced by new ones some seconds later."""

import asyncio
import dataclasses
import functools
import time
from collections.abc import Coroutine
from typing import Any

from fuchsiafork.transport.caller import CallerConnection, CallerRequest
from standins.platform_site import PlatformSite
from standins.platform_targets import Behaviour, PlatformTarget, Run
from standins.replaced_targets import ReplacedTargets

# Time from the arrival of a prompt to the first event, or the engine's end.
BEGIN_S = 0.05
EVENTS = 3
# Interval at which an engine looks whether it has written so many events.
POLL_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """
    A prompt that reached an engine.

    :ivar at: time, seconds of the monotonic clock.
    :ivar parts: ids of its parts.
    """

    at: float
    target_id: str
    request_id: str
    parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """
    The end of an engine.

    :ivar at: time, seconds of the monotonic clock.
    :ivar fatal: whether a fatal part ended it.
    """

    at: float
    fatal: bool


class FleetEngine(PlatformTarget):
    """An engine that ends when it answers on a fatal part."""

    def __init__(
        self, target_id: str, domain: str, fleet: 'EngineFleet'
    ) -> None:
        """Create an engine of a fleet."""
        super().__init__(target_id, 'engine', domain)
        self.domain = domain
        self.behaviour = Behaviour(delay_s=BEGIN_S, events=fleet.events)
        self._fleet = fleet

    async def _serve(
        self, request: CallerRequest, caller: CallerConnection
    ) -> None:
        """Record the arrival and answer."""
        parts = prompt_parts(request.header('x-prompt-prefix'))
        request_id = request.header('x-attempt-id')
        self._fleet.arrivals.append(
            Arrival(time.monotonic(), self.target_id, request_id, parts)
        )
        await super()._serve(request, caller)

    async def _answer(
        self,
        request: CallerRequest,
        caller: CallerConnection,
        behaviour: Behaviour,
        run: Run,
    ) -> None:
        """Answer, or end if the prompt has a fatal part."""
        parts = prompt_parts(request.header('x-prompt-prefix'))
        if self._fleet.is_fatal(parts):
            await self._begin_to_end(behaviour, run)
        await super()._answer(request, caller, behaviour, run)

    async def _begin_to_end(self, behaviour: Behaviour, run: Run) -> None:
        """End in place of an answer, or during or after it."""
        if self._fleet.fatal_events:
            self._fleet.start(self._end_later(run))
            return
        await asyncio.sleep(behaviour.delay_s)
        loop = asyncio.get_running_loop()
        loop.call_soon(functools.partial(self._fleet.end, self, fatal=True))
        await asyncio.sleep(1)

    async def _end_later(self, run: Run) -> None:
        """End some time after an event of an answer."""
        while run.events < self._fleet.fatal_events:
            if run.ended:
                return
            await asyncio.sleep(POLL_S)
        await asyncio.sleep(self._fleet.fatal_delay_s)
        self._fleet.end(self, fatal=True)


class EngineFleet(ReplacedTargets[FleetEngine]):
    """
    The engines of a site.

    :ivar fatal_part: part on which engines end, empty for none.
    :ivar fatal_events: events that an engine writes on it before it ends.
    :ivar fatal_delay_s: seconds after these events before it ends.
    :ivar events: events of an answer of the engines that are made later.
    """

    def __init__(
        self,
        site: PlatformSite,
        domains: str,
        size: int,
        events: int = EVENTS,
    ) -> None:
        """Create engines, distributed over failure domains, not started."""
        super().__init__(site)
        self.fatal_part = ''
        self.fatal_events = 0
        self.fatal_delay_s = 0.0
        self.events = events
        self._tasks: set[asyncio.Task[None]] = set()
        self.arrivals: list[Arrival] = []
        self.ends: list[End] = []
        self._live += [
            self._make(domains[number % len(domains)]) for number in range(size)
        ]

    def is_fatal(self, parts: tuple[str, ...]) -> bool:
        """Return whether a prompt with some parts ends engines."""
        return self.fatal_part in parts[:-1]

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Let an engine do something beside its answers."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def fatal_ends(self) -> list[End]:
        """The ends under a fatal part."""
        return [end for end in self.ends if end.fatal]

    def end(self, engine: FleetEngine, *, fatal: bool) -> None:
        """End an engine and replace it later."""
        if engine not in self._live:
            return
        self.ends.append(End(time.monotonic(), fatal))
        engine.stop()
        self._schedule_replacement(engine)

    def _make_successor(self, target: FleetEngine) -> FleetEngine:
        """Return the engine that replaces one."""
        return self._make(target.domain)

    def _make(self, domain: str) -> FleetEngine:
        """Return a new engine."""
        return FleetEngine(f'e-{next(self._numbers)}', domain, self)


def prompt_parts(prefix: str) -> tuple[str, ...]:
    """Return the ids in a header with the parts of a prompt."""
    return tuple(entry.partition(':')[0] for entry in prefix.split(','))


def prompt_headers(*parts: str) -> dict[str, Any]:
    """Return the headers of a prompt with some parts."""
    return {
        'x_token_count': '100,200',
        'x_model': 'm',
        'x_prompt_prefix': ','.join(f'{part}:10' for part in parts),
    }
