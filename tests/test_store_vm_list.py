"""Tests of the VM list's adapter against its stand-in."""

import unittest

from fuchsiafork.adapters.vm_list import VmListClient, VmListError, VmState
from standins.virtual import VirtualClock
from standins.vm_list_server import VmListApplication, VmListServer


class TestVmList(unittest.TestCase):
    """The platform's list."""

    def test_list_lags_and_faults_are_coded(self) -> None:
        """Guards against a crash on an outage or a malformed list."""
        clock = VirtualClock()
        application = VmListApplication(lag_s=30, now=clock.now)
        with VmListServer(application) as server:
            client = VmListClient(server.url)
            row = {'name': 'a-1', 'address': '10.0.0.1', 'state': 'leaving'}
            application.put([row])
            self.assertEqual(client.fetch(), ())
            clock.advance(31)
            self.assertEqual(client.fetch()[0].state, VmState.LEAVING)
            application.put([{**row, 'state': 'odd'}])
            clock.advance(31)
            with self.assertRaisesRegex(VmListError, 'state'):
                client.fetch()
            application.down = True
            with self.assertRaisesRegex(VmListError, '503'):
                client.fetch()
            self.assertEqual(application.calls, 4)
