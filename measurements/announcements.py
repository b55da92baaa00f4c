"""
Requests that reach targets which are leaving or have requested a pause.

Whole gateways in one process serve a load while targets announce it, refuse,
restart and lose their entries, and the store is away, in random order. Counts
come from what the targets and the callers saw.
"""

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable
from typing import Any

from fuchsiafork.observability.logs import configure_logs
from standins.announcing_fleet import AnnouncingFleet
from standins.platform_site import make_route
from standins.platform_store import StoreFault
from standins.recorded_targets import RecordedTarget

VMS = 6
TARGETS = 8
LOAD_S = 14.0
# Mean time between two events.
EVENT_INTERVAL_S = 0.4
OUTAGE_S = 1.5
# Time from an announcement after which no request of a caller may be sent to
# the leaving target.
DRAIN_S = 2.0
# Requests that may reach a target in a pause.
MAX_ARRIVALS = 2
PAUSES = ('0', '0.3', '1', '2.5', '4', '3600', '-1', 'nan', 'soon')
# Targets that stay as they are, so that requests can be served.
SOUND_TARGETS = 2
_KEY = 'key-of-acme'


def _configuration() -> dict[str, Any]:
    """Return a configuration with a route to each kind of target."""
    return {
        'version': 1,
        'routes': [
            make_route('/look/', 'safe', 'plain', maxAttempts=2),
            make_route(
                '/talk/',
                'streaming',
                'engine',
                maxAttempts=2,
                streamResume=True,
            ),
        ],
        'services': [{'name': 'plain'}, {'name': 'engine', 'engine': {}}],
        'tenants': [
            {'name': 'acme', 'apiKeys': [_KEY], 'prepaid': 1_000_000_000}
        ],
    }


class _Troubles:
    """Random events at the targets of a fleet, and at the store."""

    def __init__(self, fleet: AnnouncingFleet, rng: random.Random) -> None:
        """Prepare the events."""
        self._fleet = fleet
        self._rng = rng
        self._sound = fleet.targets[0].behaviour
        self._events: tuple[Callable[[RecordedTarget], None], ...] = (
            self._leave,
            self._refuse,
            self._refuse,
            self._recover,
            self._restart,
            self._rewrite_entry,
            self._break_connections,
        )

    async def run(self) -> None:
        """Let events happen until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / EVENT_INTERVAL_S))
            if self._rng.random() < 1 / len(self._events):
                await self._stop_store()
                continue
            target = self._rng.choice(self._fleet.targets[SOUND_TARGETS:])
            self._rng.choice(self._events)(target)

    def _leave(self, target: RecordedTarget) -> None:
        """Let a target announce that it is leaving."""
        target.behaviour = dataclasses.replace(target.behaviour, leaving=True)

    def _refuse(self, target: RecordedTarget) -> None:
        """Let a target refuse, and request pauses."""
        target.behaviour = dataclasses.replace(
            target.behaviour,
            not_run=True,
            status=503,
            retry_after=self._rng.choice(PAUSES),
        )

    def _recover(self, target: RecordedTarget) -> None:
        """Let a target serve requests."""
        leaving = target.behaviour.leaving
        target.behaviour = dataclasses.replace(self._sound, leaving=leaving)

    def _restart(self, target: RecordedTarget) -> None:
        """Restart a target under its id and address."""
        target.server.break_connections()
        target.behaviour = self._sound
        target.started_unix_ms += 1
        self._fleet.site.register(target)

    def _rewrite_entry(self, target: RecordedTarget) -> None:
        """Remove the entry of a target and write it again."""
        self._fleet.site.store.remove(f'servers/{target.target_id}')
        self._fleet.site.register(target)

    def _break_connections(self, target: RecordedTarget) -> None:
        """Abort the connections of a target."""
        target.server.break_connections()

    async def _stop_store(self) -> None:
        """Let the store be away for some time."""
        store = self._fleet.site.store
        store.fault = StoreFault.RESET
        store.server.break_connections()
        await asyncio.sleep(OUTAGE_S)
        store.fault = StoreFault.NONE


async def measure(path: str, seed: int, load_s: float) -> dict[str, Any]:
    """
    Return the counts of one run.

    :param path: path of all requests.
    :param load_s: length of the load, seconds.
    """
    fleet = AnnouncingFleet(path, _KEY, seed)
    await fleet.start(_configuration(), VMS, TARGETS)
    started_at = time.monotonic()
    troubles = _Troubles(fleet, random.Random(seed))
    task = asyncio.create_task(troubles.run())
    await fleet.run_load(load_s)
    task.cancel()
    pauses = fleet.arrivals_in_pauses()
    counts = {
        'announcements': len(fleet.record.announcements),
        'late': sum(fleet.arrivals_after_announcement(DRAIN_S).values()),
        'pauses': len(pauses),
        'broken_pauses': sum(count > MAX_ARRIVALS for count in pauses),
        'served': round(fleet.served_share(started_at), 3),
    }
    await fleet.stop()
    return counts


def run(seed: int) -> tuple[dict[str, Any], bool]:
    """Return the counts, and whether no bound was passed."""
    configure_logs('critical')
    result: dict[str, Any] = {}
    for name, path in (('plain', '/look/1'), ('streams', '/talk/1')):
        result[name] = asyncio.run(measure(path, seed, LOAD_S))
    held = all(
        counts['announcements']
        and counts['pauses']
        and not counts['late']
        and not counts['broken_pauses']
        for counts in result.values()
    )
    return result, held
