"""Rollouts of a new version of a service."""

import json
import random
import unittest

from fuchsiafork.gateway.canary import Canary, RolloutOrder, Verdict
from standins.platform_targets import Behaviour, PlatformTarget
from tests.gateway_case import GatewayCase

DURATION_S = 12.0


def _simulate(seed: int, bad_share: float, slow: float = 1.0) -> Canary:
    """Return a canary after its duration at 20 requests per second."""
    rng = random.Random(seed)
    canary = Canary(RolloutOrder('plain', 'v2', DURATION_S, 7), 0.0)
    for step in range(int(DURATION_S * 20)):
        is_new = rng.random() < canary.traffic_share()
        seconds = rng.uniform(0.03, 0.09)
        canary.record_answer(
            rng.choice(('look', 'order')),
            'v2' if is_new else 'v1',
            failed=rng.random() < (bad_share if is_new else 0.05),
            seconds=seconds * (slow if is_new else 1.0),
        )
        canary.verdict = canary.decide(step / 20)
        if canary.verdict is not Verdict.NONE:
            break
    return canary


class TestCanary(unittest.TestCase):
    """Evidence and verdicts, without I/O."""

    def test_good_versions_are_accepted_in_time(self) -> None:
        """Guards against rolling back good versions."""
        verdicts = [_simulate(seed, 0.05).verdict for seed in range(60)]
        self.assertGreaterEqual(verdicts.count(Verdict.GOOD), 58)

    def test_failing_versions_are_rolled_back(self) -> None:
        """Guards against accepting a failing version."""
        canaries = [_simulate(seed, 0.8) for seed in range(60)]
        self.assertTrue(all(t.verdict is Verdict.BAD for t in canaries))
        self.assertLessEqual(
            max(t.fleet_counts().total.new.answers for t in canaries), 12
        )

    def test_slow_versions_are_rolled_back(self) -> None:
        """Guards against deciding by failures alone."""
        canaries = [_simulate(seed, 0.05, slow=6.0) for seed in range(60)]
        rolled_back = sum(canary.verdict is Verdict.BAD for canary in canaries)
        self.assertGreaterEqual(rolled_back, 58)

    def test_traffic_share_of_an_undecided_version(self) -> None:
        """Guards against sending more than a tenth of requests to it."""
        for seed in range(20):
            total = _simulate(seed, 0.3).fleet_counts().total
            seen = total.new.answers + total.old.answers
            self.assertLessEqual(total.new.answers, 0.1 * seen + 25)

    def test_version_that_fails_on_one_route_is_rejected(self) -> None:
        """Guards against good routes that mask a bad one."""
        canary = Canary(RolloutOrder('plain', 'v2', DURATION_S, 7), 0.0)
        for number in range(200):
            canary.record_answer('look', 'v1', failed=False, seconds=0.05)
            canary.record_answer('look', 'v2', failed=False, seconds=0.05)
            if number < 12:
                canary.record_answer('order', 'v2', failed=True, seconds=0.05)
        self.assertIs(canary.decide(1.0), Verdict.BAD)


class TestRollout(GatewayCase):
    """A rollout ordered through the platform's store."""

    async def asyncSetUp(self) -> None:
        """Create two targets of a new version."""
        await super().asyncSetUp()
        self.new = [PlatformTarget(f'n-{n}', 'plain', 'a') for n in (1, 2)]

    async def _order(self) -> None:
        """Store the rollout order and start the new targets."""
        order = {'service': 'plain', 'to': 'v2', 'durationS': 3}
        self.store.put('op/rollout/plain', order)
        for target in self.new:
            await self.site.add_target(target, version='v2')

    def _state(self) -> str:
        """Return the rollout's state in its status record."""
        value = self.store.content.get('status/rollout/plain') or b'{}'
        return json.loads(value).get('state', '')

    async def test_good_version_is_completed(self) -> None:
        """Guards against a rollout that never completes."""
        await self._order()
        await self.eventually(lambda: self._state() == 'running')
        await self.eventually(lambda: self._state() == 'completed')
        before = sum(len(target.runs) for target in self.new)
        for number in range(5):
            await self.call('/look/1', request_id=f'r-{number}')
        after = sum(len(target.runs) for target in self.new)
        self.assertEqual(after - before, 5)

    async def test_bad_version_is_rolled_back(self) -> None:
        """Guards against further requests to a bad version."""
        for target in self.new:
            target.behaviour = Behaviour(status=500)
        await self._order()
        await self.eventually(lambda: self._state() == 'running')
        canary = self.gateway._shared.rollouts.get('plain')
        for _ in range(12):
            canary.record_answer('look', 'v2', failed=True, seconds=0.01)
        await self.eventually(lambda: self._state() == 'rolled_back')
        before = sum(len(target.runs) for target in self.new)
        for number in range(30):
            await self.call('/look/1', request_id=f'r-{number}')
        after = sum(len(target.runs) for target in self.new)
        self.assertEqual(after, before)
