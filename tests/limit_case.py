"""Test case with engines that name a limit on the requests of all VMs."""

import asyncio
import bisect
import time

from standins.engine_fleet import BEGIN_S, FleetEngine
from standins.platform_caller import Reply
from tests.fleet_case import DOMAINS, PATHS, FleetCase

PROMPTS_PER_S = 80.0
SUBJECTS = 40
# The limit holds this long after it was first named.
STABLE_S = 3.0
# A VM counts as told this long after the first answer that named the limit.
TOLD_S = 0.5
WINDOW_S = 4.0
# Arrivals in a window beyond one and a half times the limit.
SLACK = 5


class LimitCase(FleetCase):
    """Sends prompts to all VMs while engines name limits."""

    engine_count = 4

    async def asyncSetUp(self) -> None:
        """Start everything and wait until the gateways are ready."""
        await super().asyncSetUp()
        self.replies: list[tuple[float, float, Reply]] = []
        self.named_at: dict[str, float] = {}

    def name_limit(self, engine: FleetEngine, limit: float) -> None:
        """Make an engine name a limit in its answers, 0 for none."""
        engine.behaviour.rate_limit = str(limit) if limit else ''
        self.named_at[engine.target_id] = time.monotonic()

    async def run_load(self, seconds: float) -> None:
        """Send prompts to random VMs."""
        started_at = time.monotonic()
        ends_at = started_at + seconds
        sent = 0
        while time.monotonic() < ends_at:
            await asyncio.sleep(1 / PROMPTS_PER_S)
            while sent < (time.monotonic() - started_at) * PROMPTS_PER_S:
                self.start(self._send(self.rng.choice(tuple(self.site.ports))))
                sent += 1

    def counted(
        self, engine: FleetEngine, domains: str = DOMAINS, since: float = 0.0
    ) -> list[float]:
        """
        Return the times of arrivals from VMs that were told in time.

        :param domains: failure domains of the VMs to count.
        :param since: time from which to count, seconds.
        """
        named_at = self.named_at[engine.target_id]
        told: dict[str, float] = {}
        counted = []
        for arrival in self.engines.arrivals:
            if arrival.target_id != engine.target_id or arrival.at < named_at:
                continue
            vm = self.sent_to[arrival.request_id]
            told_at = told.setdefault(vm, arrival.at + BEGIN_S + TOLD_S)
            late = arrival.at >= max(told_at, named_at + STABLE_S, since)
            if late and vm[0] in domains:
                counted.append(arrival.at)
        return counted

    def most_in_window(
        self, engine: FleetEngine, domains: str = DOMAINS, since: float = 0.0
    ) -> int:
        """Return the most counted arrivals in any window."""
        times = self.counted(engine, domains, since)
        return max(
            (
                bisect.bisect_left(times, at + WINDOW_S) - index
                for index, at in enumerate(times)
            ),
            default=0,
        )

    def statuses(self, since: float) -> list[int]:
        """Return the statuses of the prompts sent since a time."""
        return [reply.status for at, _, reply in self.replies if at >= since]

    async def _send(self, vm: str) -> None:
        """Send one prompt."""
        path = self.rng.choice(PATHS)
        subject = f'subject-{self.rng.randrange(SUBJECTS)}'
        sent_at = time.monotonic()
        reply = await self.prompt(vm, path, 'first', subject)
        took_s = time.monotonic() - sent_at
        self.replies.append((sent_at, took_s, reply))


def allowed(limit: float) -> float:
    """Return the arrivals that a limit allows in a window."""
    return 1.5 * limit * WINDOW_S + SLACK
