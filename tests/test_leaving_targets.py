"""Tests of targets that announce in their answers that they are leaving."""

import asyncio
import dataclasses
import time

from standins.platform_store import StoreFault
from tests.announcement_case import AnnouncementCase

# Time from the announcement after which a request of a caller must not reach
# the target from that VM.
DRAIN_S = 2.0
CALM_S = 1.0
LOAD_S = DRAIN_S + 1.2
LEAVING_COUNT = 3


class LeavingCase(AnnouncementCase):
    """Lets targets announce that they are leaving, and counts arrivals."""

    async def leave(self, count: int, **behaviour: object) -> None:
        """Send requests while some targets begin to leave."""
        await self.fleet.run_load(CALM_S)
        self.left_at = time.monotonic()
        for target in self.fleet.targets[:count]:
            target.behaviour = dataclasses.replace(
                target.behaviour,
                leaving=True,
                **behaviour,  # type: ignore[arg-type]
            )
        await self.fleet.run_load(LOAD_S)
        # Answers that are on their way.
        await asyncio.sleep(0.2)

    def assert_left_alone(self) -> None:
        """Check that VMs were notified, and sent nothing afterwards."""
        self.assertTrue(self.fleet.record.announcements)
        self.assertEqual(self.fleet.arrivals_after_announcement(DRAIN_S), {})


class TestPlainAnswers(LeavingCase):
    """Targets of a plain service."""

    async def test_leaving_targets_get_no_requests(self) -> None:
        """Guards against VMs that heed only the registry."""
        await self.leave(LEAVING_COUNT)
        self.assert_left_alone()
        self.assertEqual(self.fleet.served_share(self.left_at), 1.0)

    async def test_refusals_announce_it_too(self) -> None:
        """Guards against reading the announcement on successes only."""
        await self.leave(LEAVING_COUNT, not_run=True, status=503)
        self.assert_left_alone()
        self.assertGreaterEqual(
            self.fleet.served_share(self.left_at + DRAIN_S), 0.99
        )

    async def test_service_without_other_targets_refuses_at_once(self) -> None:
        """Guards against leaving targets as a last resort."""
        await self.leave(len(self.fleet.targets))
        self.assert_left_alone()
        late = [
            exchange
            for exchange in self.fleet.exchanges
            if exchange.sent_at > self.left_at + DRAIN_S
        ]
        self.assertEqual({e.reply.status for e in late}, {503})
        self.assertTrue(all('retry-after' in e.reply.headers for e in late))

    async def test_store_is_not_needed(self) -> None:
        """Guards against waiting for the registry to confirm it."""
        self.fleet.site.store.fault = StoreFault.RESET
        self.fleet.site.store.server.break_connections()
        await self.leave(LEAVING_COUNT)
        self.assert_left_alone()

    async def test_successor_is_used(self) -> None:
        """Guards against a service that shrinks with each replacement."""
        await self.leave(LEAVING_COUNT)
        successor = self.fleet.make_target('u-1', 'a')
        await self.fleet.site.add_target(successor)
        restarted = self.fleet.targets[0]
        restarted.behaviour = dataclasses.replace(
            restarted.behaviour, leaving=False
        )
        restarted.started_unix_ms += 1
        self.fleet.site.register(restarted)
        restarted_at = time.monotonic()
        await self.fleet.run_load(1.0)
        self.assertTrue(successor.runs)
        self.assertTrue(
            any(run.started_at > restarted_at for run in restarted.runs)
        )
        for target in self.fleet.targets[1:LEAVING_COUNT]:
            late = [r for r in target.runs if r.started_at > restarted_at]
            self.assertEqual(late, [])


class TestStreams(LeavingCase):
    """Engines that announce it at the head of their streams."""

    path = '/talk/1'

    async def test_leaving_engines_get_no_prompts(self) -> None:
        """Guards against heads of streams that are not looked at."""
        await self.leave(LEAVING_COUNT)
        self.assert_left_alone()
        self.assertEqual(self.fleet.served_share(self.left_at), 1.0)
