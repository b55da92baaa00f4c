"""Tests of the key-value and VM list clients against their stand-ins."""

import json
import queue
import threading
import unittest

import urllib3

from fuchsiafork.adapters.store import StoreClient
from fuchsiafork.adapters.store_wire import StoreCallError
from fuchsiafork.adapters.vm_list import VmListClient, VmListError, VmState
from fuchsiafork.configuration import HEAD_KEY, HeadWatcher
from fuchsiafork.kernel.outbox import (
    CompareAndSwap,
    KeyRead,
    KeysListed,
    ListKeys,
    ReadKey,
    StoreFailed,
    SwapDone,
)
from standins.store_application import StoreApplication
from standins.store_server import StoreServer
from standins.store_wire import RateLimit
from standins.virtual import VirtualClock
from standins.vm_list_server import VmListApplication, VmListServer


class StoreCase(unittest.TestCase):
    """Base class with a running stand-in of the key-value service."""

    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.application = StoreApplication(now=self.clock.now)
        self.server = StoreServer(self.application)
        self.server.start()
        self.client = StoreClient([self.server.url], timeout_s=5)
        self.addCleanup(self.server.stop)
        self.addCleanup(self.client.close)

    def set_faults(self, **faults: object) -> None:
        """Set the faults of the stand-in over HTTP, as other processes do."""
        url = f'{self.server.url}/faults'
        urllib3.request('POST', url, json=faults)


class TestOperations(StoreCase):
    """Store operations of the outbox, and leases."""

    def test_swap_read_list_and_delete(self) -> None:
        """Guards against a write that ignores the expected revision."""
        write = CompareAndSwap('a/1', 0, b'\x00one', 't')
        first = self.client.execute(write)
        self.assertEqual(
            first, SwapDone('t', 'a/1', succeeded=True, revision=1)
        )
        second = self.client.execute(write)
        self.assertEqual(
            second, SwapDone('t', 'a/1', succeeded=False, revision=1)
        )
        self.client.execute(CompareAndSwap('b/1', 0, b'', 't'))
        self.assertEqual(
            self.client.execute(ListKeys('a/', 't')),
            KeysListed('t', 'a/', (('a/1', 1, b'\x00one'),)),
        )
        self.client.execute(CompareAndSwap('a/1', 1, None, 't'))
        self.assertEqual(
            self.client.execute(ReadKey('a/1', 't')),
            KeyRead('t', 'a/1', 0, None),
        )
        self.assertEqual(
            self.client.execute(ReadKey('b/1', 't')),
            KeyRead('t', 'b/1', 2, b''),
        )

    def test_key_is_deleted_with_its_lease(self) -> None:
        """Guards against a lock that remains after its holder has gone."""
        lease = self.client.grant_lease(5)
        self.client.swap('lock', 0, b'me', lease)
        self.clock.advance(4)
        self.assertEqual(self.client.renew_lease(lease), 5)
        self.clock.advance(6)
        self.assertEqual(self.client.renew_lease(lease), 0)
        self.assertEqual(self.client.execute(ReadKey('lock', 't')).revision, 0)
        other = self.client.grant_lease(5)
        self.client.swap('lock', 0, b'me', other)
        self.client.revoke_lease(other)
        self.assertEqual(self.client.execute(ReadKey('lock', 't')).revision, 0)


class TestFaults(StoreCase):
    """Store calls that fail or are not answered."""

    def test_lost_answer_has_unknown_outcome(self) -> None:
        """Guards against reporting an applied write as failed."""
        self.set_faults(lost_answer=1)
        answer = self.client.execute(CompareAndSwap('k', 0, b'1', 't'))
        self.assertEqual(answer, StoreFailed('t', 'k', outcome_unknown=True))
        self.assertEqual(self.client.execute(ReadKey('k', 't')).value, b'1')

    def test_slow_write_has_unknown_outcome(self) -> None:
        """Guards against reporting a timed-out write as not applied."""
        self.set_faults(delay_s=0.5)
        impatient = StoreClient([self.server.url], timeout_s=0.1)
        self.addCleanup(impatient.close)
        answer = impatient.execute(CompareAndSwap('k', 0, b'1', 't'))
        self.assertTrue(answer.outcome_unknown)

    def test_failed_read_and_unsent_write_have_known_outcome(self) -> None:
        """Guards against reading a key back after a call without effect."""
        self.set_faults(down=True)
        answer = self.client.execute(ReadKey('k', 't'))
        self.assertEqual(answer, StoreFailed('t', 'k', outcome_unknown=False))
        unreachable = StoreClient(['http://127.0.0.1:1'], timeout_s=1)
        answer = unreachable.execute(CompareAndSwap('k', 0, b'1', 't'))
        self.assertEqual(answer, StoreFailed('t', 'k', outcome_unknown=False))

    def test_second_address_is_used(self) -> None:
        """Guards against failing all calls if one address is down."""
        client = StoreClient(['http://127.0.0.1:1', self.server.url])
        self.addCleanup(client.close)
        self.assertTrue(client.swap('k', 0, b'1')[0])

    def test_large_value_and_exceeded_rate_are_refused(self) -> None:
        """Guards against a stand-in that lacks the service's limits."""
        self.assertTrue(self.client.swap('k', 0, bytes(1_000_000))[0])
        for _ in range(498):
            self.client.swap('k', 99, b'')
        with self.assertRaisesRegex(StoreCallError, 'too large') as too_large:
            self.client.swap('k', 1, bytes(1_000_001))
        self.assertFalse(too_large.exception.outcome_unknown)
        with self.assertRaisesRegex(StoreCallError, 'too many') as too_many:
            self.client.swap('k', 1, b'')
        self.assertFalse(too_many.exception.outcome_unknown)
        counts = urllib3.request('POST', f'{self.server.url}/counts')
        self.assertEqual(
            json.loads(counts.data),
            {'write': 500, 'refused': 1, 'watches': 0},
        )

    def test_rate_limit_refills(self) -> None:
        """Guards against a rate limit that never admits calls again."""
        limit = RateLimit(2, self.clock.now)
        self.assertEqual(
            [limit.try_acquire() for _ in range(3)], [True, True, False]
        )
        self.clock.advance(0.5)
        self.assertEqual([limit.try_acquire() for _ in range(2)], [True, False])


class TestWatch(StoreCase):
    """Watches of keys and prefixes."""

    def test_watch_sees_past_and_new_writes_of_its_key(self) -> None:
        """Guards against missing a change between a read and a watch."""
        self.client.swap('w', 0, b'1')
        self.client.swap('wider', 0, b'x')
        events = self.client.watch('w', 1)
        self.assertEqual(next(events).value, b'1')
        writer = threading.Timer(0.05, self.client.swap, ('w', 1, None))
        writer.start()
        deleted = next(events)
        writer.join()
        self.assertEqual((deleted.revision, deleted.value), (3, None))

    def test_outage_breaks_watch_with_coded_error(self) -> None:
        """Guards against a watch that blocks forever in an outage."""
        self.client.swap('w', 0, b'1')
        events = self.client.watch('w', 0, prefix=True)
        writer = threading.Timer(0.05, self.client.swap, ('w1', 0, b'2'))
        writer.start()
        self.assertEqual(next(events).key, 'w1')
        self.set_faults(down=True)
        with self.assertRaises(StoreCallError):
            next(events)

    def test_head_watcher_resumes_after_an_outage(self) -> None:
        """Guards against a keeper that only polls after an outage."""
        revisions: queue.Queue[int] = queue.Queue()
        stopped = threading.Event()
        watcher = HeadWatcher(
            self.client, lambda: True, revisions.put, stopped, retry_s=0.01
        )
        self.client.swap(HEAD_KEY, 0, b'1')
        thread = threading.Thread(target=watcher.run)
        thread.start()
        while not self.application.watches:
            stopped.wait(0.01)
        self.client.swap(HEAD_KEY, 1, b'2')
        self.assertEqual(revisions.get(timeout=5), 2)
        self.set_faults(down=True)
        self.application.model.swap(HEAD_KEY, 2, b'3')
        self.set_faults(down=False)
        self.assertEqual(revisions.get(timeout=5), 3)
        stopped.set()
        self.client.swap(HEAD_KEY, 3, b'4')
        thread.join(5)
        self.assertFalse(thread.is_alive())


class TestVmList(unittest.TestCase):
    """The platform's VM list."""

    def test_list_lags_and_faults_are_coded(self) -> None:
        """Guards against a crash on an outage or a malformed list."""
        clock = VirtualClock()
        application = VmListApplication(lag_s=30, now=clock.now)
        with VmListServer(application) as server:
            client = VmListClient(server.url)
            entry = {'name': 'a-1', 'address': '10.0.0.1', 'state': 'leaving'}
            application.put([entry])
            self.assertEqual(client.fetch(), ())
            clock.advance(31)
            self.assertEqual(client.fetch()[0].state, VmState.LEAVING)
            application.put([{**entry, 'state': 'odd'}])
            clock.advance(31)
            with self.assertRaisesRegex(VmListError, 'state'):
                client.fetch()
            application.down = True
            with self.assertRaisesRegex(VmListError, '503'):
                client.fetch()
            self.assertEqual(application.calls, 4)
