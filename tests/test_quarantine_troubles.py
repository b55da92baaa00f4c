"""Quarantine while the store, VMs and targets have other troubles."""

import asyncio
import time
from unittest import mock

from fuchsiafork.gateway.notice_writer import QUARANTINE_PREFIX
from fuchsiafork.quarantine import Notice, NoticeKind, encode_notice
from fuchsiafork.quarantine.evidence import QUARANTINE_ENDS
from fuchsiafork.quarantine.settling import SETTLE_S
from fuchsiafork.transport.client_connection import ConnectError
from standins.engine_fleet import prompt_headers
from standins.link_proxies import LinkProxy
from standins.platform_caller import Reply
from standins.platform_store import StoreFault
from standins.platform_targets import Behaviour, PlatformTarget
from tests.fleet_case import DOMAINS
from tests.gateway_case import GatewayCase
from tests.quarantine_case import (
    FATAL_PART,
    FIRST_PART,
    MAX_ENDS,
    MAX_LATE_ARRIVALS,
    QUARANTINED,
    STABLE_S,
    QuarantineCase,
)

LEAST_SOUND_SHARE = 0.9
# Time in which a part is free once its probe's target has lived on.
RELEASE_S = 0.3


class TestStoreAway(QuarantineCase):
    """The store is down while targets end."""

    async def test_reports_are_pooled_once_the_store_is_back(self) -> None:
        """Guards against reports that are lost with the store."""
        self.site.store.fault = StoreFault.BUSY
        self.engines.fatal_part = FATAL_PART
        await self.run_load(4.0)
        self.assertGreaterEqual(len(self.engines.fatal_ends), MAX_ENDS)
        self.site.store.fault = StoreFault.NONE
        returned_at = time.monotonic()
        await self.run_load(STABLE_S + 4.0)
        late = self.late_arrivals(returned_at + STABLE_S)
        self.assertLessEqual(len(late), MAX_LATE_ARRIVALS)

    async def test_quarantine_lasts_while_the_store_is_away(self) -> None:
        """Guards against a quarantine that ends with the store."""
        self.engines.fatal_part = FATAL_PART
        await self.run_load(4.0)
        self.site.store.fault = StoreFault.BUSY
        away_at = time.monotonic()
        await self.run_load(4.0)
        late = self.late_arrivals(away_at)
        self.assertLessEqual(len(late), MAX_LATE_ARRIVALS)


class TestLostAnswers(GatewayCase):
    """The store loses the answer to a watch."""

    def report(self, number: int, kind: str = 'ended') -> None:
        """Write a notice of another VM on the end of a target."""
        notice = {
            'kind': kind,
            'parts': [FATAL_PART],
            'lifetime': f't-{number}@0',
            'probe': number if kind == 'probed' else 0,
        }
        self.store.put(f'fuchsiafork/quarantine/{kind}/{number}', notice)

    async def test_lost_notices_are_read_again_in_time(self) -> None:
        """Guards against a VM that waits for an answer that was lost."""
        self.report(1)
        await asyncio.sleep(1)
        self.store.lost_watches = 1
        self.report(2)
        self.report(3)
        self.report(1, 'probed')
        await asyncio.sleep(STABLE_S)
        self.assertEqual(self.store.lost_watches, 0)
        headers = prompt_headers(FATAL_PART, 'own')
        reply = await self.call_engine(**headers)
        self.assertEqual(reply.status, 503)
        self.assertIn(QUARANTINED, reply.body)


class TestCutDomain(QuarantineCase):
    """The VMs of one failure domain lose their path to the store."""

    vm_count = 6

    async def asyncSetUp(self) -> None:
        """Start two VMs in each domain, those of the last behind a proxy."""
        self.path = LinkProxy('')
        await super().asyncSetUp()
        self.cut = tuple(vm for vm in self.site.ports if vm[0] == DOMAINS[-1])

    async def asyncTearDown(self) -> None:
        """Stop everything and the proxy."""
        await super().asyncTearDown()
        await self.path.stop()

    async def add_vm(self, number: int, store_address: str = '') -> str:
        """Start a gateway, behind the proxy if it is in the last domain."""
        if not self.path.address:
            self.path = LinkProxy(self.site.store.address)
            await self.path.start()
        behind = number % len(DOMAINS) == len(DOMAINS) - 1
        address = self.path.address if behind else ''
        return await super().add_vm(number, address)

    async def test_returning_vms_send_no_more_of_the_part(self) -> None:
        """Guards against VMs that missed the reports during a cut."""
        self.path.set_open(is_open=False)
        self.engines.fatal_part = FATAL_PART
        connected = tuple(vm for vm in self.site.ports if vm not in self.cut)
        await self.run_load(5.0, vms=connected)
        self.assertLessEqual(len(self.late_arrivals()), MAX_LATE_ARRIVALS)
        self.path.set_open(is_open=True)
        await asyncio.sleep(STABLE_S)
        returned_at = time.monotonic()
        await self.run_load(4.0, vms=self.cut)
        late = self.late_arrivals(returned_at)
        self.assertLessEqual(len(late), MAX_LATE_ARRIVALS)

    async def test_cut_vms_pool_their_ends_after_the_cut(self) -> None:
        """Guards against reports that a cut VM forgets."""
        self.path.set_open(is_open=False)
        self.engines.fatal_part = FATAL_PART
        await self.run_load(4.0, fatal_per_s=1.5, vms=self.cut)
        self.path.set_open(is_open=True)
        await asyncio.sleep(STABLE_S)
        returned_at = time.monotonic()
        await self.run_load(4.0)
        late = self.late_arrivals(returned_at)
        self.assertLessEqual(len(late), MAX_LATE_ARRIVALS)


class TestProbes(GatewayCase):
    """Prompts with a part in quarantine that is harmless."""

    async def test_one_of_many_prompts_is_the_probe(self) -> None:
        """Guards against one call of the store for each waiting prompt."""
        for number in range(3):
            notice = {
                'kind': 'ended',
                'parts': [FATAL_PART],
                'lifetime': f't-{number}@0',
            }
            self.store.put(f'fuchsiafork/quarantine/x/{number}', notice)
        await asyncio.sleep(1)
        for engine in self.engines:
            engine.behaviour = Behaviour(events=2, delay_s=0.2)
        before = self.store.calls['/api/kv-txn']
        headers = prompt_headers(FATAL_PART, 'own')
        replies = await asyncio.gather(
            *(self.call_engine(**headers) for _ in range(20))
        )
        statuses = [reply.status for reply in replies]
        self.assertEqual(statuses.count(200), 1)
        self.assertEqual(statuses.count(503), 19)
        # The ledger is written meanwhile, too.
        self.assertLessEqual(self.store.calls['/api/kv-txn'] - before, 5)
        # The probe's target has to live on first.
        waiting = await self.call_engine(**headers)
        self.assertEqual(waiting.status, 503)
        await asyncio.sleep(SETTLE_S + RELEASE_S)
        released = await self.call_engine(**headers)
        self.assertEqual(released.status, 200)


class TestStartingVm(QuarantineCase):
    """A VM that has just started."""

    vm_count = 3

    async def test_starting_vm_knows_the_quarantine(self) -> None:
        """Guards against a VM that ends targets until it has seen it."""
        self.engines.fatal_part = FATAL_PART
        await self.run_load(4.0)
        vm = await self.add_vm(self.vm_count)
        started_at = time.monotonic()
        replies = [
            await self.prompt(vm, '/ask/1', FIRST_PART, FATAL_PART)
            for _ in range(10)
        ]
        self.assertEqual({reply.status for reply in replies}, {503})
        self.assertEqual(self.late_arrivals(started_at), [])
        sound = await self.prompt(vm, '/ask/1', FIRST_PART, 'subject-1')
        self.assertEqual(sound.status, 200)

    async def test_refusal_is_immediate_and_true(self) -> None:
        """Guards against refusals that wait, or that callers don't trust."""
        self.engines.fatal_part = FATAL_PART
        await self.run_load(4.0)
        vm = next(iter(self.site.ports))
        arrivals = len(self.engines.arrivals)
        asked_at = time.monotonic()
        reply = await self.prompt(vm, '/talk/1', FIRST_PART, FATAL_PART)
        self.assertLess(time.monotonic() - asked_at, 0.5)
        self.assertEqual(reply.status, 503)
        self.assertIn(QUARANTINED, reply.body)
        self.assertIn('retry-after', reply.headers)
        self.assertEqual(len(self.engines.arrivals), arrivals)


class TestLostPackets(GatewayCase):
    """Packets to a target are lost."""

    async def test_end_is_reported_though_a_connection_times_out(self) -> None:
        """Guards against an end that counts for nothing on a bad link."""
        attempts = (
            ConnectError('timed out', silent=True),
            ConnectError('refused'),
        )
        for engine in self.engines:
            engine.behaviour = Behaviour(no_answer=True)
        module = 'fuchsiafork.gateway.target_ends'
        with mock.patch(f'{module}.connect', side_effect=attempts):
            await self.call_engine(**prompt_headers(FATAL_PART, 'own'))
            await self.eventually(self.reports)

    def reports(self) -> list[str]:
        """Return the keys of the reports on ended targets."""
        prefix = 'fuchsiafork/quarantine/'
        keys = self.store.content.items
        return [key for key in keys if key.startswith(prefix)]


class TestUnspentProbes(GatewayCase):
    """A sound part in quarantine whose first probe reaches no target."""

    async def asyncSetUp(self) -> None:
        """Put a part in quarantine, and end all engines."""
        await super().asyncSetUp()
        for engine in self.engines:
            engine.stop()
        for number in range(QUARANTINE_ENDS):
            lifetime = f'ended-{number}@0'
            notice = Notice(NoticeKind.ENDED, (FIRST_PART,), lifetime)
            self.store.content.put(
                f'{QUARANTINE_PREFIX}other/{number}', encode_notice(notice)
            )
        self.store.notify_watchers()
        evidence = self.gateway._shared.quarantine._evidence
        await self.eventually(lambda: evidence.quarantined((FIRST_PART,)))

    async def test_next_prompt_is_the_probe(self) -> None:
        """Guards against waiting for the second probe."""
        self.assertEqual((await self._ask('r-1')).status, 503)
        await self._add_engine()
        self.assertEqual((await self._ask('r-2')).status, 200)
        # The probe's target has to live on first.
        self.assertEqual((await self._ask('r-3')).status, 503)
        await asyncio.sleep(SETTLE_S + RELEASE_S)
        replies = [await self._ask(f'r-{number}') for number in (4, 5)]
        self.assertEqual([reply.status for reply in replies], [200, 200])

    async def test_prompts_of_ended_targets_spend_no_probe(self) -> None:
        """Guards against probes of a target whose end is known."""
        for number, engine in enumerate(self.engines):
            notice = Notice(
                NoticeKind.ENDED, (FIRST_PART,), f'{engine.target_id}@0'
            )
            self.store.content.put(
                f'{QUARANTINE_PREFIX}more/{number}', encode_notice(notice)
            )
        self.store.notify_watchers()
        evidence = self.gateway._shared.quarantine._evidence
        ends = QUARANTINE_ENDS + len(self.engines)
        await self.eventually(lambda: evidence.ends(FIRST_PART) == ends)
        self.assertEqual((await self._ask('r-1')).status, 503)
        await self._add_engine()
        self.assertEqual((await self._ask('r-2')).status, 200)

    async def _ask(self, request_id: str) -> Reply:
        """Send a prompt with the part."""
        headers = prompt_headers(FIRST_PART, f'own-{request_id}')
        return await self.call_engine(request_id=request_id, **headers)

    async def _add_engine(self) -> None:
        """Replace the engines by a sound one."""
        engine = PlatformTarget('e-9', 'engine', 'a')
        engine.behaviour = Behaviour(events=3)
        await self.site.add_target(engine)
        for ended in self.engines:
            self.store.remove(f'servers/{ended.target_id}')
        table = self.gateway._shared.targets
        await self.eventually(
            lambda: (
                [
                    state.target.target_id
                    for state in table.serving_targets('engine')
                ]
                == ['e-9']
            )
        )


class TestOtherEnds(QuarantineCase):
    """Targets that end for reasons of their own."""

    async def test_parts_on_killed_targets_are_served(self) -> None:
        """Guards against innocent prompts that are refused."""
        load = asyncio.create_task(self.run_load(9.0, fatal_per_s=0))
        for _ in range(12):
            await asyncio.sleep(0.5)
            engine = self.rng.choice(self.engines.live)
            self.engines.end(engine, fatal=False)
        await asyncio.sleep(1.5)
        settled_at = time.monotonic()
        await load
        self.assertGreater(self.sound_share(settled_at), LEAST_SOUND_SHARE)
        self.assertEqual(self.refused, 0)

    async def test_parts_are_served_after_all_targets_ended_at_once(
        self,
    ) -> None:
        """Guards against a shared part that stays in quarantine."""
        load = asyncio.create_task(self.run_load(9.0, fatal_per_s=0))
        await asyncio.sleep(1)
        for engine in self.engines.live:
            self.engines.end(engine, fatal=False)
        await asyncio.sleep(6)
        settled_at = time.monotonic()
        await load
        self.assertGreater(self.sound_share(settled_at), LEAST_SOUND_SHARE)

    async def test_reset_connections_are_no_ends(self) -> None:
        """Guards against reports on targets that are still there."""
        load = asyncio.create_task(self.run_load(6.0, fatal_per_s=0))
        for _ in range(8):
            await asyncio.sleep(0.5)
            for engine in self.engines.live:
                engine.server.break_connections()
        await load
        self.assertEqual(self.refused, 0)
        keys = self.site.store.content.items
        reports = [key for key in keys if key.startswith('fuchsiafork/quar')]
        self.assertEqual(reports, [])
