"""Tests of targets that request a pause of a VM."""

import asyncio
import dataclasses
import itertools
import time

from standins.recorded_targets import RecordedTarget
from tests.announcement_case import AnnouncementCase

# Requests that may reach a target from a VM in a pause, after the time that
# the refusal needs to become known.
MAX_ARRIVALS = 2
CALM_S = 1.0
LOAD_S = 4.0
PAUSES = ('1.5', '2.5', '4')
UNAVAILABLE = 503


class PauseCase(AnnouncementCase):
    """Lets targets refuse, and counts what reaches them in their pauses."""

    async def refuse(self, count: int, *pauses: str) -> None:
        """Send requests while some targets refuse and request pauses."""
        await self.fleet.run_load(CALM_S)
        self.refused_at = time.monotonic()
        lengths = itertools.cycle(pauses)
        for target in self.fleet.targets[:count]:
            self.busy(target, next(lengths))
        await self.fleet.run_load(LOAD_S)
        # Answers that are on their way.
        await asyncio.sleep(0.2)

    def busy(self, target: RecordedTarget, pause: str) -> None:
        """Let a target refuse each request and request a pause."""
        target.behaviour = dataclasses.replace(
            target.behaviour,
            not_run=True,
            status=UNAVAILABLE,
            retry_after=pause,
        )

    def recover(self, target: RecordedTarget) -> None:
        """Let a target serve requests."""
        target.behaviour = dataclasses.replace(
            target.behaviour, not_run=False, status=200
        )

    def assert_paused(self) -> None:
        """Check that pauses were requested, and kept."""
        self.assertTrue(self.fleet.record.pauses)
        broken = [
            arrivals
            for arrivals in self.fleet.arrivals_in_pauses()
            if arrivals > MAX_ARRIVALS
        ]
        self.assertEqual(broken, [])


class TestPlainTargets(PauseCase):
    """Targets of a plain service."""

    async def test_one_target_is_left_alone(self) -> None:
        """Guards against further requests to a target that refuses."""
        await self.refuse(1, '2.5')
        self.assert_paused()
        self.assertGreaterEqual(self.fleet.served_share(self.refused_at), 0.98)

    async def test_most_targets_are_left_alone(self) -> None:
        """Guards against attempts that are used up on refusals."""
        await self.refuse(6, *PAUSES)
        self.assert_paused()
        self.assertGreaterEqual(self.fleet.served_share(self.refused_at), 0.9)

    async def test_all_targets_are_left_alone(self) -> None:
        """Guards against a request that has to go somewhere."""
        await self.refuse(len(self.fleet.targets), *PAUSES)
        self.assert_paused()
        late = [
            e for e in self.fleet.exchanges if e.sent_at > self.refused_at + 1
        ]
        self.assertEqual({e.reply.status for e in late}, {UNAVAILABLE})
        self.assertLess(max(e.seconds for e in late), 0.5)
        self.assertTrue(all('retry-after' in e.reply.headers for e in late))

    async def test_restarted_target_is_used(self) -> None:
        """Guards against a target that is lost for an hour."""
        await self.refuse(1, '3600')
        self.assert_paused()
        self.recover(self.fleet.targets[0])
        self.fleet.targets[0].started_unix_ms += 1
        self.fleet.site.register(self.fleet.targets[0])
        await self.fleet.run_load(1.0)
        self.assertTrue(
            any(
                run.started_at > self.refused_at + LOAD_S
                for run in self.fleet.targets[0].runs
            )
        )

    async def test_target_returns_after_its_pause(self) -> None:
        """Guards against a target that stays out."""
        await self.refuse(2, '1.5')
        for target in self.fleet.targets:
            self.recover(target)
        recovered_at = time.monotonic()
        await self.fleet.run_load(3.0)
        for target in self.fleet.targets[:2]:
            late = [r for r in target.runs if r.started_at > recovered_at + 1.5]
            self.assertTrue(late)
        self.assertEqual(self.fleet.served_share(recovered_at), 1.0)


class TestSheddingTargets(PauseCase):
    """Targets that turn a part of their requests away."""

    async def test_each_refusal_counts(self) -> None:
        """Guards against a later answer that ends the pause of another one."""
        tasks = [
            asyncio.create_task(self._shed(target))
            for target in self.fleet.targets[:4]
        ]
        await self.refuse(0)
        for task in tasks:
            task.cancel()
        self.assert_paused()

    async def _shed(self, target: RecordedTarget) -> None:
        """Refuse the requests of one part in three of the time."""
        while True:
            self.busy(target, '1.5')
            await asyncio.sleep(0.1)
            self.recover(target)
            await asyncio.sleep(0.2)


class TestEngines(PauseCase):
    """Engines, whose prompts prefer the same engine."""

    path = '/talk/1'

    async def test_engines_are_left_alone(self) -> None:
        """Guards against an affinity that goes before the pause."""
        await self.refuse(3, *PAUSES)
        self.assert_paused()
        self.assertGreaterEqual(self.fleet.served_share(self.refused_at), 0.95)
